#pragma once

#include <nlohmann/json.hpp>
#include <string_view>
#include <vector>

#include "banyantrail/config/release.h"

namespace banyantrail {

/// A JSON value, or all the faults that its text has.
struct JsonTextResult {
  /// Null when there are faults.
  nlohmann::json value;
  std::vector<Fault> faults;
};

/// Parses JSON that a person or another process wrote. Keys that stand twice
/// in one object and nesting deeper than 32 levels are faults. `source` names
/// the file or message in them.
JsonTextResult ParseJsonText(std::string_view text, std::string_view source);

}  // namespace banyantrail
