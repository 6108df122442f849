#pragma once

#include <cstdint>
#include <vector>

namespace banyantrail {

/// Weights of a traffic split as whole numbers in the same proportions. Weights
/// that are whole and small enough keep their values; others are scaled so that
/// the greatest one becomes 1,000,000, and none above 0 becomes 0.
std::vector<std::uint32_t> WholeWeights(const std::vector<double>& weights);

}  // namespace banyantrail
