#pragma once

#include <cstdint>
#include <random>

namespace banyantrail {

/// The random number generator. It is passed as a parameter to all randomized
/// logic, so that runs can be reproduced from a seed.
using Rng = std::mt19937_64;

/// Returns a uniformly distributed number in [0, bound). `bound` must be
/// greater than 0.
inline std::size_t UniformIndex(Rng& rng, std::size_t bound) {
  return std::uniform_int_distribution<std::size_t>(0, bound - 1)(rng);
}

}  // namespace banyantrail
