#include "banyantrail/config/split_weights.h"

#include <CppUTest/TestHarness.h>

using banyantrail::WholeWeights;

namespace {

using Weights = std::vector<std::uint32_t>;

}  // namespace

TEST_GROUP(SplitWeights){};

TEST(SplitWeights, WholeOnesKeepTheirValues) {
  CHECK(WholeWeights({90, 10, 0}) == (Weights{90, 10, 0}));
  CHECK(WholeWeights({0, 0}) == (Weights{0, 0}));
  CHECK(WholeWeights({}).empty());
}

TEST(SplitWeights, FractionsAndLargeOnesKeepTheirProportions) {
  CHECK(WholeWeights({0.5, 0.5}) == (Weights{1'000'000, 1'000'000}));
  CHECK(WholeWeights({0.75, 0.25}) == (Weights{1'000'000, 333'333}));
  CHECK(WholeWeights({3e9, 1.5e9}) == (Weights{1'000'000, 500'000}));
}

TEST(SplitWeights, OnlyZeroBecomesZero) {
  CHECK(WholeWeights({1e12, 0.001, 0}) == (Weights{1'000'000, 1, 0}));
}
