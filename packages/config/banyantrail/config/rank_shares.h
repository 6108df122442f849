#pragma once

#include <cstdint>
#include <set>
#include <vector>

#include "banyantrail/config/objects.h"

namespace banyantrail {

/// Percentage of a backend server that every rank keeps when the operator
/// declares priorities but no shares. It bounds starvation; what is above it
/// goes by urgency.
inline constexpr std::uint8_t kDefaultSharePercent = 10;

/// Ranks with the given priorities, each with the default share or less when
/// there are many. `name_of` gives a rank's name.
template <typename NameOf>
std::vector<RankObject> EvenRanks(const std::set<std::uint8_t>& priorities,
                                  NameOf name_of) {
  constexpr std::size_t kAllPercent = 100;
  std::vector<RankObject> ranks;
  for (const std::uint8_t priority : priorities) {
    const std::size_t share = std::min<std::size_t>(
        kDefaultSharePercent, kAllPercent / priorities.size());
    ranks.push_back({.name = name_of(priority),
                     .priority = priority,
                     .share_percent = static_cast<std::uint8_t>(share)});
  }
  return ranks;
}

}  // namespace banyantrail
