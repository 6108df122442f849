#include "banyantrail/config/compile.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <string>

#include "config/sample_release.h"

using banyantrail::CompileRelease;
using banyantrail::CompileResult;
using banyantrail::LabelOperator;
using banyantrail::ObjectTexts;
using banyantrail::RankName;
using banyantrail::RoutingRuleObject;
using banyantrail::RuleName;
using banyantrail::SelectorName;
using banyantrail::SelectorObject;
using banyantrail::testing::kEveryProxy;
using banyantrail::testing::kOrders;
using banyantrail::testing::kOrdersRule;
using banyantrail::testing::Put;
using banyantrail::testing::SampleObjects;

namespace {

CompileResult Compile(const ObjectTexts& objects) {
  return CompileRelease({.revision = {.number = 4}, .objects = objects});
}

bool IsOnlyFault(const ObjectTexts& objects, const std::string& place) {
  const CompileResult result = Compile(objects);
  return !result.config && result.faults.size() == 1 &&
         result.faults[0].place == place;
}

RoutingRuleObject SecondRule() {
  RoutingRuleObject rule = kOrdersRule;
  rule.name = RuleName("orders-2");
  return rule;
}

SelectorObject TierSelector(const char* name, LabelOperator op) {
  return {.name = SelectorName(name),
          .requirements = {{.key = "tier", .op = op, .values = {"gold"}}}};
}

}  // namespace

TEST_GROUP(Compile){};

TEST(Compile, ReturnsTypedObjectsOfValidRelease) {
  const CompileResult result = Compile(SampleObjects());
  CHECK(result.faults.empty());
  LONGS_EQUAL(4, result.config->revision.number);
  CHECK(result.config->routing_rules == std::vector{kOrdersRule});
  CHECK(result.config->ranks == std::vector{kOrders});
}

TEST(Compile, ReportsAllUnresolvedReferences) {
  ObjectTexts objects;
  Put(kOrdersRule, objects);
  const CompileResult result = Compile(objects);
  LONGS_EQUAL(3, result.faults.size());
  STRCMP_EQUAL("routing_rule/orders: selector", result.faults[0].place.c_str());
}

TEST(Compile, RefusesSharesThatSumToMoreThan100Percent) {
  ObjectTexts objects = SampleObjects();
  Put(
      banyantrail::RankObject{
          .name = RankName("lookups"), .priority = 1, .share_percent = 41},
      objects);
  CHECK(IsOnlyFault(objects, "rank: share_percent"));
}

TEST(Compile, RefusesRanksWithEqualPriority) {
  ObjectTexts objects = SampleObjects();
  Put(banyantrail::RankObject{.name = RankName("lookups")}, objects);
  CHECK(IsOnlyFault(objects, "rank/orders: priority"));
}

TEST(Compile, RefusesRulesThatMatchTheSameRequest) {
  ObjectTexts objects = SampleObjects();
  RoutingRuleObject rule = SecondRule();
  rule.methods = {};
  Put(rule, objects);
  CHECK(IsOnlyFault(objects, "routing_rule/orders-2: path_prefix"));
}

TEST(Compile, AcceptsRulesThatDifferInMethodOrPrefix) {
  ObjectTexts objects = SampleObjects();
  RoutingRuleObject other_method = SecondRule();
  other_method.methods = {"GET"};
  Put(other_method, objects);
  RoutingRuleObject other_prefix = SecondRule();
  other_prefix.name = RuleName("orders-3");
  other_prefix.path_prefix = "/orders/urgent";
  Put(other_prefix, objects);
  CHECK(Compile(objects).faults.empty());
}

TEST(Compile, AcceptsRulesWithDisjointSelectors) {
  ObjectTexts objects = SampleObjects();
  Put(TierSelector("gold", LabelOperator::kIn), objects);
  Put(TierSelector("rest", LabelOperator::kNotIn), objects);
  RoutingRuleObject gold = kOrdersRule;
  gold.selector = SelectorName("gold");
  Put(gold, objects);
  RoutingRuleObject rest = SecondRule();
  rest.selector = SelectorName("rest");
  Put(rest, objects);
  CHECK(Compile(objects).faults.empty());

  rest.selector = kEveryProxy.name;
  Put(rest, objects);
  CHECK(IsOnlyFault(objects, "routing_rule/orders-2: path_prefix"));
}

TEST(Compile, RefusesSelectorThatNoProxyCanMatch) {
  ObjectTexts objects = SampleObjects();
  SelectorObject selector = TierSelector("none", LabelOperator::kIn);
  selector.requirements.push_back(
      {.key = "tier", .op = LabelOperator::kAbsent});
  Put(selector, objects);
  CHECK(IsOnlyFault(objects, "selector/none: match"));
}

TEST(Compile, RefusesMalformedTextAndMismatchedKey) {
  ObjectTexts objects = SampleObjects();
  objects["service/extra"] = R"({"kind":"service")";
  CHECK(IsOnlyFault(objects, "service/extra"));
  objects["service/extra"] = R"({"kind":"service","name":"other"})";
  CHECK(IsOnlyFault(objects, "service/extra"));
}

TEST(Compile, RefusesReleaseWithTooManyObjects) {
  ObjectTexts objects;
  for (std::size_t i = 0; i <= banyantrail::kMaxReleaseObjects; ++i) {
    objects["service/s" + std::to_string(i)] = "{}";
  }
  CHECK(IsOnlyFault(objects, "release"));
}

TEST(Compile, LimitsOnDeclarationsDoNotHoldForAcceptedReleases) {
  ObjectTexts objects = SampleObjects();
  for (std::size_t i = 0; i <= banyantrail::kMaxReleaseObjects; ++i) {
    Put(banyantrail::ServiceObject{.name = banyantrail::ServiceName(
                                       "more " + std::to_string(i))},
        objects);
  }
  const auto result =
      CompileRelease({.revision = {.number = 4}, .objects = objects},
                     {.checks = banyantrail::ValueChecks::kAccepted});
  CHECK(result.config.has_value());
}

TEST(Compile, RefusesTooManyRulesOfOnePrefix) {
  ObjectTexts objects = SampleObjects();
  RoutingRuleObject rule = kOrdersRule;
  for (std::size_t i = 0; i < banyantrail::kMaxRulesPerPrefix; ++i) {
    rule.name = RuleName("more-" + std::to_string(i));
    Put(rule, objects);
  }
  LONGS_EQUAL(1, Compile(objects).faults.size());
}
