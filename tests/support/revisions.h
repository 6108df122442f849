#pragma once

#include <cstdint>

#include "banyantrail/core/revision.h"

namespace banyantrail::testing {

/// The revision with a number, in a store that has neither versions nor eras.
constexpr Revision At(std::uint64_t number) {
  return {.number = number};
}

}  // namespace banyantrail::testing
