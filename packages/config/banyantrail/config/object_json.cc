#include "banyantrail/config/object_json.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <utility>

#include "banyantrail/config/json_object_reader.h"
#include "banyantrail/config/json_text.h"

namespace banyantrail {
namespace {

using nlohmann::json;

constexpr std::size_t kMaxLabels = 64;
constexpr std::size_t kMaxRequirements = 32;
constexpr std::size_t kMaxLabelValues = 256;
constexpr std::size_t kMaxMethods = 16;
constexpr std::uint64_t kMaxRankPriority = 255;
constexpr std::uint64_t kMaxSharePercent = 100;
constexpr std::uint64_t kMaxDeadlineMs = 24ULL * 60 * 60 * 1000;
/// Some 30 years: a time that can be added to any other.
constexpr std::uint64_t kMaxAcceptedMs = 1'000'000'000'000;
constexpr std::size_t kMaxSplitTargets = 32;
constexpr std::uint64_t kMaxWeight = 1'000'000;
constexpr std::uint64_t kMaxAttempts = 16;
constexpr std::uint64_t kMaxCallerHeaderBytes = 1U << 20U;
constexpr std::uint64_t kMaxCallerBodyBytes = 1ULL << 40U;
constexpr std::uint64_t kMaxCallerTimeoutMs = 60ULL * 60 * 1000;
constexpr std::uint64_t kMaxPipelinedRequests = 1024;
constexpr std::uint64_t kMaxPipelinedBytes = 16U << 20U;
constexpr std::size_t kMaxTeamKeys = 64;
constexpr std::uint64_t kMaxRequestsPerS = 10'000'000;
constexpr std::uint64_t kMaxHoldForS = 31ULL * 24 * 60 * 60;

constexpr IntegerBounds kPriorityBounds{.max = kMaxRankPriority,
                                        .max_accepted = kMaxRankPriority};
constexpr IntegerBounds kShareBounds{.max = kMaxSharePercent,
                                     .max_accepted = kMaxSharePercent};
constexpr IntegerBounds kDeadlineBounds{.min = 1,
                                        .max = kMaxDeadlineMs,
                                        .max_accepted = kMaxAcceptedMs};
constexpr IntegerBounds kTargetLatencyBounds{.max = kMaxDeadlineMs,
                                             .max_accepted = kMaxAcceptedMs};
constexpr IntegerBounds kCallerTimeoutBounds{.min = 1,
                                             .max = kMaxCallerTimeoutMs,
                                             .max_accepted = kMaxAcceptedMs};

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
    reader.AddFault("values", "is not allowed with this op",
                    "remove it, or change op to in or not_in");
  }
}

LabelRequirement ReadRequirement(JsonObjectReader reader) {
  LabelRequirement requirement;
  requirement.key = reader.RequiredString("key", kLabelKeyRule);
  const auto op = ParseOperator(reader.RequiredKeyword("op", kOperatorRule));
  requirement.values =
      reader.OptionalStringSet("values", kLabelValueRule, kMaxLabelValues);
  reader.Finish();
  if (op) {
    requirement.op = *op;
    CheckValues(requirement, reader);
  }
  return requirement;
}

SelectorObject ReadSelector(JsonObjectReader& reader) {
  SelectorObject selector;
  for (const json& element : reader.OptionalArray("match", kMaxRequirements)) {
    const std::string field =
        "match[" + std::to_string(selector.requirements.size()) + "]";
    selector.requirements.push_back(
        ReadRequirement(reader.Nested(element, field)));
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
      reader.RequiredInteger("priority", kPriorityBounds));
  rank.share_percent = static_cast<std::uint8_t>(
      reader.OptionalInteger("share_percent", kShareBounds, 0));
  return rank;
}

