#include "banyantrail/distribution/store_follower.h"

#include <CppUTest/TestHarness.h>
#include <rapidcheck.h>

#include <vector>

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
                                 .max_push_delay = milliseconds(200)};
  StoreFollower follower{options};

  void Confirm(Revision revision, milliseconds after = milliseconds(0)) {
    follower.OnConfirmation({.revision = revision, .applied = kHeld},
                            kStart + after);
  }

  bool MustWatch(milliseconds after, Revision applied = kHeld) {
    return follower.MustWatch(applied, kStart + after);
  }
};

TEST(StoreFollower, WatchesBeforeAnyConfirmation) {
  CHECK(MustWatch(milliseconds(0)));
}

TEST(StoreFollower, ReliesOnARecentConfirmation) {
  Confirm(kHeld);
  CHECK_FALSE(MustWatch(milliseconds(1000)));
}

TEST(StoreFollower, WatchesAfterConfirmationsStop) {
  Confirm(kHeld);
  CHECK(MustWatch(milliseconds(1001)));
}

TEST(StoreFollower, WaitsForPeersToPushAConfirmedRevision) {
  Confirm(kHeld + 1);
  CHECK_FALSE(MustWatch(milliseconds(200)));
  CHECK(MustWatch(milliseconds(201)));
  CHECK_FALSE(MustWatch(milliseconds(201), kHeld + 1));
}

// A watcher that confirms a revision that never arrives from peers, or newer
// ones in a burst, must not keep the node from reading the store.
TEST(StoreFollower, LaterConfirmationsDoNotExtendTheWait) {
  Confirm(kHeld + 1);
  Confirm(kHeld + 1, milliseconds(100));
  Confirm(kHeld + 2, milliseconds(190));
  CHECK(MustWatch(milliseconds(201)));
}

// Guards against waiting for a push that takes too long. On a recorded day of
// the liushu-hq-grown deployment, a change adds 1,400 routes (about 280 KB).
// Its links have 7 Mbit/s, so four copies per hop of the tree take over a
// second.
TEST(StoreFollower, WatchesAtOnceIfPeersWillNotPush) {
  follower.OnConfirmation(
      {.revision = kHeld + 1, .is_pushed = false, .applied = kHeld}, kStart);
  CHECK(MustWatch(milliseconds(0)));
  Confirm(kHeld + 2, milliseconds(10));
  CHECK(MustWatch(milliseconds(11)));
  CHECK_FALSE(MustWatch(milliseconds(11), kHeld + 2));
}

// For any sequence of events, a node relies on a watcher only while the last
// confirmation is valid, and never while it has lacked a confirmed revision for
// longer than max_push_delay.
TEST(StoreFollower, ReliesOnAWatcherOnlyWithinItsLimits) {
  CHECK(rc::check([this] {
    StoreFollower subject(options);
    TimePoint now = kStart;
    TimePoint last_confirmed_at = kStart - 2 * options.max_age;
    /// Time of the first confirmation of each revision, starting with 1.
    std::vector<TimePoint> first_confirmed_at;
    Revision applied = 0;
    const auto steps =
        *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 400));
    for (const int step : steps) {
      now += milliseconds(step);
      if (step % 3 == 0) {
        if (step % 2 == 1) {
          first_confirmed_at.push_back(now);
        }
        subject.OnConfirmation(
            {.revision = first_confirmed_at.size(), .applied = applied}, now);
        last_confirmed_at = now;
      } else if (step % 5 == 0) {
        applied = first_confirmed_at.size();
      }
      const bool is_valid = now - last_confirmed_at <= options.max_age;
      const bool is_overdue =
          applied < first_confirmed_at.size() &&
          now - first_confirmed_at[applied] > options.max_push_delay;
      RC_ASSERT(subject.MustWatch(applied, now) == (!is_valid || is_overdue));
    }
  }));
}
