#include "banyantrail/core/revision.h"

#include <array>
#include <charconv>

namespace banyantrail {

std::string VersionText(const Revision& revision) {
  constexpr int kHexadecimal = 16;
  constexpr std::size_t kMinDigits = 8;
  constexpr std::size_t kMaxDigits = 2 * sizeof(revision.version);
  if (revision.version == 0) {
    return "";
  }
  std::array<char, kMaxDigits> digits{};
  const auto written =
      std::to_chars(digits.data(), digits.data() + digits.size(),
                    revision.version, kHexadecimal);
  const std::string text(digits.data(), written.ptr);
  const std::size_t padding =
      text.size() < kMinDigits ? kMinDigits - text.size() : 0;
  return std::string(padding, '0') + text;
}

}  // namespace banyantrail
