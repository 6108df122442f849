#include "banyantrail/core/wall_time.h"

#include <CppUTest/TestHarness.h>

#include "banyantrail/core/clock.h"

using banyantrail::FormatWallTimeMs;
using banyantrail::milliseconds;
using banyantrail::ParseWallTime;

TEST_GROUP(WallTime){};

TEST(WallTime, MillisecondsHaveThreeDigits) {
  const auto second = ParseWallTime("2026-12-04T09:30:00Z");
  STRCMP_EQUAL("2026-12-04T09:30:00.007Z",
               FormatWallTimeMs(second + milliseconds(7)).c_str());
  STRCMP_EQUAL("2026-12-04T09:30:01.125Z",
               FormatWallTimeMs(second + milliseconds(1125)).c_str());
}
