#pragma once

#include <cstddef>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "banyantrail/config/json_object_reader.h"
#include "banyantrail/config/objects.h"
#include "banyantrail/config/release.h"

namespace banyantrail {

/// Maximum size of the canonical JSON of one declared object.
inline constexpr std::size_t kMaxObjectBytes = std::size_t{64} << 10U;

/// The parsed object, or all faults found in its JSON.
struct ObjectParseResult {
  /// Empty when there are faults.
  std::optional<ConfigObject> object;
  std::vector<Fault> faults;
};

/// Parses one object. `source` identifies its origin, for example a file and
/// the position in it, and prefixes the place of each fault. May be empty.
ObjectParseResult ParseObject(const nlohmann::json& json,
                              std::string_view source,
                              ValueChecks checks = ValueChecks::kDeclared);

/// Like ParseObject, from text. A syntax error is reported as a fault.
ObjectParseResult ParseObjectText(std::string_view text,
                                  std::string_view source);

/// The object as JSON. Fields that have a default are written out, except an
/// unset `host`, `target_latency` or `max_attempts`.
nlohmann::json ToJson(const ConfigObject& object);

/// The canonical serialization used in digests and comparisons: ToJson with
/// sorted keys and no whitespace. Equal objects have equal texts.
std::string CanonicalJson(const ConfigObject& object);

}  // namespace banyantrail
