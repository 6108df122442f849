#include "banyantrail/traffic/traffic_splitter.h"

#include <CppUTest/TestHarness.h>

#include <array>
#include <cmath>

using banyantrail::Route;
using banyantrail::RuleName;
using banyantrail::TrafficSplitter;

TEST_GROUP(TrafficSplitter) {
  TrafficSplitter splitter;
  Route route{
      .rule = RuleName("orders"),
      .targets = {{.service = 0, .weight = 90}, {.service = 1, .weight = 10}}};
};

TEST(TrafficSplitter, CountsDifferFromTheSharesByAtMostOneRequest) {
  std::array<int, 2> counts{};
  for (int i = 1; i <= 500; ++i) {
    ++counts[splitter.Next(route)];
    CHECK(std::abs(counts[1] - 0.1 * i) <= 1);
  }
  LONGS_EQUAL(50, counts[1]);
}

TEST(TrafficSplitter, NewWeightsResetTheState) {
  for (int i = 0; i < 7; ++i) {
    splitter.Next(route);
  }
  route.targets = {{.service = 0, .weight = 1}, {.service = 1, .weight = 1}};
  std::array<int, 2> counts{};
  for (int i = 0; i < 10; ++i) {
    ++counts[splitter.Next(route)];
  }
  LONGS_EQUAL(5, counts[0]);
}

TEST(TrafficSplitter, ASingleTargetGetsAllRequests) {
  route.targets = {{.service = 4}};
  LONGS_EQUAL(4, splitter.Next(route));
}
