#include "banyantrail/traffic/caller_timeout_estimator.h"

#include <CppUTest/TestHarness.h>

using banyantrail::CallerTimeoutEstimator;
using banyantrail::Duration;
using banyantrail::ManualClock;
using banyantrail::milliseconds;
using banyantrail::RuleName;
using banyantrail::seconds;

TEST_GROUP(CallerTimeoutEstimator) {
  CallerTimeoutEstimator estimator;
  ManualClock clock;

  Duration RecordDeadline(milliseconds deadline) {
    return estimator.RecordDeadline(RuleName("orders"), deadline, clock.Now());
  }
};

TEST(CallerTimeoutEstimator, ResentRequestHasWaitedForTheMissingTime) {
  CHECK(RecordDeadline(milliseconds(1200)) == Duration::zero());
  CHECK(RecordDeadline(milliseconds(800)) == milliseconds(400));
}

TEST(CallerTimeoutEstimator, ConnectTimeIsNotCounted) {
  RecordDeadline(milliseconds(1200));
  CHECK(RecordDeadline(milliseconds(1187)) == Duration::zero());
}

TEST(CallerTimeoutEstimator, LongestDeadlineExpires) {
  RecordDeadline(milliseconds(1200));
  clock.Advance(seconds(11));
  CHECK(RecordDeadline(milliseconds(500)) == milliseconds(700));
  clock.Advance(seconds(11));
  CHECK(RecordDeadline(milliseconds(500)) == Duration::zero());
}

TEST(CallerTimeoutEstimator, RulesAreIndependent) {
  RecordDeadline(milliseconds(1200));
  CHECK(estimator.RecordDeadline(RuleName("lookups"), milliseconds(500),
                                 clock.Now()) == Duration::zero());
}
