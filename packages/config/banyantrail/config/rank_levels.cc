#include "banyantrail/config/rank_levels.h"

#include <algorithm>
#include <cmath>

namespace banyantrail {
namespace {

constexpr double kMaxLevel = 255;

}  // namespace

std::map<double, std::uint8_t> RankLevels(const std::set<double>& priorities) {
  std::map<double, std::uint8_t> levels;
  double lowest_free = 0;
  auto less_urgent = static_cast<double>(priorities.size());
  for (const double priority : priorities) {
    --less_urgent;
    // Each less urgent priority needs a level of its own.
    const double highest = std::max(kMaxLevel - less_urgent, lowest_free);
    const double level = std::clamp(std::floor(priority), lowest_free, highest);
    levels[priority] = static_cast<std::uint8_t>(std::min(level, kMaxLevel));
    lowest_free = level + 1;
  }
  return levels;
}

}  // namespace banyantrail
