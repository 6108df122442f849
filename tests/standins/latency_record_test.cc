#include "standins/latency_record.h"

#include <CppUTest/TestHarness.h>

using banyantrail::microseconds;
using banyantrail::standins::LatencyRecord;

TEST_GROUP(LatencyRecord) {
  LatencyRecord record;
};

TEST(LatencyRecord, PercentilesAreRecordedSamples) {
  constexpr int kCount = 100;
  for (int i = kCount; i >= 1; --i) {
    record.Add(microseconds(i));
  }
  DOUBLES_EQUAL(50, record.Percentile(0.5), 0);
  DOUBLES_EQUAL(99, record.Percentile(0.99), 0);
  DOUBLES_EQUAL(100, record.Percentile(1), 0);
}

TEST(LatencyRecord, PercentileIsZeroWithoutSamples) {
  DOUBLES_EQUAL(0, record.Percentile(0.99), 0);
}
