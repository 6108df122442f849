#include "banyantrail/config/selector_match.h"

#include <CppUTest/TestHarness.h>

#include <rapidcheck.h>
#include <vector>

using banyantrail::CanOverlap;
using banyantrail::ExplainSelector;
using banyantrail::LabelOperator;
using banyantrail::LabelRequirement;
using banyantrail::Labels;
using banyantrail::SelectorMatches;
using banyantrail::SelectorObject;

namespace {

const std::vector<std::string> kKeys = {"tier", "zone"};
const std::vector<std::string> kValues = {"a", "b", "c"};

LabelRequirement ArbitraryRequirement() {
  LabelRequirement requirement{
      .key = *rc::gen::elementOf(kKeys),
      .op = *rc::gen::element(LabelOperator::kIn, LabelOperator::kNotIn,
                              LabelOperator::kExists, LabelOperator::kAbsent)};
  if (requirement.op == LabelOperator::kIn ||
      requirement.op == LabelOperator::kNotIn) {
    requirement.values =
        *rc::gen::nonEmpty(rc::gen::container<std::vector<std::string>>(
            rc::gen::elementOf(kValues)));
  }
  return requirement;
}

SelectorObject ArbitrarySelector() {
  SelectorObject selector;
  const int count = *rc::gen::inRange(0, 4);
  for (int i = 0; i < count; ++i) {
    selector.requirements.push_back(ArbitraryRequirement());
  }
  return selector;
}

/// Every combination of labels over kKeys: absent, each of kValues, and one
/// value that no selector contains.
std::vector<Labels> AllLabels() {
  std::vector<Labels> all;
  for (const char* tier : {"", "a", "b", "c", "other"}) {
    for (const char* zone : {"", "a", "b", "c", "other"}) {
      Labels labels = {{"tier", tier}, {"zone", zone}};
      std::erase_if(labels,
                    [](const auto& label) { return label.second.empty(); });
      all.push_back(labels);
    }
  }
  return all;
}

bool OverlapByEnumeration(const SelectorObject& left,
                          const SelectorObject& right) {
  for (const Labels& labels : AllLabels()) {
    if (SelectorMatches(left, labels) && SelectorMatches(right, labels)) {
      return true;
    }
  }
  return false;
}

}  // namespace

TEST_GROUP(SelectorMatch){};

TEST(SelectorMatch, ReportsEachUnmetRequirement) {
  const SelectorObject selector{
      .requirements = {
          {.key = "tier", .op = LabelOperator::kIn, .values = {"a", "b"}},
          {.key = "canary", .op = LabelOperator::kAbsent},
          {.key = "zone", .op = LabelOperator::kExists}}};
  const auto result =
      ExplainSelector(selector, {{"tier", "c"}, {"canary", "yes"}});
  CHECK_FALSE(result.matches);
  STRCMP_EQUAL(
      "needs tier in [a, b], but the proxy has tier=c; needs canary is absent, "
      "but the proxy has canary=yes; needs zone exists, but the proxy has no "
      "label zone",
      result.reason.c_str());
}

TEST(SelectorMatch, MatchesEveryProxyWithoutRequirements) {
  CHECK(ExplainSelector(SelectorObject{}, {}).matches);
}

TEST(SelectorMatch, NotInHoldsForAbsentLabel) {
  const SelectorObject selector{
      .requirements = {
          {.key = "tier", .op = LabelOperator::kNotIn, .values = {"a"}}}};
  CHECK(SelectorMatches(selector, {}));
  CHECK_FALSE(SelectorMatches(selector, {{"tier", "a"}}));
}

TEST(SelectorMatch, ExplanationAgreesWithSelectorMatches) {
  CHECK(rc::check([] {
    const SelectorObject selector = ArbitrarySelector();
    for (const Labels& labels : AllLabels()) {
      RC_ASSERT(ExplainSelector(selector, labels).matches ==
                SelectorMatches(selector, labels));
    }
  }));
}

TEST(SelectorMatch, OverlapIsExact) {
  CHECK(rc::check([] {
    const SelectorObject left = ArbitrarySelector();
    const SelectorObject right = ArbitrarySelector();
    RC_ASSERT(CanOverlap(left, right) == OverlapByEnumeration(left, right));
  }));
}
