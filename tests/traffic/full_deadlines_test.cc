#include "banyantrail/traffic/full_deadlines.h"

#include <CppUTest/TestHarness.h>

using banyantrail::Duration;
using banyantrail::FullDeadlines;
using banyantrail::ManualClock;
using banyantrail::milliseconds;
using banyantrail::RuleName;
using banyantrail::seconds;

TEST_GROUP(FullDeadlines) {
  FullDeadlines deadlines;
  ManualClock clock;

  Duration Waited(milliseconds deadline) {
    return deadlines.Waited(RuleName("orders"), deadline, clock.Now());
  }
};

TEST(FullDeadlines, CallerThatReturnsHasWaitedWhatIsMissing) {
  CHECK(Waited(milliseconds(1200)) == Duration::zero());
  CHECK(Waited(milliseconds(800)) == milliseconds(400));
}

TEST(FullDeadlines, TimeToConnectIsNoWait) {
  Waited(milliseconds(1200));
  CHECK(Waited(milliseconds(1187)) == Duration::zero());
}

TEST(FullDeadlines, ShorterDeadlinesAreLearntAfterAWhile) {
  Waited(milliseconds(1200));
  clock.Advance(seconds(11));
  CHECK(Waited(milliseconds(500)) == milliseconds(700));
  clock.Advance(seconds(11));
  CHECK(Waited(milliseconds(500)) == Duration::zero());
}

TEST(FullDeadlines, RoutesAreLearntApart) {
  Waited(milliseconds(1200));
  CHECK(deadlines.Waited(RuleName("lookups"), milliseconds(500), clock.Now()) ==
        Duration::zero());
}
