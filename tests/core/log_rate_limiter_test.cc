#include "banyantrail/core/log_rate_limiter.h"

#include <CppUTest/TestHarness.h>

using banyantrail::LogRateLimiter;
using banyantrail::ManualClock;
using banyantrail::milliseconds;
using banyantrail::seconds;

TEST_GROUP(LogRateLimiter) {
  LogRateLimiter limiter{{.lines_per_second = 10, .burst = 5}};
  ManualClock clock;
};

TEST(LogRateLimiter, LimitsLinesOfOneKindAndCountsSuppressedOnes) {
  int written = 0;
  for (int ms = 0; ms < 10'000; ++ms) {
    clock.Advance(milliseconds(1));
    written += limiter.TryAcquire("refused", clock.Now()) ? 1 : 0;
  }
  CHECK(written <= 5 + 10 * 10);
  clock.Advance(seconds(1));
  const auto suppressed = limiter.TryAcquire("refused", clock.Now());
  CHECK(suppressed.has_value());
  CHECK(*suppressed > 50);
}

TEST(LogRateLimiter, LimitsKindsIndependently) {
  for (int i = 0; i < 20; ++i) {
    limiter.TryAcquire("refused", clock.Now());
  }
  CHECK(limiter.TryAcquire("sent_again", clock.Now()) == 0U);
}
