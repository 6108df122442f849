#include "banyantrail/config/split_weights.h"

#include <algorithm>
#include <cmath>

namespace banyantrail {
namespace {

constexpr double kMaxWeight = 1'000'000;

bool IsWhole(double weight) {
  return weight <= kMaxWeight && std::floor(weight) == weight;
}

}  // namespace

std::vector<std::uint32_t> WholeWeights(const std::vector<double>& weights) {
  double scale = 1;
  if (!std::ranges::all_of(weights, IsWhole)) {
    scale = kMaxWeight / std::ranges::max(weights);
  }
  std::vector<std::uint32_t> whole;
  for (const double weight : weights) {
    const double scaled = std::round(weight * scale);
    whole.push_back(
        static_cast<std::uint32_t>(weight > 0 ? std::max(scaled, 1.0) : 0));
  }
  return whole;
}

}  // namespace banyantrail
