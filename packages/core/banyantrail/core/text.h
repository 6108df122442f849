#pragma once

#include <cstddef>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <string_view>

namespace banyantrail {

/// Longest id that a node accepts from outside, in bytes.
inline constexpr std::size_t kMaxIdBytes = 256;

/// Whether a text from outside can serve as an id: not empty, at most
/// kMaxIdBytes long, valid UTF-8 and without control characters.
bool IsPrintableId(std::string_view text);

/// Whether a text can be sent as the value of a header field and arrives as it
/// is: not empty, without control characters, and neither beginning nor ending
/// with a space.
bool IsFieldValue(std::string_view text);

/// Writes a value as JSON on one line. Bytes that are not UTF-8 are replaced;
/// nlohmann's own default is to throw on them.
std::string ToJsonText(const nlohmann::json& value);

}  // namespace banyantrail
