#pragma once

#include <string>

#include "banyantrail/config/objects.h"
#include "banyantrail/core/labels.h"

namespace banyantrail {

/// Whether a selector chooses a proxy, and the reason in words for operators.
struct SelectorVerdict {
  bool chosen = false;
  std::string why;

  friend bool operator==(const SelectorVerdict&,
                         const SelectorVerdict&) = default;
};

/// Whether the labels meet one requirement. kNotIn holds for a proxy without
/// the label too.
bool MeetsRequirement(const LabelRequirement& requirement,
                      const Labels& labels);

/// Whether the selector chooses a proxy with these labels.
bool Chooses(const SelectorObject& selector, const Labels& labels);

/// Like Chooses, with the reason: every requirement that failed, or all that
/// hold.
SelectorVerdict ExplainSelector(const SelectorObject& selector,
                                const Labels& labels);

/// Whether some set of labels would be chosen by both selectors. Exact. Pass
/// the same selector twice to learn whether it can choose any proxy at all.
bool CanOverlap(const SelectorObject& left, const SelectorObject& right);

}  // namespace banyantrail
