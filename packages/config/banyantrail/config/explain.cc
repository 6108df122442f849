#include "banyantrail/config/explain.h"

#include <unordered_map>

namespace banyantrail {
namespace {

using SelectorIndex = std::unordered_map<SelectorName, const SelectorObject*>;

SelectorIndex BuildIndex(const std::vector<SelectorObject>& selectors) {
  SelectorIndex index;
  for (const SelectorObject& selector : selectors) {
    index.emplace(selector.name, &selector);
  }
  return index;
}

template <typename Rule>
void AppendExplanations(const std::vector<Rule>& rules,
                        const SelectorIndex& selectors,
                        const Labels& labels,
                        std::vector<RuleExplanation>& explanations) {
  for (const Rule& rule : rules) {
    // Compilation guarantees that every reference resolves.
    const SelectorObject& selector = *selectors.at(rule.selector);
    explanations.push_back({.rule = KeyOf(rule),
                            .selector = rule.selector,
                            .match_result = ExplainSelector(selector, labels)});
  }
}

}  // namespace

std::vector<RuleExplanation> ExplainRules(const CompiledConfig& config,
                                          const Labels& labels) {
  const SelectorIndex selectors = BuildIndex(config.selectors);
  std::vector<RuleExplanation> explanations;
  AppendExplanations(config.routing_rules, selectors, labels, explanations);
  AppendExplanations(config.alert_rules, selectors, labels, explanations);
  return explanations;
}

nlohmann::json ToJson(const RuleExplanation& explanation) {
  return {{"rule", explanation.rule.name},
          {"kind", explanation.rule.kind},
          {"selector", explanation.selector.str()},
          {"applies", explanation.match_result.matches},
          {"why", explanation.match_result.reason}};
}

}  // namespace banyantrail
