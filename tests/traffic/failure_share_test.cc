#include "banyantrail/traffic/failure_share.h"

#include <CppUTest/TestHarness.h>

using banyantrail::FailureShare;
using banyantrail::milliseconds;
using banyantrail::seconds;
using banyantrail::TimePoint;

namespace {

const TimePoint kStart = TimePoint{} + seconds(1000);

}  // namespace

TEST_GROUP(FailureShare){};

TEST(FailureShare, IsUnknownWithFewRecentRequests) {
  FailureShare share;
  CHECK_FALSE(share.Value(kStart).has_value());
  for (int i = 0; i < 5; ++i) {
    share.Record(true, kStart);
  }
  DOUBLES_EQUAL(1, *share.Value(kStart), 0.001);
  CHECK_FALSE(share.Value(kStart + seconds(1)).has_value());
}

TEST(FailureShare, FallsSoonAfterTheBackendServerRecovers) {
  FailureShare share;
  TimePoint now = kStart;
  for (int i = 0; i < 100; ++i) {
    now += milliseconds(50);
    share.Record(i % 2 == 0, now);
  }
  DOUBLES_EQUAL(0.5, *share.Value(now), 0.05);
  for (int i = 0; i < 100; ++i) {
    now += milliseconds(50);
    share.Record(false, now);
  }
  CHECK(*share.Value(now) < 0.1);
}
