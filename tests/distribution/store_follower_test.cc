#include "banyantrail/distribution/store_follower.h"

#include <CppUTest/TestHarness.h>
#include <rapidcheck.h>

using banyantrail::Duration;
using banyantrail::milliseconds;
using banyantrail::Revision;
using banyantrail::StoreFollower;
using banyantrail::TimePoint;

namespace {

constexpr TimePoint kStart{};
constexpr Revision kHeld = 7;

}  // namespace

TEST_GROUP(StoreFollower) {
  StoreFollower::Options options{.max_age = milliseconds(1000),
                                 .max_lag = milliseconds(200)};
  StoreFollower follower{options};

  bool MustWatch(milliseconds after, Revision applied = kHeld) {
    return follower.MustWatch(applied, kStart + after);
  }
};

TEST(StoreFollower, WatchesBeforeAnyConfirmation) {
  CHECK(MustWatch(milliseconds(0)));
}

TEST(StoreFollower, RestsOnAFreshConfirmation) {
  follower.OnConfirmation(kHeld, kStart);
  CHECK_FALSE(MustWatch(milliseconds(1000)));
}

TEST(StoreFollower, WatchesOnceTheWatcherIsSilent) {
  follower.OnConfirmation(kHeld, kStart);
  CHECK(MustWatch(milliseconds(1001)));
}

TEST(StoreFollower, GivesPeersAMomentToSendWhatWasConfirmed) {
  follower.OnConfirmation(kHeld + 1, kStart);
  CHECK_FALSE(MustWatch(milliseconds(200)));
  CHECK(MustWatch(milliseconds(201)));
  CHECK_FALSE(MustWatch(milliseconds(201), kHeld + 1));
}

// A watcher that repeats a revision which never arrives does not keep the node
// from the store.
TEST(StoreFollower, RepeatedConfirmationsDoNotExtendTheWait) {
  follower.OnConfirmation(kHeld + 1, kStart);
  follower.OnConfirmation(kHeld + 1, kStart + milliseconds(190));
  CHECK(MustWatch(milliseconds(201)));
}

// Whatever confirmations come, a node rests only while one is fresh, and never
// on a revision that it has lacked for longer than the bound.
TEST(StoreFollower, RestsOnlyWithinItsBounds) {
  CHECK(rc::check([this] {
    StoreFollower subject(options);
    TimePoint now = kStart;
    TimePoint last_heard = kStart - options.max_age * 2;
    TimePoint lacking_since = TimePoint::max();
    Revision applied = 0;
    Revision confirmed = 0;
    const auto steps =
        *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 400));
    for (const int step : steps) {
      now += milliseconds(step);
      if (step % 3 == 0) {
        const Revision revision = confirmed + (step % 2);
        subject.OnConfirmation(revision, now);
        last_heard = now;
        if (revision > confirmed) {
          confirmed = revision;
          lacking_since = now;
        }
      } else if (step % 5 == 0) {
        applied = confirmed;
      }
      const bool is_fresh = now - last_heard <= options.max_age;
      const bool lacks =
          applied < confirmed && now - lacking_since > options.max_lag;
      RC_ASSERT(subject.MustWatch(applied, now) == (!is_fresh || lacks));
    }
  }));
}
