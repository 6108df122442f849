#pragma once

#include <cstddef>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "banyantrail/config/objects.h"
#include "banyantrail/config/release.h"

namespace banyantrail {

/// Bytes of the canonical JSON of one object.
inline constexpr std::size_t kMaxObjectBytes = std::size_t{64} << 10U;

/// An object, or all the faults that its text has.
struct ObjectParseResult {
  /// Empty when there are faults.
  std::optional<ConfigObject> object;
  std::vector<Fault> faults;
};

/// Reads one object. `source` names where it comes from, for example a file
/// and the position in it; it begins the place of each fault. May be empty.
ObjectParseResult ParseObject(const nlohmann::json& json,
                              std::string_view source);

/// Like ParseObject, from text. Text that is not JSON is one fault.
ObjectParseResult ParseObjectText(std::string_view text,
                                  std::string_view source);

/// The object as JSON, with every default written out.
nlohmann::json ToJson(const ConfigObject& object);

/// The one text that stands for the object in digests and comparisons: sorted
/// keys, no spaces, defaults written out.
std::string CanonicalJson(const ConfigObject& object);

}  // namespace banyantrail
