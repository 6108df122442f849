#pragma once

#include <cstdint>
#include <random>

namespace banyantrail {

/// The seeded generator that every random decision receives as a parameter.
using Rng = std::mt19937_64;

/// Uniform number in [0, bound). `bound` must be greater than 0.
inline std::size_t UniformIndex(Rng& rng, std::size_t bound) {
  return std::uniform_int_distribution<std::size_t>(0, bound - 1)(rng);
}

}  // namespace banyantrail
