#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace banyantrail {

/// The text of a JSON object with one of its arrays taken out.
struct JsonArraySplit {
  /// The object with the array left empty.
  std::string rest;
  /// The elements of the array, views into the original text.
  std::vector<std::string_view> elements;
};

/// Splits the text of a JSON object at its array field `name`. The elements are
/// delimited by their brackets and strings alone and not parsed, so that an
/// element that no parser accepts, such as one with a number out of range, does
/// not make the others unreadable. Empty if the text is not an object with such
/// a field. Uses constant stack space for any nesting depth.
std::optional<JsonArraySplit> SplitJsonArray(std::string_view text,
                                             std::string_view name);

}  // namespace banyantrail
