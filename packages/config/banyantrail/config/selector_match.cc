#include "banyantrail/config/selector_match.h"

#include <algorithm>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace banyantrail {
namespace {

bool Contains(const std::vector<std::string>& values,
              const std::string& value) {
  return std::ranges::find(values, value) != values.end();
}

std::string Join(const std::vector<std::string>& words,
                 std::string_view separator) {
  std::string text;
  for (const std::string& word : words) {
    if (!text.empty()) {
      text += separator;
    }
    text += word;
  }
  return text;
}

std::string Describe(const LabelRequirement& requirement) {
  const std::string values = " [" + Join(requirement.values, ", ") + "]";
  switch (requirement.op) {
    case LabelOperator::kIn:
      return requirement.key + " in" + values;
    case LabelOperator::kNotIn:
      return requirement.key + " not in" + values;
    case LabelOperator::kExists:
      return requirement.key + " exists";
    case LabelOperator::kAbsent:
      return requirement.key + " is absent";
  }
  return requirement.key;
}

std::string DescribeLabel(const std::string& key, const Labels& labels) {
  const auto found = labels.find(key);
  return found == labels.end() ? "the proxy has no label " + key
                               : "the proxy has " + key + "=" + found->second;
}

/// The conjunction of the requirements of several selectors on one label.
struct LabelConstraint {
  bool must_exist = false;
  bool must_be_absent = false;
  /// If nullopt, every value is allowed.
  std::optional<std::set<std::string>> allowed;
  std::set<std::string> forbidden;

  bool IsSatisfiable() const {
    if (must_exist && must_be_absent) {
      return false;
    }
    if (!allowed) {
      return true;
    }
    return std::ranges::any_of(*allowed, [&](const auto& value) {
      return !forbidden.contains(value);
    });
  }
};

void AllowOnly(LabelConstraint& constraint,
               const std::vector<std::string>& values) {
  std::set<std::string> remaining;
  for (const std::string& value : values) {
    if (!constraint.allowed || constraint.allowed->contains(value)) {
      remaining.insert(value);
    }
  }
  constraint.allowed = remaining;
}

void Restrict(LabelConstraint& constraint,
              const LabelRequirement& requirement) {
  switch (requirement.op) {
    case LabelOperator::kIn:
      constraint.must_exist = true;
      AllowOnly(constraint, requirement.values);
      break;
    case LabelOperator::kNotIn:
      constraint.forbidden.insert(requirement.values.begin(),
                                  requirement.values.end());
      break;
    case LabelOperator::kExists:
      constraint.must_exist = true;
      break;
    case LabelOperator::kAbsent:
      constraint.must_be_absent = true;
      break;
  }
}

}  // namespace

bool MeetsRequirement(const LabelRequirement& requirement,
                      const Labels& labels) {
  const auto found = labels.find(requirement.key);
  const bool exists = found != labels.end();
  switch (requirement.op) {
    case LabelOperator::kIn:
      return exists && Contains(requirement.values, found->second);
    case LabelOperator::kNotIn:
      return !exists || !Contains(requirement.values, found->second);
    case LabelOperator::kExists:
      return exists;
    case LabelOperator::kAbsent:
      return !exists;
  }
  return false;
}

bool SelectorMatches(const SelectorObject& selector, const Labels& labels) {
  return std::ranges::all_of(selector.requirements,
                             [&](const auto& requirement) {
                               return MeetsRequirement(requirement, labels);
                             });
}

SelectorMatchResult ExplainSelector(const SelectorObject& selector,
                                    const Labels& labels) {
  if (selector.requirements.empty()) {
    return {.matches = true, .reason = "the selector chooses every proxy"};
  }
  std::vector<std::string> met;
  std::vector<std::string> unmet;
  for (const LabelRequirement& requirement : selector.requirements) {
    if (MeetsRequirement(requirement, labels)) {
      met.push_back(Describe(requirement));
    } else {
      unmet.push_back("needs " + Describe(requirement) + ", but " +
                      DescribeLabel(requirement.key, labels));
    }
  }
  if (unmet.empty()) {
    return {.matches = true, .reason = Join(met, " and ")};
  }
  return {.matches = false, .reason = Join(unmet, "; ")};
}

bool CanOverlap(const SelectorObject& left, const SelectorObject& right) {
  std::map<std::string, LabelConstraint> constraints;
  for (const SelectorObject* selector : {&left, &right}) {
    for (const LabelRequirement& requirement : selector->requirements) {
      Restrict(constraints[requirement.key], requirement);
    }
  }
  return std::ranges::all_of(constraints, [](const auto& entry) {
    return entry.second.IsSatisfiable();
  });
}

}  // namespace banyantrail
