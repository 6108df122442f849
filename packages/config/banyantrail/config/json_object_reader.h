#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "banyantrail/config/release.h"
#include "banyantrail/config/text_rules.h"

namespace banyantrail {

/// What a reader checks beyond the types of the fields.
enum class ValueChecks {
  /// The limits on what operators declare: characters, lengths, counts, ranges
  /// and duplicates.
  kDeclared,
  /// Only what the program can represent. For objects that have already been
  /// accepted, elsewhere and perhaps by other limits: a node that turned one
  /// down would keep an old configuration in force.
  kAccepted,
};

/// Inclusive bounds of an integer field.
struct IntegerBounds {
  std::uint64_t min = 0;
  /// Limit on declared values.
  std::uint64_t max = UINT64_MAX;
  /// Limit on accepted values: what the type of the field can represent.
  std::uint64_t max_accepted = UINT32_MAX;
};

/// Reads the fields of one JSON object and collects every fault instead of
/// stopping at the first. A missing or invalid field reads as a fallback value,
/// so the caller must check for faults before it uses the values.
class JsonObjectReader {
 public:
  /// `place` identifies the object in faults, which are appended to `faults`.
  /// `json` and `faults` must outlive the reader.
  JsonObjectReader(const nlohmann::json& json,
                   std::string place,
                   std::vector<Fault>& faults,
                   ValueChecks checks = ValueChecks::kDeclared);

  /// Reads a nested object with the same checks. `json` must outlive it.
  JsonObjectReader Nested(const nlohmann::json& json,
                          std::string_view field) const;

  std::string RequiredString(std::string_view key, const TextRule& rule);
  /// A string that selects one of several forms, so that its rule always holds.
  std::string RequiredKeyword(std::string_view key, const TextRule& rule);
  std::string OptionalString(std::string_view key,
                             const TextRule& rule,
                             std::string fallback);
  std::uint64_t RequiredInteger(std::string_view key, IntegerBounds bounds);
  std::uint64_t OptionalInteger(std::string_view key,
                                IntegerBounds bounds,
                                std::uint64_t fallback);
  /// A number of at least 0, which need not be whole. `max` limits declared
  /// values.
  double OptionalNumber(std::string_view key, double max, double fallback);
  bool OptionalBool(std::string_view key, bool fallback);

  /// The strings in input order.
  std::vector<std::string> OptionalStrings(std::string_view key,
                                           const TextRule& rule,
                                           std::size_t max_count);
  /// For strings whose order is irrelevant: returns them sorted, each once.
  /// Duplicates of declared strings are faults.
  std::vector<std::string> OptionalStringSet(std::string_view key,
                                             const TextRule& rule,
                                             std::size_t max_count);
  std::map<std::string, std::string> OptionalStringMap(
      std::string_view key,
      const TextRule& key_rule,
      const TextRule& value_rule,
      std::size_t max_count);

  /// The elements of an array; empty when it is absent or invalid.
  std::vector<nlohmann::json> OptionalArray(std::string_view key,
                                            std::size_t max_count);
  /// A nested object; empty when it is absent or invalid.
  nlohmann::json OptionalObject(std::string_view key, std::size_t max_count);

  /// Reports every key that no earlier call has read. Call it last.
  void Finish();

  /// Location of a field, for example "routing_rule/orders: service".
  std::string PlaceOf(std::string_view field) const;
  void AddFault(std::string_view field,
                std::string message,
                std::string remedy);

 private:
  const nlohmann::json* Find(std::string_view key);
  const nlohmann::json* FindRequired(std::string_view key);
  std::string CheckedString(std::string_view field,
                            const nlohmann::json& value,
                            const TextRule& rule);
  std::string MatchingString(std::string_view field,
                             const nlohmann::json& value,
                             const TextRule& rule,
                             bool must_match);
  std::uint64_t CheckedInteger(std::string_view key,
                               const nlohmann::json& value,
                               IntegerBounds bounds);
  bool CheckCount(std::string_view key,
                  const nlohmann::json& value,
                  std::size_t max_count);

  const nlohmann::json* m_json;
  std::string m_place;
  std::vector<Fault>* m_faults;
  ValueChecks m_checks;
  std::set<std::string, std::less<>> m_read_keys;
};

/// Throws Error{kMalformedMessage} listing the faults, if there are any. For
/// values written by other processes.
void ThrowIfInvalid(const std::vector<Fault>& faults, std::string remedy);

}  // namespace banyantrail
