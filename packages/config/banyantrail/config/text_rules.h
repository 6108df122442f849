#pragma once

#include <cstddef>
#include <string_view>

/// Validation rules for strings in declarations, each with a description of the
/// allowed values for error messages.
namespace banyantrail {

/// A validation rule for one string.
struct TextRule {
  bool (*accepts)(std::string_view text);
  /// Completes the sentence "write ...".
  std::string_view allowed;
};

/// Maximum size of an object name.
inline constexpr std::size_t kMaxNameBytes = 128;
/// Maximum size of a label value.
inline constexpr std::size_t kMaxLabelValueBytes = 256;
/// Maximum size of a path prefix.
inline constexpr std::size_t kMaxPathPrefixBytes = 1024;
/// Maximum size of an alert expression or annotation.
inline constexpr std::size_t kMaxFreeTextBytes = std::size_t{16} << 10U;

/// Names of objects, change ids and severities.
extern const TextRule kNameRule;
/// Keys of labels and annotations.
extern const TextRule kLabelKeyRule;
extern const TextRule kLabelValueRule;
extern const TextRule kMethodRule;
extern const TextRule kPathPrefixRule;
extern const TextRule kHostRule;
/// Alert expressions: non-empty free text.
extern const TextRule kExpressionRule;
/// Annotations and other free text; may be empty.
extern const TextRule kFreeTextRule;
/// Authors and summaries of changes: one line; may be empty.
extern const TextRule kLineRule;
/// SHA-256 in lower-case hexadecimal.
extern const TextRule kDigestRule;
/// "kind/name" of an object.
extern const TextRule kObjectKeyRule;

}  // namespace banyantrail
