#include "banyantrail/core/revision.h"

#include <CppUTest/TestHarness.h>

#include <limits>

using banyantrail::VersionText;

TEST_GROUP(Revision){};

TEST(Revision, WritesTheVersionAsTheOperatorDoes) {
  STRCMP_EQUAL("0000001a", VersionText({.version = 0x1a}).c_str());
  STRCMP_EQUAL("cafe0000", VersionText({.version = 0xcafe0000}).c_str());
}

TEST(Revision, WritesAVersionOfMoreThanEightDigitsWhole) {
  constexpr auto kGreatest = std::numeric_limits<std::uint64_t>::max();
  STRCMP_EQUAL("123456789", VersionText({.version = 0x123456789}).c_str());
  STRCMP_EQUAL("ffffffffffffffff", VersionText({.version = kGreatest}).c_str());
}

TEST(Revision, WritesNoVersionAsEmptyText) {
  STRCMP_EQUAL("", VersionText({.era = 2, .number = 9}).c_str());
}
