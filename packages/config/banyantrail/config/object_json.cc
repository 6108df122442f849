#include "banyantrail/config/object_json.h"

#include <array>
#include <utility>

#include "banyantrail/config/json_object_reader.h"
#include "banyantrail/config/json_text.h"

namespace banyantrail {
namespace {

using nlohmann::json;

constexpr std::size_t kMaxLabels = 64;
constexpr std::size_t kMaxRequirements = 32;
constexpr std::size_t kMaxValues = 256;
constexpr std::size_t kMaxMethods = 16;
constexpr std::uint64_t kMaxPriority = 255;
constexpr std::uint64_t kMaxSharePercent = 100;
constexpr std::uint64_t kMaxDeadlineMs = 24ULL * 60 * 60 * 1000;
constexpr std::uint64_t kMaxHoldForS = 31ULL * 24 * 60 * 60;

struct OperatorName {
  LabelOperator op;
  std::string_view name;
};

constexpr std::array<OperatorName, 4> kOperatorNames{{
    {LabelOperator::kIn, "in"},
    {LabelOperator::kNotIn, "not_in"},
    {LabelOperator::kExists, "exists"},
    {LabelOperator::kAbsent, "absent"},
}};

std::optional<LabelOperator> ParseOperator(std::string_view text) {
  for (const OperatorName& entry : kOperatorNames) {
    if (entry.name == text) {
      return entry.op;
    }
  }
  return std::nullopt;
}

bool IsOperator(std::string_view text) {
  return ParseOperator(text).has_value();
}

constexpr TextRule kOperatorRule{IsOperator, "in, not_in, exists or absent"};

bool TakesValues(LabelOperator op) {
  return op == LabelOperator::kIn || op == LabelOperator::kNotIn;
}

void CheckValues(const LabelRequirement& requirement,
                 JsonObjectReader& reader) {
  if (TakesValues(requirement.op) && requirement.values.empty()) {
    reader.AddFault("values", "is empty", "write at least one value");
  }
  if (!TakesValues(requirement.op) && !requirement.values.empty()) {
    reader.AddFault("values", "is not used by this op",
                    "remove it, or write op in or not_in");
  }
}

LabelRequirement ReadRequirement(JsonObjectReader reader) {
  LabelRequirement requirement;
  requirement.key = reader.RequiredString("key", kLabelKeyRule);
  const auto op = ParseOperator(reader.RequiredString("op", kOperatorRule));
  requirement.values =
      reader.OptionalStringSet("values", kLabelValueRule, kMaxValues);
  reader.Finish();
  if (op) {
    requirement.op = *op;
    CheckValues(requirement, reader);
  }
  return requirement;
}

SelectorObject ReadSelector(JsonObjectReader& reader,
                            std::vector<Fault>& faults) {
  SelectorObject selector;
  for (const json& element : reader.OptionalArray("match", kMaxRequirements)) {
    const std::string field =
        "match[" + std::to_string(selector.requirements.size()) + "]";
    selector.requirements.push_back(ReadRequirement(
        JsonObjectReader(element, reader.PlaceOf(field), faults)));
  }
  return selector;
}

ServiceObject ReadService(JsonObjectReader& reader) {
  ServiceObject service;
  service.labels = reader.OptionalStringMap("labels", kLabelKeyRule,
                                            kLabelValueRule, kMaxLabels);
  return service;
}

RankObject ReadRank(JsonObjectReader& reader) {
  RankObject rank;
  rank.priority = static_cast<std::uint8_t>(
      reader.RequiredInteger("priority", {.max = kMaxPriority}));
  rank.share_percent = static_cast<std::uint8_t>(
      reader.OptionalInteger("share_percent", {.max = kMaxSharePercent}, 0));
  return rank;
}

RoutingRuleObject ReadRoutingRule(JsonObjectReader& reader) {
  RoutingRuleObject rule;
  rule.selector = SelectorName(reader.RequiredString("selector", kNameRule));
  rule.path_prefix = reader.RequiredString("path_prefix", kPathPrefixRule);
  rule.methods = reader.OptionalStringSet("methods", kMethodRule, kMaxMethods);
  rule.service = ServiceName(reader.RequiredString("service", kNameRule));
  rule.rank = RankName(reader.RequiredString("rank", kNameRule));
  rule.idempotent = reader.OptionalBool("idempotent", false);
  rule.deadline = milliseconds(
      reader.RequiredInteger("deadline_ms", {.min = 1, .max = kMaxDeadlineMs}));
  return rule;
}

AlertRuleObject ReadAlertRule(JsonObjectReader& reader) {
  AlertRuleObject rule;
  rule.selector = SelectorName(reader.RequiredString("selector", kNameRule));
  rule.expression = reader.RequiredString("expression", kExpressionRule);
  rule.hold_for =
      seconds(reader.OptionalInteger("hold_for_s", {.max = kMaxHoldForS}, 0));
  rule.severity = reader.RequiredString("severity", kNameRule);
  rule.annotations = reader.OptionalStringMap("annotations", kLabelKeyRule,
                                              kFreeTextRule, kMaxLabels);
  return rule;
}

std::optional<ConfigObject> ReadFields(std::string_view kind,
                                       JsonObjectReader& reader,
                                       std::vector<Fault>& faults) {
  if (kind == "service") {
    return ReadService(reader);
  }
  if (kind == "selector") {
    return ReadSelector(reader, faults);
  }
  if (kind == "rank") {
    return ReadRank(reader);
  }
  if (kind == "routing_rule") {
    return ReadRoutingRule(reader);
  }
  if (kind == "alert_rule") {
    return ReadAlertRule(reader);
  }
  return std::nullopt;
}

bool IsKind(std::string_view text) {
  return text == "service" || text == "selector" || text == "rank" ||
         text == "routing_rule" || text == "alert_rule";
}

constexpr TextRule kKindRule{
    IsKind, "service, selector, rank, routing_rule or alert_rule"};

void SetName(ConfigObject& object, const std::string& name) {
  std::visit(
      [&](auto& value) {
        value.name = decltype(value.name)(std::string(name));
      },
      object);
}

std::string StringOr(const json& object,
                     const char* key,
                     const std::string& fallback) {
  if (!object.is_object() || !object.contains(key) ||
      !object[key].is_string()) {
    return fallback;
  }
  return object[key].get<std::string>();
}

std::string PlaceOfObject(const json& object, std::string_view source) {
  std::string place(source);
  if (!place.empty()) {
    place += ": ";
  }
  return place + StringOr(object, "kind", "?") + "/" +
         StringOr(object, "name", "?");
}

void CheckSize(const ConfigObject& object, JsonObjectReader& reader) {
  const std::size_t size = CanonicalJson(object).size();
  if (size > kMaxObjectBytes) {
    reader.AddFault("", "has " + std::to_string(size) + " bytes",
                    "keep it under " + std::to_string(kMaxObjectBytes));
  }
}

json ToJson(const LabelRequirement& requirement) {
  std::string_view op;
  for (const OperatorName& entry : kOperatorNames) {
    if (entry.op == requirement.op) {
      op = entry.name;
    }
  }
  return {{"key", requirement.key}, {"op", op}, {"values", requirement.values}};
}

void AddFields(const ServiceObject& service, json& out) {
  out["labels"] = service.labels;
}

void AddFields(const SelectorObject& selector, json& out) {
  out["match"] = json::array();
  for (const LabelRequirement& requirement : selector.requirements) {
    out["match"].push_back(ToJson(requirement));
  }
}

void AddFields(const RankObject& rank, json& out) {
  out["priority"] = rank.priority;
  out["share_percent"] = rank.share_percent;
}

void AddFields(const RoutingRuleObject& rule, json& out) {
  out["selector"] = rule.selector.str();
  out["path_prefix"] = rule.path_prefix;
  out["methods"] = rule.methods;
  out["service"] = rule.service.str();
  out["rank"] = rule.rank.str();
  out["idempotent"] = rule.idempotent;
  out["deadline_ms"] = rule.deadline.count();
}

void AddFields(const AlertRuleObject& rule, json& out) {
  out["selector"] = rule.selector.str();
  out["expression"] = rule.expression;
  out["hold_for_s"] = rule.hold_for.count();
  out["severity"] = rule.severity;
  out["annotations"] = rule.annotations;
}

}  // namespace

ObjectParseResult ParseObject(const json& object, std::string_view source) {
  ObjectParseResult result;
  JsonObjectReader reader(object, PlaceOfObject(object, source), result.faults);
  const std::string kind = reader.RequiredString("kind", kKindRule);
  const std::string name = reader.RequiredString("name", kNameRule);
  std::optional<ConfigObject> parsed = ReadFields(kind, reader, result.faults);
  if (!parsed) {
    return result;
  }
  reader.Finish();
  SetName(*parsed, name);
  if (result.faults.empty()) {
    CheckSize(*parsed, reader);
  }
  if (result.faults.empty()) {
    result.object = std::move(parsed);
  }
  return result;
}

ObjectParseResult ParseObjectText(std::string_view text,
                                  std::string_view source) {
  JsonTextResult parsed = ParseJsonText(text, source);
  if (!parsed.faults.empty()) {
    return {.faults = std::move(parsed.faults)};
  }
  return ParseObject(parsed.value, source);
}

json ToJson(const ConfigObject& object) {
  const ObjectKey key = KeyOf(object);
  json out = {{"kind", key.kind}, {"name", key.name}};
  std::visit([&](const auto& value) { AddFields(value, out); }, object);
  return out;
}

std::string CanonicalJson(const ConfigObject& object) {
  return ToJson(object).dump();
}

}  // namespace banyantrail
