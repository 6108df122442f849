#include "banyantrail/config/rank_levels.h"

#include <CppUTest/TestHarness.h>

using banyantrail::RankLevels;

namespace {

using Levels = std::map<double, std::uint8_t>;

}  // namespace

TEST_GROUP(RankLevels){};

TEST(RankLevels, WholePrioritiesKeepTheirValues) {
  CHECK(RankLevels({0, 1, 7, 255}) ==
        (Levels{{0, 0}, {1, 1}, {7, 7}, {255, 255}}));
  CHECK(RankLevels({}).empty());
}

// Guards against priorities past the last rank that count as equally urgent.
TEST(RankLevels, PrioritiesPastTheLastRankKeepTheirOrder) {
  CHECK(RankLevels({5, 255, 300, 1e18}) ==
        (Levels{{5, 5}, {255, 253}, {300, 254}, {1e18, 255}}));
}

TEST(RankLevels, FractionsKeepTheirOrder) {
  CHECK(RankLevels({0.5, 1, 1.5, 2, 9}) ==
        (Levels{{0.5, 0}, {1, 1}, {1.5, 2}, {2, 3}, {9, 9}}));
}

TEST(RankLevels, MorePrioritiesThanRanksShareTheLastOne) {
  std::set<double> priorities;
  for (int priority = 0; priority < 300; ++priority) {
    priorities.insert(priority);
  }
  const Levels levels = RankLevels(priorities);
  LONGS_EQUAL(0, levels.at(0));
  LONGS_EQUAL(254, levels.at(254));
  LONGS_EQUAL(255, levels.at(255));
  LONGS_EQUAL(255, levels.at(299));
}
