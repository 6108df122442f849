#pragma once

#include <cstdint>
#include <map>
#include <set>

namespace banyantrail {

/// Maps priorities that may be any number to those of ranks, in the same order;
/// 0 remains the most urgent. A whole number from 0 to 255 keeps its value
/// unless others need room below or above it. If there are more than 256
/// priorities, the least urgent ones share the last rank.
std::map<double, std::uint8_t> RankLevels(const std::set<double>& priorities);

}  // namespace banyantrail
