#include "banyantrail/core/wall_time.h"

#include <array>
#include <ctime>

namespace banyantrail {

std::string FormatWallTime(WallTime time) {
  const std::time_t seconds = std::chrono::system_clock::to_time_t(time);
  std::tm utc{};
  gmtime_r(&seconds, &utc);
  std::array<char, sizeof("2026-12-04T09:30:00Z")> text{};
  const std::size_t length =
      std::strftime(text.data(), text.size(), "%Y-%m-%dT%H:%M:%SZ", &utc);
  return {text.data(), length};
}

}  // namespace banyantrail
