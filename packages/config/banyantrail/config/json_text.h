#pragma once

#include <nlohmann/json.hpp>
#include <string_view>
#include <vector>

#include "banyantrail/config/release.h"

namespace banyantrail {

/// The parsed JSON value, or all faults found in its text.
struct JsonTextResult {
  /// Null when there are faults.
  nlohmann::json value;
  std::vector<Fault> faults;
};

/// Parses JSON from an untrusted source. Duplicate keys within one object and
/// nesting deeper than 32 levels are faults. `source` identifies the file or
/// message in faults.
JsonTextResult ParseJsonText(std::string_view text, std::string_view source);

}  // namespace banyantrail
