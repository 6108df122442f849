#pragma once

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "banyantrail/config/objects.h"
#include "banyantrail/config/release.h"
#include "banyantrail/config/selector_match.h"
#include "banyantrail/core/labels.h"

namespace banyantrail {

/// Whether a rule applies to a proxy, and the outcome of its selector.
struct RuleExplanation {
  ObjectKey rule;
  SelectorName selector;
  SelectorMatchResult match_result;

  friend bool operator==(const RuleExplanation&,
                         const RuleExplanation&) = default;
};

/// Explains every routing rule, then every alert rule, for a proxy with these
/// labels.
std::vector<RuleExplanation> ExplainRules(const CompiledConfig& config,
                                          const Labels& labels);

/// An element of the response to GET /v1/explain:
/// {"rule","kind","selector","applies","why"}.
nlohmann::json ToJson(const RuleExplanation& explanation);

}  // namespace banyantrail
