#pragma once

#include <cstddef>
#include <string_view>

/// The texts that declarations may hold, each with the words that tell an
/// operator what is allowed.
namespace banyantrail {

/// A check of one string.
struct TextRule {
  bool (*accepts)(std::string_view text);
  /// Completes the sentence "write ...".
  std::string_view allowed;
};

/// Bytes of the name of an object.
inline constexpr std::size_t kMaxNameBytes = 128;
/// Bytes of a label's value.
inline constexpr std::size_t kMaxLabelValueBytes = 256;
/// Bytes of a path prefix.
inline constexpr std::size_t kMaxPathPrefixBytes = 1024;
/// Bytes of an alert expression or of an annotation.
inline constexpr std::size_t kMaxLongTextBytes = std::size_t{16} << 10U;

/// Names of objects, change ids and severities.
extern const TextRule kNameRule;
/// Keys of labels and annotations.
extern const TextRule kLabelKeyRule;
/// Values of labels.
extern const TextRule kLabelValueRule;
/// HTTP methods.
extern const TextRule kMethodRule;
/// Path prefixes of routing rules.
extern const TextRule kPathPrefixRule;
extern const TextRule kHostRule;
/// Alert expressions: free text that is not empty.
extern const TextRule kExpressionRule;
/// Annotations and other free text, may be empty.
extern const TextRule kFreeTextRule;
/// Authors and summaries of changes: one line, may be empty.
extern const TextRule kLineRule;
/// SHA-256 in lower-case hexadecimal.
extern const TextRule kDigestRule;
/// "kind/name" of an object.
extern const TextRule kObjectKeyRule;

}  // namespace banyantrail
