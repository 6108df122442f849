#include "banyantrail/config/json_object_reader.h"

#include <algorithm>
#include <utility>

#include "banyantrail/core/errors.h"

namespace banyantrail {
namespace {

using nlohmann::json;

/// Longer values are truncated in fault messages.
constexpr std::size_t kMaxQuotedBytes = 60;

std::string Abbreviate(const json& value) {
  std::string text = value.dump(-1, ' ', false, json::error_handler_t::replace);
  if (text.size() > kMaxQuotedBytes) {
    text.resize(kMaxQuotedBytes);
    text += "...";
  }
  return text;
}

std::string ElementField(std::string_view key, std::size_t index) {
  return std::string(key) + "[" + std::to_string(index) + "]";
}

std::string Join(const std::set<std::string, std::less<>>& words) {
  std::string text;
  for (const std::string& word : words) {
    text += (text.empty() ? "" : ", ") + word;
  }
  return text;
}

}  // namespace

JsonObjectReader::JsonObjectReader(const json& json,
                                   std::string place,
                                   std::vector<Fault>& faults,
                                   ValueChecks checks)
    : m_json(&json),
      m_place(std::move(place)),
      m_faults(&faults),
      m_checks(checks) {
  if (!json.is_object()) {
    AddFault("", std::string("is a JSON ") + json.type_name(),
             "write a JSON object");
  }
}

JsonObjectReader JsonObjectReader::Nested(const json& json,
                                          std::string_view field) const {
  return {json, PlaceOf(field), *m_faults, m_checks};
}

std::string JsonObjectReader::RequiredString(std::string_view key,
                                             const TextRule& rule) {
  const json* value = FindRequired(key);
  return value == nullptr ? "" : CheckedString(key, *value, rule);
}

std::string JsonObjectReader::RequiredKeyword(std::string_view key,
                                              const TextRule& rule) {
  const json* value = FindRequired(key);
  return value == nullptr ? "" : MatchingString(key, *value, rule, true);
}

std::string JsonObjectReader::OptionalString(std::string_view key,
                                             const TextRule& rule,
                                             std::string fallback) {
  const json* value = Find(key);
  return value == nullptr ? std::move(fallback)
                          : CheckedString(key, *value, rule);
}

std::uint64_t JsonObjectReader::RequiredInteger(std::string_view key,
                                                IntegerBounds bounds) {
  const json* value = FindRequired(key);
  return value == nullptr ? bounds.min : CheckedInteger(key, *value, bounds);
}

std::uint64_t JsonObjectReader::OptionalInteger(std::string_view key,
                                                IntegerBounds bounds,
                                                std::uint64_t fallback) {
  const json* value = Find(key);
  return value == nullptr ? fallback : CheckedInteger(key, *value, bounds);
}

double JsonObjectReader::OptionalNumber(std::string_view key,
                                        double max,
                                        double fallback) {
  const json* value = Find(key);
  if (value == nullptr) {
    return fallback;
  }
  const double number = value->is_number() ? value->get<double>() : -1;
  const bool is_in_range =
      number >= 0 && (number <= max || m_checks == ValueChecks::kAccepted);
  if (!is_in_range) {
    AddFault(key,
             "is " + Abbreviate(*value) + ", not a number from 0 to " +
                 json(max).dump(),
             "choose a value within the limits");
    return fallback;
  }
  return number;
}

bool JsonObjectReader::OptionalBool(std::string_view key, bool fallback) {
  const json* value = Find(key);
  if (value == nullptr) {
    return fallback;
  }
  if (!value->is_boolean()) {
    AddFault(key, "is " + Abbreviate(*value) + ", not a boolean",
             "write true or false");
    return fallback;
  }
  return value->get<bool>();
}

std::vector<std::string> JsonObjectReader::OptionalStrings(
    std::string_view key,
    const TextRule& rule,
    std::size_t max_count) {
  std::vector<std::string> strings;
  for (const json& element : OptionalArray(key, max_count)) {
    strings.push_back(
        CheckedString(ElementField(key, strings.size()), element, rule));
  }
  return strings;
}

std::vector<std::string> JsonObjectReader::OptionalStringSet(
    std::string_view key,
    const TextRule& rule,
    std::size_t max_count) {
  std::vector<std::string> strings = OptionalStrings(key, rule, max_count);
  std::ranges::sort(strings);
  const auto duplicate = std::ranges::adjacent_find(strings);
  if (duplicate == strings.end()) {
    return strings;
  }
  if (m_checks == ValueChecks::kDeclared) {
    AddFault(key, "contains " + Abbreviate(*duplicate) + " more than once",
             "remove the duplicate");
  }
  strings.erase(std::unique(strings.begin(), strings.end()), strings.end());
  return strings;
}

std::map<std::string, std::string> JsonObjectReader::OptionalStringMap(
    std::string_view key,
    const TextRule& key_rule,
    const TextRule& value_rule,
    std::size_t max_count) {
  std::map<std::string, std::string> entries;
  const json object = OptionalObject(key, max_count);
  for (const auto& [name, value] : object.items()) {
    const std::string field = std::string(key) + "." + name;
    CheckedString(field, name, key_rule);
    entries[name] = CheckedString(field, value, value_rule);
  }
  return entries;
}

std::vector<json> JsonObjectReader::OptionalArray(std::string_view key,
                                                  std::size_t max_count) {
  const json* value = Find(key);
  if (value == nullptr) {
    return {};
  }
  if (!value->is_array()) {
    AddFault(key, "is " + Abbreviate(*value) + ", not an array",
             "write an array [...]");
    return {};
  }
  if (!CheckCount(key, *value, max_count)) {
    return {};
  }
  return *value;
}

json JsonObjectReader::OptionalObject(std::string_view key,
                                      std::size_t max_count) {
  const json* value = Find(key);
  if (value == nullptr) {
    return json::object();
  }
  if (!value->is_object()) {
    AddFault(key, "is " + Abbreviate(*value) + ", not an object",
             "write an object {...}");
    return json::object();
  }
  if (!CheckCount(key, *value, max_count)) {
    return json::object();
  }
  return *value;
}

void JsonObjectReader::Finish() {
  if (!m_json->is_object()) {
    return;
  }
  for (const auto& [key, value] : m_json->items()) {
    if (!m_read_keys.contains(key)) {
      AddFault(key, "is an unknown key",
               "remove it or use one of: " + Join(m_read_keys));
    }
  }
}

std::string JsonObjectReader::PlaceOf(std::string_view field) const {
  if (field.empty()) {
    return m_place;
  }
  return m_place + ": " + std::string(field);
}

void JsonObjectReader::AddFault(std::string_view field,
                                std::string message,
                                std::string remedy) {
  m_faults->push_back(Fault{.place = PlaceOf(field),
                            .message = std::move(message),
                            .remedy = std::move(remedy)});
}

const json* JsonObjectReader::Find(std::string_view key) {
  m_read_keys.emplace(key);
  if (!m_json->is_object()) {
    return nullptr;
  }
  const auto found = m_json->find(std::string(key));
  return found == m_json->end() ? nullptr : &*found;
}

const json* JsonObjectReader::FindRequired(std::string_view key) {
  const json* value = Find(key);
  if (value == nullptr && m_json->is_object()) {
    AddFault(key, "is missing", "add it");
  }
  return value;
}

std::string JsonObjectReader::CheckedString(std::string_view field,
                                            const json& value,
                                            const TextRule& rule) {
  return MatchingString(field, value, rule, m_checks == ValueChecks::kDeclared);
}

std::string JsonObjectReader::MatchingString(std::string_view field,
                                             const json& value,
                                             const TextRule& rule,
                                             bool must_match) {
  if (!value.is_string()) {
    AddFault(field, "is " + Abbreviate(value) + ", not a string",
             "write " + std::string(rule.allowed));
    return "";
  }
  const auto& text = value.get_ref<const std::string&>();
  if (must_match && !rule.accepts(text)) {
    AddFault(field, "is " + Abbreviate(value) + ", which is not allowed",
             "write " + std::string(rule.allowed));
  }
  return text;
}

std::uint64_t JsonObjectReader::CheckedInteger(std::string_view key,
                                               const json& value,
                                               IntegerBounds bounds) {
  const std::uint64_t max =
      m_checks == ValueChecks::kDeclared ? bounds.max : bounds.max_accepted;
  const std::string remedy = "write a whole number from " +
                             std::to_string(bounds.min) + " to " +
                             std::to_string(max);
  if (!value.is_number_integer()) {
    AddFault(key, "is " + Abbreviate(value) + ", not a whole number", remedy);
    return bounds.min;
  }
  const bool in_bounds = value.is_number_unsigned() &&
                         value.get<std::uint64_t>() >= bounds.min &&
                         value.get<std::uint64_t>() <= max;
  if (!in_bounds) {
    AddFault(key, "is " + Abbreviate(value) + ", which is out of bounds",
             remedy);
    return bounds.min;
  }
  return value.get<std::uint64_t>();
}

bool JsonObjectReader::CheckCount(std::string_view key,
                                  const json& value,
                                  std::size_t max_count) {
  if (m_checks == ValueChecks::kAccepted || value.size() <= max_count) {
    return true;
  }
  AddFault(key, "has " + std::to_string(value.size()) + " entries",
           "write at most " + std::to_string(max_count));
  return false;
}

void ThrowIfInvalid(const std::vector<Fault>& faults, std::string remedy) {
  if (faults.empty()) {
    return;
  }
  std::string message;
  for (const Fault& fault : faults) {
    message +=
        (message.empty() ? "" : "; ") + fault.place + " " + fault.message;
  }
  throw Error({.kind = ErrorKind::kMalformedMessage,
               .message = std::move(message),
               .remedy = std::move(remedy)});
}

}  // namespace banyantrail
