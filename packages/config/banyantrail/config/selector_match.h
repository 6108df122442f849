#pragma once

#include <string>

#include "banyantrail/config/objects.h"
#include "banyantrail/core/labels.h"

namespace banyantrail {

/// Whether a selector matches a proxy, and the reason as a text for operators.
struct SelectorMatchResult {
  bool matches = false;
  std::string reason;

  friend bool operator==(const SelectorMatchResult&,
                         const SelectorMatchResult&) = default;
};

/// Whether the labels meet one requirement. kNotIn also holds for a proxy
/// without the label.
bool MeetsRequirement(const LabelRequirement& requirement,
                      const Labels& labels);

/// Whether the selector matches a proxy with these labels.
bool SelectorMatches(const SelectorObject& selector, const Labels& labels);

/// Like SelectorMatches, with the reason: every requirement that is not met, or
/// all requirements if they are met.
SelectorMatchResult ExplainSelector(const SelectorObject& selector,
                                    const Labels& labels);

/// Whether a set of labels exists that both selectors match. Exact, not an
/// approximation. CanOverlap(s, s) tells whether `s` can match any proxy at
/// all.
bool CanOverlap(const SelectorObject& left, const SelectorObject& right);

}  // namespace banyantrail
