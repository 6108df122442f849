#include "banyantrail/traffic/concurrency_limit.h"

#include <algorithm>

#include <CppUTest/TestHarness.h>

using banyantrail::ConcurrencyLimit;
using banyantrail::Duration;
using banyantrail::milliseconds;
using banyantrail::seconds;
using banyantrail::TimePoint;

namespace {

/// Simulates a backend server that always has as many requests in flight as the
/// limit allows. Latency grows in proportion once they exceed `capacity`.
struct SaturatedServer {
  double capacity = 10;
  milliseconds base_latency{20};
  TimePoint now = TimePoint{} + seconds(1000);

  void Run(ConcurrencyLimit& limit, Duration length) {
    const TimePoint end = now + length;
    while (now < end) {
      const auto in_flight = static_cast<std::size_t>(limit.value());
      const double slowdown =
          std::max(1.0, static_cast<double>(in_flight) / capacity);
      const auto latency =
          std::chrono::duration_cast<Duration>(base_latency * slowdown);
      now += latency;
      for (std::size_t i = 0; i < in_flight; ++i) {
        limit.OnLatency(0, latency, in_flight, now);
      }
    }
  }
};

}  // namespace

TEST_GROUP(ConcurrencyLimit){};

TEST(ConcurrencyLimit, SlowStartReachesTheAnnouncedSlotsWithinASecond) {
  ConcurrencyLimit limit({}, 20);
  SaturatedServer server{.capacity = 20};
  DOUBLES_EQUAL(4, limit.value(), 0.01);
  server.Run(limit, seconds(1));
  CHECK(limit.value() >= 20);
}

TEST(ConcurrencyLimit, FallsWhenTheAnnouncedSlotsExceedTheCapacity) {
  ConcurrencyLimit limit({}, 100);
  SaturatedServer server{.capacity = 10};
  server.Run(limit, seconds(10));
  CHECK(limit.value() >= 9);
  CHECK(limit.value() <= 20);
}

TEST(ConcurrencyLimit, FallsWhileABackendServerIsDegradedAndRecovers) {
  ConcurrencyLimit limit({}, 20);
  SaturatedServer server{.capacity = 20};
  server.Run(limit, seconds(5));
  server.capacity = 5;
  server.Run(limit, seconds(5));
  CHECK(limit.value() <= 10);
  server.capacity = 20;
  server.Run(limit, seconds(5));
  CHECK(limit.value() >= 20);
}

TEST(ConcurrencyLimit, AShedRequestSetsACeiling) {
  ConcurrencyLimit limit({}, 20);
  SaturatedServer server{.capacity = 100};
  server.Run(limit, seconds(5));
  limit.OnShed(13, server.now);
  CHECK(limit.value() <= 12);
  server.Run(limit, milliseconds(900));
  CHECK(limit.value() <= 12);
  server.Run(limit, seconds(10));
  CHECK(limit.value() > 12);
}

TEST(ConcurrencyLimit, NeverFallsBelowTheFloor) {
  ConcurrencyLimit limit({.floor = 2}, 20);
  for (int i = 0; i < 50; ++i) {
    limit.OnShed(1, TimePoint{} + seconds(i));
  }
  DOUBLES_EQUAL(2, limit.value(), 0.01);
}

TEST(ConcurrencyLimit, VaryingUploadSizesAreNotTakenForOverload) {
  ConcurrencyLimit limit({}, 10);
  TimePoint now = TimePoint{} + seconds(1000);
  for (int i = 0; i < 3000; ++i) {
    now += milliseconds(50);
    const milliseconds latency{1 << (i * 7 % 13)};
    limit.OnLatency(2, latency, 10, now);
  }
  CHECK(limit.value() >= 10);
}