/// A rule names either one service or a split over several.
void ReadTarget(JsonObjectReader& reader, RoutingRuleObject& rule) {
  for (const json& element : reader.OptionalArray("split", kMaxSplitTargets)) {
    const std::string field =
        "split[" + std::to_string(rule.split.size()) + "]";
    JsonObjectReader target = reader.Nested(element, field);
    rule.split.push_back(
        {.service = ServiceName(target.RequiredString("service", kNameRule)),
         .weight = static_cast<std::uint32_t>(
             target.RequiredInteger("weight", {.max = kMaxWeight}))});
    target.Finish();
  }
  if (rule.split.empty()) {
    rule.service = ServiceName(reader.RequiredString("service", kNameRule));
    return;
  }
  if (!reader.OptionalString("service", kFreeTextRule, "").empty()) {
    reader.AddFault("service", "is given in addition to split",
                    "write either service or split");
  }
  const bool has_weight = std::ranges::any_of(
      rule.split, [](const auto& target) { return target.weight > 0; });
  if (!has_weight) {
    reader.AddFault("split", "has no weight greater than 0",
                    "give at least one service a weight greater than 0");
  }
}

RoutingRuleObject ReadRoutingRule(JsonObjectReader& reader) {
  RoutingRuleObject rule;
  rule.selector = SelectorName(reader.RequiredString("selector", kNameRule));
  rule.host = reader.OptionalString("host", kHostRule, "");
  rule.path_prefix = reader.RequiredString("path_prefix", kPathPrefixRule);
  rule.methods = reader.OptionalStringSet("methods", kMethodRule, kMaxMethods);
  ReadTarget(reader, rule);
  rule.rank = RankName(reader.RequiredString("rank", kNameRule));
  rule.idempotent = reader.OptionalBool("idempotent", false);
  rule.deadline =
      milliseconds(reader.RequiredInteger("deadline_ms", kDeadlineBounds));
  rule.target_latency = milliseconds(
      reader.OptionalInteger("target_latency_ms", kTargetLatencyBounds, 0));
  rule.max_attempts = static_cast<std::uint32_t>(
      reader.OptionalInteger("max_attempts", {.max = kMaxAttempts}, 0));
  rule.allow_anonymous = reader.OptionalBool("allow_anonymous", false);
  rule.disabled = reader.OptionalBool("disabled", false);
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

milliseconds ReadCallerTimeout(JsonObjectReader& reader, std::string_view key) {
  return milliseconds(reader.RequiredInteger(key, kCallerTimeoutBounds));
}

CallerLimitsObject ReadCallerLimits(JsonObjectReader& reader) {
  CallerLimitsObject limits;
  limits.max_header_bytes = static_cast<std::uint32_t>(reader.RequiredInteger(
      "max_header_bytes", {.min = 1, .max = kMaxCallerHeaderBytes}));
  limits.max_body_bytes = reader.RequiredInteger(
      "max_body_bytes",
      {.max = kMaxCallerBodyBytes, .max_accepted = UINT64_MAX});
  limits.header_timeout = ReadCallerTimeout(reader, "header_timeout_ms");
  limits.idle_timeout = ReadCallerTimeout(reader, "idle_timeout_ms");
  limits.max_pipelined_requests =
      static_cast<std::uint32_t>(reader.OptionalInteger(
          "max_pipelined_requests", {.max = kMaxPipelinedRequests}, 0));
  limits.max_pipelined_bytes = reader.OptionalInteger(
      "max_pipelined_bytes",
      {.max = kMaxPipelinedBytes, .max_accepted = UINT64_MAX}, 0);
  return limits;
}

TeamObject ReadTeam(JsonObjectReader& reader) {
  TeamObject team;
  team.key_digests =
      reader.OptionalStringSet("key_digests", kDigestRule, kMaxTeamKeys);
  if (!reader.OptionalString("rank", kFreeTextRule, "").empty()) {
    team.rank = RankName(reader.RequiredString("rank", kNameRule));
  }
  team.requests_per_s =
      reader.OptionalNumber("requests_per_s", kMaxRequestsPerS, 0);
  team.burst = static_cast<std::uint32_t>(
      reader.OptionalInteger("burst", {.max = kMaxRequestsPerS}, 0));
  team.disabled = reader.OptionalBool("disabled", false);
  return team;
}

std::optional<ConfigObject> ReadObjectOfKind(std::string_view kind,
                                             JsonObjectReader& reader) {
  if (kind == "service") {
    return ReadService(reader);
  }
  if (kind == "selector") {
    return ReadSelector(reader);
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
  if (kind == "caller_limits") {
    return ReadCallerLimits(reader);
  }
  if (kind == "team") {
    return ReadTeam(reader);
  }
  return std::nullopt;
}

bool IsKind(std::string_view text) {
  return text == "service" || text == "selector" || text == "rank" ||
         text == "routing_rule" || text == "alert_rule" ||
         text == "caller_limits" || text == "team";
}

constexpr TextRule kKindRule{
    IsKind,
    "service, selector, rank, routing_rule, alert_rule, caller_limits or "
    "team"};

void SetName(ConfigObject& object, const std::string& name) {
  std::visit(
      [&](auto& value) {
        value.name = decltype(value.name)(std::string(name));
      },
      object);
}

std::string StringFieldOr(const json& object,
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
  return place + StringFieldOr(object, "kind", "?") + "/" +
         StringFieldOr(object, "name", "?");
}

void CheckSize(const ConfigObject& object, JsonObjectReader& reader) {
  const std::size_t size = CanonicalJson(object).size();
  if (size > kMaxObjectBytes) {
    reader.AddFault("", "has " + std::to_string(size) + " bytes",
                    "reduce it to at most " + std::to_string(kMaxObjectBytes));
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
  if (!rule.host.empty()) {
    out["host"] = rule.host;
  }
  out["path_prefix"] = rule.path_prefix;
  out["methods"] = rule.methods;
  if (rule.split.empty()) {
    out["service"] = rule.service.str();
  }
  for (const WeightedService& target : rule.split) {
    out["split"].push_back(
        {{"service", target.service.str()}, {"weight", target.weight}});
  }
  out["rank"] = rule.rank.str();
  out["idempotent"] = rule.idempotent;
  out["deadline_ms"] = rule.deadline.count();
  if (rule.target_latency > milliseconds::zero()) {
    out["target_latency_ms"] = rule.target_latency.count();
  }
  if (rule.max_attempts > 0) {
    out["max_attempts"] = rule.max_attempts;
  }
  if (rule.allow_anonymous) {
    out["allow_anonymous"] = true;
  }
  if (rule.disabled) {
    out["disabled"] = true;
  }
}

/// A whole number is written as one, as nodes of earlier versions do, so that
/// the digest is the same.
json NumberJson(double number) {
  constexpr double kMaxWhole = 1e15;
  const bool is_whole = number <= kMaxWhole && number == std::floor(number);
  return is_whole ? json(static_cast<std::uint64_t>(number)) : json(number);
}

void AddFields(const TeamObject& team, json& out) {
  out["key_digests"] = team.key_digests;
  if (!team.rank.empty()) {
    out["rank"] = team.rank.str();
  }
  if (team.requests_per_s > 0) {
    out["requests_per_s"] = NumberJson(team.requests_per_s);
    out["burst"] = team.burst;
  }
  if (team.disabled) {
    out["disabled"] = true;
  }
}

void AddFields(const CallerLimitsObject& limits, json& out) {
  out["max_header_bytes"] = limits.max_header_bytes;
  out["max_body_bytes"] = limits.max_body_bytes;
  out["header_timeout_ms"] = limits.header_timeout.count();
  out["idle_timeout_ms"] = limits.idle_timeout.count();
  if (limits.max_pipelined_requests > 0) {
    out["max_pipelined_requests"] = limits.max_pipelined_requests;
  }
  if (limits.max_pipelined_bytes > 0) {
    out["max_pipelined_bytes"] = limits.max_pipelined_bytes;
  }
}

void AddFields(const AlertRuleObject& rule, json& out) {
  out["selector"] = rule.selector.str();
  out["expression"] = rule.expression;
  out["hold_for_s"] = rule.hold_for.count();
  out["severity"] = rule.severity;
  out["annotations"] = rule.annotations;
}

}  // namespace

ObjectParseResult ParseObject(const json& object,
                              std::string_view source,
                              ValueChecks checks) {
  ObjectParseResult result;
  JsonObjectReader reader(object, PlaceOfObject(object, source), result.faults,
                          checks);
  const std::string kind = reader.RequiredKeyword("kind", kKindRule);
  const std::string name = reader.RequiredString("name", kNameRule);
  std::optional<ConfigObject> parsed = ReadObjectOfKind(kind, reader);
  if (!parsed) {
    return result;
  }
  reader.Finish();
  SetName(*parsed, name);
  if (result.faults.empty() && checks == ValueChecks::kDeclared) {
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
