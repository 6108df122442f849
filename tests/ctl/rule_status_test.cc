#include "banyantrail/ctl/rule_status.h"

#include <CppUTest/TestHarness.h>

#include <string>

#include "banyantrail/ctl/render.h"
#include "config/sample_release.h"

using banyantrail::DomainId;
using banyantrail::Labels;
using banyantrail::NodeId;
using banyantrail::ObjectTexts;
using banyantrail::Release;
using banyantrail::ReleaseNumber;
using banyantrail::ServiceName;
using banyantrail::ServiceObject;
using banyantrail::ctl::ComputeRuleStatus;
using banyantrail::ctl::FleetStatus;
using banyantrail::ctl::ProxyRuleStatus;
using banyantrail::ctl::ReportedDomain;
using banyantrail::ctl::RuleState;
using banyantrail::testing::kOrders;
using banyantrail::testing::Put;
using banyantrail::testing::SampleObjects;

namespace {

using std::chrono::milliseconds;

constexpr ReleaseNumber kDeclared = 7;

/// Returns a summary in which `node` reported `revision`.
ReportedDomain ReportedDomainWith(const std::string& node,
                                  ReleaseNumber revision) {
  return {.status = {.domain = DomainId("north"),
                     .relay = NodeId("relay"),
                     .time = "2026-12-04T10:00:00Z",
                     .revisions = {{revision, {NodeId(node)}}},
                     .labels = {{node, Labels{}}}}};
}

ReportedDomain SilentDomainWith(const std::string& node) {
  return {.status = {.domain = DomainId("north"),
                     .silent = {{NodeId(node), "2026-12-04T09:00:00Z"}}}};
}

/// Computes the status of the sample's routing rule on the only proxy of the
/// fleet.
ProxyRuleStatus StatusIn(const FleetStatus& fleet,
                         const ObjectTexts& revision_6) {
  const Release declared{.revision = {.number = kDeclared},
                         .objects = SampleObjects()};
  const auto statuses = ComputeRuleStatus(
      fleet, declared, {{kDeclared, declared.objects}, {6, revision_6}});
  LONGS_EQUAL(1, statuses.size());
  LONGS_EQUAL(1, statuses[0].proxies.size());
  return statuses[0].proxies[0];
}

RuleState StateOf(const ReportedDomain& domain) {
  return StatusIn({.domains = {domain}}, {}).state;
}

}  // namespace

TEST_GROUP(RuleStatus){};

TEST(RuleStatus, InForceWhenFreshReportHasSameObjects) {
  CHECK(StateOf(ReportedDomainWith("a", kDeclared)) == RuleState::kInForce);
}

TEST(RuleStatus, OlderRevisionWithSameRuleIsInForceToo) {
  ObjectTexts older = SampleObjects();
  Put(ServiceObject{.name = ServiceName("unrelated")}, older);
  CHECK(StatusIn({.domains = {ReportedDomainWith("a", 6)}}, older).state ==
        RuleState::kInForce);
}

TEST(RuleStatus, ReasonNamesDifferingObjectsAndRefusedRevision) {
  ObjectTexts older = SampleObjects();
  banyantrail::RankObject rank = kOrders;
  rank.share_percent = 1;
  Put(rank, older);
  ReportedDomain domain = ReportedDomainWith("a", 6);
  domain.status.refused = {{NodeId("a"), 7, "out of memory"}};
  const ProxyRuleStatus status = StatusIn({.domains = {domain}}, older);
  CHECK(status.state == RuleState::kNotInForce);
  STRCMP_EQUAL(
      "at revision 6, which lacks the declared rank/orders; it refused "
      "revision 7: out of memory",
      status.why.c_str());
}

TEST(RuleStatus, ProxyWithoutConfigurationHasNothingInForce) {
  CHECK(StateOf(ReportedDomainWith("a", 0)) == RuleState::kNotInForce);
}

TEST(RuleStatus, SilentProxyIsUnknownSinceItsLastReport) {
  const ProxyRuleStatus status =
      StatusIn({.domains = {SilentDomainWith("a")}}, {});
  CHECK(status.state == RuleState::kUnknown);
  CHECK(status.since == "2026-12-04T09:00:00Z");
}

TEST(RuleStatus, ProxyInOldSummaryIsUnknown) {
  ReportedDomain domain = ReportedDomainWith("a", kDeclared);
  domain.age = milliseconds(15'001);
  const ProxyRuleStatus status = StatusIn({.domains = {domain}}, {});
  CHECK(status.state == RuleState::kUnknown);
  CHECK(status.since == "2026-12-04T10:00:00Z");
}

TEST(RuleStatus, ProxyListedAsSilentAndReportedIsUnknown) {
  ReportedDomain domain = ReportedDomainWith("a", kDeclared);
  domain.status.silent = {{NodeId("a"), "2026-12-04T09:00:00Z"}};
  CHECK(StateOf(domain) == RuleState::kUnknown);
}

TEST(RuleStatus, FreshReportOfOneRelayTakesPrecedenceOverSilenceAtAnother) {
  const FleetStatus fleet{
      .domains = {SilentDomainWith("a"), ReportedDomainWith("a", kDeclared)}};
  CHECK(StatusIn(fleet, {}).state == RuleState::kInForce);
}

TEST(RuleStatus, RevisionWhoseContentCannotBeReadIsUnknown) {
  CHECK(StateOf(ReportedDomainWith("a", 5)) == RuleState::kUnknown);
}

TEST(RuleStatus, MissingLabelsAreUnknown) {
  ReportedDomain domain = ReportedDomainWith("a", kDeclared);
  domain.status.labels.clear();
  CHECK(StateOf(domain) == RuleState::kUnknown);
}

TEST(RuleStatus, MemberThatNoRelayReportsIsUnknown) {
  const FleetStatus fleet{.members = {{NodeId("a"), DomainId("north")}}};
  CHECK(StatusIn(fleet, {}).state == RuleState::kUnknown);
}

TEST(RuleStatus, ProxyThatTheSelectorDoesNotChooseHasAReason) {
  ObjectTexts objects = SampleObjects();
  banyantrail::SelectorObject selector = banyantrail::testing::kEveryProxy;
  selector.requirements = {
      {.key = "tier", .op = banyantrail::LabelOperator::kExists}};
  Put(selector, objects);
  const auto statuses =
      ComputeRuleStatus({.domains = {ReportedDomainWith("a", kDeclared)}},
                        {.revision = {.number = kDeclared}, .objects = objects},
                        {{kDeclared, objects}});
  const ProxyRuleStatus& status = statuses.at(0).proxies.at(0);
  CHECK(status.state == RuleState::kNotChosen);
  STRCMP_EQUAL("needs tier exists, but the proxy has no label tier",
               status.why.c_str());
}

TEST(RuleStatus, TextGroupsProxiesByReason) {
  const FleetStatus fleet{.domains = {ReportedDomainWith("a", kDeclared),
                                      ReportedDomainWith("b", kDeclared),
                                      SilentDomainWith("c")}};
  const Release declared{.revision = {.number = kDeclared},
                         .objects = SampleObjects()};
  STRCMP_EQUAL(
      "routing_rule/orders: in force 2, not in force 0, unknown 1, not chosen "
      "0\n"
      "  in force on 2 (at revision 7; the selector chooses every proxy): a, "
      "b\n"
      "  unknown on 1 (since 2026-12-04T09:00:00Z: it stopped reporting): c\n",
      banyantrail::ctl::RuleStatusText(
          ComputeRuleStatus(fleet, declared, {{kDeclared, declared.objects}}))
          .c_str());
}
