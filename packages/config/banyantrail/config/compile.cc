#include "banyantrail/config/compile.h"

#include <algorithm>
#include <iterator>
#include <map>
#include <string>
#include <unordered_map>
#include <utility>

#include "banyantrail/config/json_text.h"
#include "banyantrail/config/object_json.h"
#include "banyantrail/config/selector_match.h"

namespace banyantrail {
namespace {

constexpr unsigned kMaxShareSumPercent = 100;

using Faults = std::vector<Fault>;

std::string PlaceOf(const ConfigObject& object, std::string_view field) {
  return ToString(KeyOf(object)) + ": " + std::string(field);
}

void Append(Faults found, Faults& faults) {
  std::ranges::move(found, std::back_inserter(faults));
}

void AddObject(ConfigObject object, CompiledConfig& config) {
  if (auto* service = std::get_if<ServiceObject>(&object)) {
    config.services.push_back(std::move(*service));
  } else if (auto* selector = std::get_if<SelectorObject>(&object)) {
    config.selectors.push_back(std::move(*selector));
  } else if (auto* rank = std::get_if<RankObject>(&object)) {
    config.ranks.push_back(std::move(*rank));
  } else if (auto* rule = std::get_if<RoutingRuleObject>(&object)) {
    config.routing_rules.push_back(std::move(*rule));
  } else if (auto* alert = std::get_if<AlertRuleObject>(&object)) {
    config.alert_rules.push_back(std::move(*alert));
  } else if (auto* limits = std::get_if<CallerLimitsObject>(&object)) {
    config.caller_limits.push_back(std::move(*limits));
  } else if (auto* team = std::get_if<TeamObject>(&object)) {
    config.teams.push_back(std::move(*team));
  }
}

void ReadObject(const std::string& key,
                const std::string& text,
                const CompileOptions& options,
                CompiledConfig& config,
                Faults& faults) {
  if (options.parsed_objects != nullptr) {
    const auto cached = options.parsed_objects->entries.find(key);
    if (cached != options.parsed_objects->entries.end() &&
        cached->second.text == text) {
      AddObject(cached->second.object, config);
      return;
    }
  }
  JsonTextResult json = ParseJsonText(text, key);
  if (!json.faults.empty()) {
    Append(std::move(json.faults), faults);
    return;
  }
  ObjectParseResult parsed = ParseObject(json.value, "", options.checks);
  if (!parsed.object) {
    Append(std::move(parsed.faults), faults);
    return;
  }
  if (ToString(KeyOf(*parsed.object)) != key) {
    faults.push_back({.place = key,
                      .message = "is stored under a key other than its own, " +
                                 ToString(KeyOf(*parsed.object)),
                      .remedy = "store it under its own kind and name"});
    return;
  }
  if (options.parsed_objects != nullptr) {
    options.parsed_objects->entries[key] = {.text = text,
                                            .object = *parsed.object};
  }
  AddObject(std::move(*parsed.object), config);
}

void CheckSize(const ObjectTexts& objects, Faults& faults) {
  std::size_t bytes = 0;
  for (const auto& [key, text] : objects) {
    bytes += key.size() + text.size();
  }
  if (objects.size() > kMaxReleaseObjects) {
    faults.push_back(
        {.place = "release",
         .message = "has " + std::to_string(objects.size()) + " objects",
         .remedy = "declare at most " + std::to_string(kMaxReleaseObjects)});
  }
  if (bytes > kMaxReleaseBytes) {
    faults.push_back({.place = "release",
                      .message = "has " + std::to_string(bytes) + " bytes",
                      .remedy = "reduce them to at most " +
                                std::to_string(kMaxReleaseBytes)});
  }
}

/// Maps names to objects, for resolving references.
template <typename Name, typename Object>
std::unordered_map<Name, const Object*> IndexByName(
    const std::vector<Object>& objects) {
  std::unordered_map<Name, const Object*> by_name;
  for (const Object& object : objects) {
    by_name.emplace(object.name, &object);
  }
  return by_name;
}

struct ReferenceIndex {
  std::unordered_map<ServiceName, const ServiceObject*> services;
  std::unordered_map<SelectorName, const SelectorObject*> selectors;
  std::unordered_map<RankName, const RankObject*> ranks;
  std::set<std::string> assumed_keys;
};

ReferenceIndex BuildIndex(const CompiledConfig& config,
                          const CompileOptions& options) {
  return {.services = IndexByName<ServiceName>(config.services),
          .selectors = IndexByName<SelectorName>(config.selectors),
          .ranks = IndexByName<RankName>(config.ranks),
          .assumed_keys = options.assumed_keys};
}

/// Whether a reference resolves, or names an object whose own faults are
/// reported elsewhere (`assumed_keys`).
template <typename Name, typename Declared>
bool IsDeclared(std::string_view kind,
                const Name& name,
                const Declared& declared,
                const ReferenceIndex& index) {
  return declared.contains(name) ||
         index.assumed_keys.contains(std::string(kind) + "/" + name.str());
}

Fault UnresolvedReferenceFault(const ConfigObject& from,
                               const std::string& kind,
                               const std::string& name) {
  return {
      .place = PlaceOf(from, kind),
      .message =
          "refers to " + kind + " \"" + name + "\", which is not declared",
      .remedy = "declare " + kind + "/" + name + " or refer to another one"};
}

void CheckSelectorReference(const ConfigObject& rule,
                            const SelectorName& name,
                            const ReferenceIndex& index,
                            Faults& faults) {
  if (!IsDeclared("selector", name, index.selectors, index)) {
    faults.push_back(UnresolvedReferenceFault(rule, "selector", name.str()));
  }
}

void CheckServiceReference(const RoutingRuleObject& rule,
                           const ServiceName& name,
                           const ReferenceIndex& index,
                           Faults& faults) {
  if (!IsDeclared("service", name, index.services, index)) {
    faults.push_back(UnresolvedReferenceFault(rule, "service", name.str()));
  }
}

void CheckRankReference(const ConfigObject& from,
                        const RankName& name,
                        const ReferenceIndex& index,
                        Faults& faults) {
  if (!IsDeclared("rank", name, index.ranks, index)) {
    faults.push_back(UnresolvedReferenceFault(from, "rank", name.str()));
  }
}

void CheckReferences(const CompiledConfig& config,
                     const ReferenceIndex& index,
                     Faults& faults) {
  for (const RoutingRuleObject& rule : config.routing_rules) {
    CheckSelectorReference(rule, rule.selector, index, faults);
    if (rule.split.empty()) {
      CheckServiceReference(rule, rule.service, index, faults);
    }
    for (const WeightedService& target : rule.split) {
      CheckServiceReference(rule, target.service, index, faults);
    }
    CheckRankReference(rule, rule.rank, index, faults);
  }
  for (const AlertRuleObject& rule : config.alert_rules) {
    CheckSelectorReference(rule, rule.selector, index, faults);
  }
  for (const TeamObject& team : config.teams) {
    if (!team.rank.empty()) {
      CheckRankReference(team, team.rank, index, faults);
    }
  }
}

void CheckSelectors(const CompiledConfig& config, Faults& faults) {
  for (const SelectorObject& selector : config.selectors) {
    if (!CanOverlap(selector, selector)) {
      faults.push_back(
          {.place = PlaceOf(selector, "match"),
           .message =
               "has contradictory requirements, so that no proxy can match",
           .remedy = "remove one of the contradictory requirements"});
    }
  }
}

void CheckShares(const CompiledConfig& config, Faults& faults) {
  unsigned sum = 0;
  for (const RankObject& rank : config.ranks) {
    sum += rank.share_percent;
  }
  if (sum > kMaxShareSumPercent) {
    faults.push_back(
        {.place = "rank: share_percent",
         .message = "the shares of all ranks sum to " + std::to_string(sum),
         .remedy = "lower them to a sum of at most 100"});
  }
}

void CheckPriorities(const CompiledConfig& config, Faults& faults) {
  std::map<unsigned, const RankObject*> by_priority;
  for (const RankObject& rank : config.ranks) {
    const auto [existing, is_new] = by_priority.emplace(rank.priority, &rank);
    if (!is_new) {
      faults.push_back({.place = PlaceOf(rank, "priority"),
                        .message = std::to_string(rank.priority) +
                                   " is also the priority of rank/" +
                                   existing->second->name.str(),
                        .remedy = "give each rank a different priority"});
    }
  }
}

void CheckCallerLimits(const CompiledConfig& config, Faults& faults) {
  if (config.caller_limits.size() > 1) {
    faults.push_back({.place = PlaceOf(config.caller_limits.back(), "name"),
                      .message = "is a second caller_limits object",
                      .remedy = "declare only one caller_limits object"});
  }
}

/// A key identifies one team, so no two teams may share it.
void CheckTeamKeys(const CompiledConfig& config, Faults& faults) {
  std::map<std::string_view, const TeamObject*> by_digest;
  for (const TeamObject& team : config.teams) {
    for (const std::string& digest : team.key_digests) {
      const auto [existing, is_new] = by_digest.emplace(digest, &team);
      if (!is_new) {
        faults.push_back({.place = PlaceOf(team, "key_digests"),
                          .message = "shares a key with team/" +
                                     existing->second->name.str(),
                          .remedy = "give each team keys of its own"});
      }
    }
  }
}

bool MethodsOverlap(const RoutingRuleObject& left,
                    const RoutingRuleObject& right) {
  if (left.methods.empty() || right.methods.empty()) {
    return true;
  }
  return std::ranges::any_of(left.methods, [&](const std::string& method) {
    return std::ranges::find(right.methods, method) != right.methods.end();
  });
}

bool SelectorsOverlap(const RoutingRuleObject& left,
                      const RoutingRuleObject& right,
                      const ReferenceIndex& index) {
  const auto left_found = index.selectors.find(left.selector);
  const auto right_found = index.selectors.find(right.selector);
  if (left_found == index.selectors.end() ||
      right_found == index.selectors.end()) {
    return false;  // CheckReferences reports it.
  }
  return CanOverlap(*left_found->second, *right_found->second);
}

Fault AmbiguousRulesFault(const RoutingRuleObject& left,
                          const RoutingRuleObject& right) {
  return {.place = PlaceOf(right, "path_prefix"),
          .message = "routing_rule/" + left.name.str() +
                     " matches the same requests, " + right.path_prefix +
                     ", on the same proxies",
          .remedy =
              "give the two rules different methods, or selectors that "
              "cannot both match the same proxy"};
}

using RulesOfPrefix = std::vector<const RoutingRuleObject*>;

void CheckRulesOfPrefix(const RulesOfPrefix& rules,
                        const ReferenceIndex& index,
                        Faults& faults) {
  if (rules.size() > kMaxRulesPerPrefix) {
    faults.push_back(
        {.place = PlaceOf(*rules.back(), "path_prefix"),
         .message = rules.back()->path_prefix + " has " +
                    std::to_string(rules.size()) + " routing rules",
         .remedy = "declare at most " + std::to_string(kMaxRulesPerPrefix)});
    return;
  }
  for (std::size_t right = 0; right < rules.size(); ++right) {
    for (std::size_t left = 0; left < right; ++left) {
      if (MethodsOverlap(*rules[left], *rules[right]) &&
          SelectorsOverlap(*rules[left], *rules[right], index)) {
        faults.push_back(AmbiguousRulesFault(*rules[left], *rules[right]));
      }
    }
  }
}

void CheckAmbiguousRules(const CompiledConfig& config,
                         const ReferenceIndex& index,
                         Faults& faults) {
  std::map<std::pair<std::string, std::string>, RulesOfPrefix> by_prefix;
  for (const RoutingRuleObject& rule : config.routing_rules) {
    by_prefix[{rule.host, rule.path_prefix}].push_back(&rule);
  }
  for (const auto& [prefix, rules] : by_prefix) {
    CheckRulesOfPrefix(rules, index, faults);
  }
}

}  // namespace

CompileResult CompileRelease(const Release& release,
                             const CompileOptions& options) {
  CompileResult result;
  if (options.checks == ValueChecks::kDeclared) {
    CheckSize(release.objects, result.faults);
  }
  if (!result.faults.empty()) {
    return result;
  }
  CompiledConfig config{.revision = release.revision};
  for (const auto& [key, text] : release.objects) {
    ReadObject(key, text, options, config, result.faults);
  }
  const ReferenceIndex index = BuildIndex(config, options);
  CheckReferences(config, index, result.faults);
  CheckSelectors(config, result.faults);
  CheckShares(config, result.faults);
  CheckPriorities(config, result.faults);
  CheckCallerLimits(config, result.faults);
  CheckTeamKeys(config, result.faults);
  CheckAmbiguousRules(config, index, result.faults);
  if (result.faults.empty()) {
    result.config = std::move(config);
  }
  return result;
}

}  // namespace banyantrail
