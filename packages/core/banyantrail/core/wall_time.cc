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

std::string FormatWallTimeMs(WallTime time) {
  constexpr std::size_t kDigits = 3;
  const auto since_epoch =
      std::chrono::floor<std::chrono::milliseconds>(time.time_since_epoch());
  const auto second =
      std::chrono::floor<std::chrono::seconds>(time.time_since_epoch());
  std::string fraction = std::to_string((since_epoch - second).count());
  fraction.insert(0, kDigits - fraction.size(), '0');
  std::string text = FormatWallTime(WallTime(second));
  text.insert(text.size() - 1, "." + fraction);
  return text;
}

WallTime ParseWallTime(const std::string& text) {
  std::tm utc{};
  const char* end = strptime(text.c_str(), "%Y-%m-%dT%H:%M:%SZ", &utc);
  if (end == nullptr || *end != '\0') {
    throw Error({.kind = ErrorKind::kMalformedMessage,
                 .message = "'" + text + "' is not an ISO 8601 time in UTC",
                 .remedy = "write it as 2026-12-04T09:30:00Z"});
  }
  return WallTime(std::chrono::seconds(timegm(&utc)));
}

}  // namespace banyantrail
