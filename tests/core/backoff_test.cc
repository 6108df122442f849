#include "banyantrail/core/backoff.h"

#include <CppUTest/TestHarness.h>
#include <rapidcheck.h>

#include <algorithm>

using banyantrail::Backoff;
using banyantrail::BackoffOptions;
using banyantrail::Duration;
using banyantrail::milliseconds;
using banyantrail::Rng;

namespace {

constexpr BackoffOptions kOptions{.initial = milliseconds(100),
                                  .max = milliseconds(1000)};

}  // namespace

TEST_GROUP(Backoff){};

TEST(Backoff, EachDelayIsBetweenHalfOfItsBoundAndTheBound) {
  CHECK(rc::check([](std::uint64_t seed) {
    Rng rng(seed);
    Backoff backoff(kOptions);
    Duration bound = kOptions.initial;
    for (int attempt = 0; attempt < 20; ++attempt) {
      const Duration delay = backoff.Next(rng);
      RC_ASSERT(delay >= bound / 2);
      RC_ASSERT(delay <= bound);
      bound = std::min(2 * bound, kOptions.max);
    }
  }));
}

TEST(Backoff, RestartsFromInitialBoundAfterReset) {
  Rng rng(1);
  Backoff backoff(kOptions);
  for (int attempt = 0; attempt < 10; ++attempt) {
    backoff.Next(rng);
  }
  backoff.Reset();
  LONGS_EQUAL(0, backoff.attempts());
  CHECK(backoff.Next(rng) <= kOptions.initial);
}

TEST(Backoff, DifferentSeedsGiveDifferentDelays) {
  Rng first(1);
  Rng second(2);
  CHECK(Backoff(kOptions).Next(first) != Backoff(kOptions).Next(second));
}
