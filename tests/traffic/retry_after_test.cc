#include "banyantrail/traffic/retry_after.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <vector>

using banyantrail::ChooseRetryAfter;
using banyantrail::Duration;
using banyantrail::milliseconds;
using banyantrail::RefusedCaller;
using banyantrail::Rng;

TEST_GROUP(RetryAfter) {
  Rng rng{11};

  std::vector<Duration> Delays(const RefusedCaller& caller) {
    std::vector<Duration> delays(1000);
    std::ranges::generate(delays,
                          [&] { return ChooseRetryAfter(caller, rng); });
    return delays;
  }
};

// Callers that return within the time in which a burst of refusals was sent
// meet the same queue again.
TEST(RetryAfter, SpreadsCallersOverAThirdOfTheirTime) {
  const auto delays = Delays({.time_left = milliseconds(1800)});
  const auto [min, max] = std::ranges::minmax(delays);
  CHECK(min >= milliseconds(100) && min < milliseconds(130));
  CHECK(max <= milliseconds(600) && max > milliseconds(570));
  const auto early = std::ranges::count_if(
      delays, [](Duration delay) { return delay < milliseconds(225); });
  CHECK(early > 200 && early < 300);
}

TEST(RetryAfter, WaitsForTheQueueToDrain) {
  const auto delays =
      Delays({.time_left = milliseconds(1800),
              .load = banyantrail::ReportedLoad{.in_flight = 12, .limit = 6},
              .service_time = milliseconds(300)});
  CHECK(std::ranges::min(delays) >= milliseconds(300));
  CHECK(std::ranges::max(delays) <= milliseconds(600));
}

TEST(RetryAfter, LongQueueLeavesTimeForTheSecondAttempt) {
  const auto delays =
      Delays({.time_left = milliseconds(1200),
              .load = banyantrail::ReportedLoad{.in_flight = 60, .limit = 6},
              .service_time = milliseconds(300)});
  CHECK(std::ranges::max(delays) <= milliseconds(400));
}

TEST(RetryAfter, SpreadsCallersWithoutADeadline) {
  const auto delays = Delays({});
  CHECK(std::ranges::min(delays) >= milliseconds(100));
  CHECK(std::ranges::max(delays) <= milliseconds(300));
  CHECK(std::ranges::max(delays) > milliseconds(250));
}
