#include "banyantrail/core/wall_time.h"

#include <array>
#include <ctime>

#include "banyantrail/core/errors.h"

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

WallTime ParseWallTime(const std::string& text) {
  std::tm parts{};
  const char* end = strptime(text.c_str(), "%Y-%m-%dT%H:%M:%SZ", &parts);
  if (end == nullptr || *end != '\0') {
    throw Error({.kind = ErrorKind::kMalformedMessage,
                 .message = "'" + text + "' is not a time",
                 .remedy = "write it as 2026-12-04T09:30:00Z"});
  }
  return WallTime(std::chrono::seconds(timegm(&parts)));
}

}  // namespace banyantrail
