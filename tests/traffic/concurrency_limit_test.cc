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

constexpr banyantrail::ConcurrencyLimitOptions kPerResponse{
    .per_response_slow_start = true};

/// The limit is the announced slots once the slow start has ended.
constexpr banyantrail::ConcurrencyLimitOptions kFixedSlots{
    .adaptive = false,
    .per_response_slow_start = true};

/// How long a starting backend server under full load takes to get as many
/// requests as it has slots.
Duration TimeToFullLimit(ConcurrencyLimit& limit, SaturatedServer& server) {
  const TimePoint start = server.now;
  while (limit.value() < server.capacity && server.now - start < seconds(10)) {
    server.Run(limit, milliseconds(1));
  }
  return server.now - start;
}

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

// Guards against a backend server that is left idle after its start: with few
// slots and slow first responses, a window of ten responses takes seconds.
TEST(ConcurrencyLimit, StartIntoFullLoadReachesTheSlotsWithinThreeResponses) {
  for (const unsigned slots : {4U, 12U}) {
    SaturatedServer server{.capacity = static_cast<double>(slots),
                           .base_latency = milliseconds(440)};
    ConcurrencyLimit limit(kPerResponse, slots);
    CHECK(TimeToFullLimit(limit, server) <= 3 * server.base_latency);
    ConcurrencyLimit by_window({}, slots);
    CHECK(TimeToFullLimit(by_window, server) > 5 * server.base_latency);
  }
}

// Guards against flooding a backend server that starts with less capacity than
// it announces.
TEST(ConcurrencyLimit, StartStopsWhereResponsesBecomeLate) {
  ConcurrencyLimit limit(kPerResponse, 32);
  SaturatedServer server{.capacity = 4, .base_latency = milliseconds(100)};
  double highest = 0;
  for (int i = 0; i < 100; ++i) {
    server.Run(limit, milliseconds(50));
    highest = std::max(highest, limit.value());
  }
  CHECK(highest <= 16);
}

// Guards against full load on a backend server that stopped responding: before,
// a lost connection did not change the limit.
TEST(ConcurrencyLimit, MissingResponsesLowerTheLimitUntilResponsesReturn) {
  ConcurrencyLimit limit(kPerResponse, 12);
  SaturatedServer server{.capacity = 12, .base_latency = milliseconds(100)};
  server.Run(limit, seconds(5));
  for (int i = 0; i < 12; ++i) {
    limit.OnFailure();
  }
  DOUBLES_EQUAL(1, limit.value(), 0.01);
  CHECK(TimeToFullLimit(limit, server) <= 5 * server.base_latency);
}

// Guards against a service that fails part of its requests for a common reason
// and would lose most of its capacity on top.
TEST(ConcurrencyLimit, FailuresBetweenResponsesDoNotLowerTheLimit) {
  ConcurrencyLimit limit(kPerResponse, 12);
  SaturatedServer server{.capacity = 12, .base_latency = milliseconds(100)};
  server.Run(limit, seconds(5));
  const double before = limit.value();
  for (int i = 0; i < 50; ++i) {
    limit.OnFailure();
    limit.OnFailure();
    server.now += milliseconds(20);
    limit.OnLatency(0, server.base_latency, 6, server.now);
  }
  DOUBLES_EQUAL(before, limit.value(), 0.01);
}

TEST(ConcurrencyLimit, FlappingServerGetsFewRequestsWhileItIsDown) {
  ConcurrencyLimit limit(kFixedSlots, 4);
  SaturatedServer server{.capacity = 4, .base_latency = milliseconds(100)};
  int failed = 0;
  for (int period = 0; period < 4; ++period) {
    server.Run(limit, milliseconds(700));
    CHECK(limit.value() >= 4);
    const TimePoint down_until = server.now + milliseconds(700);
    while (server.now < down_until) {
      const int in_flight = static_cast<int>(limit.value());
      for (int i = 0; i < in_flight; ++i) {
        limit.OnFailure();
      }
      failed += in_flight;
      server.now += server.base_latency;
    }
  }
  // 4 requests when it goes down, then one in each latency.
  CHECK(failed <= 4 * (4 + 6));
}

TEST(ConcurrencyLimit, SlowStartPerResponseEndsAtTheAnnouncedSlots) {
  ConcurrencyLimit limit(kFixedSlots, 4);
  SaturatedServer server{.capacity = 100, .base_latency = milliseconds(100)};
  DOUBLES_EQUAL(1, limit.value(), 0.01);
  server.Run(limit, seconds(5));
  DOUBLES_EQUAL(4, limit.value(), 0.01);
}

TEST(ConcurrencyLimit, BackendServerAtHalfSpeedForGoodKeepsItsSlots) {
  ConcurrencyLimit limit(kPerResponse, 12);
  SaturatedServer server{.capacity = 12, .base_latency = milliseconds(400)};
  server.Run(limit, seconds(10));
  CHECK(limit.value() >= 12);
}
