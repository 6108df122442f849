#include "banyantrail/config/explain.h"

#include <CppUTest/TestHarness.h>

#include "banyantrail/config/compile.h"
#include "config/sample_release.h"

using banyantrail::CompileRelease;
using banyantrail::ExplainRules;
using banyantrail::LabelOperator;
using banyantrail::SelectorName;
using banyantrail::SelectorObject;
using banyantrail::testing::Put;

TEST_GROUP(Explain){};

TEST(Explain, ReportsSelectorAndReasonForEveryRule) {
  auto objects = banyantrail::testing::SampleObjects();
  Put(SelectorObject{.name = SelectorName("gold"),
                     .requirements = {{.key = "tier",
                                       .op = LabelOperator::kIn,
                                       .values = {"gold"}}}},
      objects);
  Put(banyantrail::AlertRuleObject{.name = banyantrail::RuleName("busy"),
                                   .selector = SelectorName("gold"),
                                   .expression = "load > 3",
                                   .severity = "page"},
      objects);
  const auto compiled = CompileRelease({.objects = objects});
  const auto rules = ExplainRules(*compiled.config, {{"tier", "tin"}});
  LONGS_EQUAL(2, rules.size());
  CHECK(rules[0].match_result.matches);
  STRCMP_EQUAL(
      R"({"applies":false,"kind":"alert_rule","rule":"busy","selector":"gold",)"
      R"("why":"needs tier in [gold], but the proxy has tier=tin"})",
      ToJson(rules[1]).dump().c_str());
}
