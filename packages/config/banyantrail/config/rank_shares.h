#pragma once

#include <cstdint>
#include <set>
#include <vector>

#include "banyantrail/config/objects.h"

namespace banyantrail {

/// Percentage of a backend server's capacity that is reserved for each rank
/// when the operator declares priorities but no shares. It prevents starvation
/// of low priorities; the remaining capacity is assigned in order of priority.
inline constexpr std::uint8_t kDefaultSharePercent = 10;

/// Creates a rank for each priority, with the default share, or with an equal
/// part of 100 % if the default shares would exceed it. `name_of` returns the
/// name for a priority.
template <typename NameOf>
std::vector<RankObject> RanksWithDefaultShares(
    const std::set<std::uint8_t>& priorities,
    NameOf name_of) {
  constexpr std::size_t kMaxShareSumPercent = 100;
  std::vector<RankObject> ranks;
  for (const std::uint8_t priority : priorities) {
    const std::size_t share = std::min<std::size_t>(
        kDefaultSharePercent, kMaxShareSumPercent / priorities.size());
    ranks.push_back({.name = name_of(priority),
                     .priority = priority,
                     .share_percent = static_cast<std::uint8_t>(share)});
  }
  return ranks;
}

}  // namespace banyantrail
