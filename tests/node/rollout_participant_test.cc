#include "banyantrail/node/rollout_participant.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <memory>

#include "banyantrail/node/rollout_coordinator.h"

using banyantrail::BackendServerId;
using banyantrail::DomainId;
using banyantrail::ExposureControl;
using banyantrail::JudgeCandidates;
using banyantrail::MemberRecord;
using banyantrail::MembershipView;
using banyantrail::MemberState;
using banyantrail::milliseconds;
using banyantrail::NodeId;
using banyantrail::RolloutCounter;
using banyantrail::RolloutParticipant;
using banyantrail::RolloutPhase;
using banyantrail::RoutedService;
using banyantrail::RuleName;
using banyantrail::seconds;
using banyantrail::ServiceName;
using banyantrail::TimePoint;

namespace {

const ServiceName kService("orders");

}  // namespace

TEST_GROUP(RolloutParticipant) {
  TimePoint now{};
  ExposureControl exposure{{.share = 0.1, .slack = 50, .seed = 1}};
  RolloutCounter counter;
  RolloutParticipant participant{exposure, counter};

  void setup() override {
    RoutedService service{.name = kService};
    service.endpoints.push_back({.id = BackendServerId("s1"), .version = "v1"});
    exposure.SetServices({service}, 2, now);
    service.endpoints.push_back({.id = BackendServerId("s2"), .version = "v2"});
    exposure.SetServices({service}, 2, now);
  }

  void Direct(RolloutPhase phase, const char* judge = "j1") {
    participant.OnDirective({.service = kService,
                             .target_version = "v2",
                             .rollout = {.number = 5},
                             .phase = phase,
                             .judge = NodeId(judge)},
                            now);
  }

  std::vector<RolloutParticipant::Report> Reports() {
    return participant.TakeDueReports(1, now);
  }

  void Record(int count, bool is_target, bool failed) {
    for (int i = 0; i < count; ++i) {
      counter.Record({.service = kService,
                      .rule = RuleName("r"),
                      .is_target_version = is_target,
                      .failed = failed,
                      .latency = milliseconds(20)});
    }
  }
};

TEST(RolloutParticipant, ReportsResponsesOnceAndAfterAnInterval) {
  Direct(RolloutPhase::kCanary);
  LONGS_EQUAL(1, Reports().size());
  Record(3, false, false);
  CHECK(Reports().empty());
  now += milliseconds(500);
  const auto reports = Reports();
  LONGS_EQUAL(1, reports.size());
  LONGS_EQUAL(2, reports.front().message.counts.size());
  LONGS_EQUAL(3, reports.front().message.counts[1]);
  now += seconds(1);
  CHECK(Reports().empty());
}

TEST(RolloutParticipant, ReportsFailuresOfTheNewVersionSooner) {
  Direct(RolloutPhase::kCanary);
  Reports();
  Record(1, true, true);
  now += milliseconds(100);
  LONGS_EQUAL(1, Reports().size());
}

// Guards against evidence that is lost with a killed judge.
TEST(RolloutParticipant, NextJudgeGetsAllCounts) {
  Direct(RolloutPhase::kCanary);
  Reports();
  Record(3, false, false);
  now += milliseconds(500);
  Reports();
  Direct(RolloutPhase::kCanary, "j2");
  const auto reports = Reports();
  STRCMP_EQUAL("j2", reports.front().judge.str().c_str());
  LONGS_EQUAL(3, reports.front().message.counts[1]);
}

// Guards against evidence of an earlier roll-out in a later one, whose id has a
// lower number since the store has come back from an older copy.
TEST(RolloutParticipant, RollOutOfALaterEraIsNewer) {
  Direct(RolloutPhase::kRolledBack);
  Record(3, false, false);
  Reports();
  const banyantrail::StoreRevision later{.era = 1, .number = 2};
  participant.OnDirective({.service = kService,
                           .target_version = "v2",
                           .rollout = later,
                           .judge = NodeId("j2")},
                          now);
  Direct(RolloutPhase::kRolledBack);
  CHECK(participant.known().at(kService).directive.rollout == later);
  const auto reports = Reports();
  STRCMP_EQUAL("j2", reports.front().judge.str().c_str());
  CHECK(reports.front().message.rollout == later);
  CHECK(reports.front().message.counts.empty());
}

// Guards against a completion while requests are in progress at old servers,
// which stop at once.
TEST(RolloutParticipant, ReportsWhenNothingIsInProgressAtOldServers) {
  Direct(RolloutPhase::kPromoted);
  {
    const RolloutCounter::InFlight old_request(&counter, kService, "v1");
    const RolloutCounter::InFlight new_request(&counter, kService, "v2");
    const auto reports = Reports();
    CHECK(reports.front().message.phase == RolloutPhase::kPromoted);
    LONGS_EQUAL(1, reports.front().message.others_in_flight);
  }
  now += milliseconds(100);
  LONGS_EQUAL(0, Reports().front().message.others_in_flight);
}

// Guards against a bad version that keeps its share while the judge cannot be
// reached.
TEST(RolloutParticipant, OwnResponsesStopABadVersion) {
  Direct(RolloutPhase::kCanary);
  Reports();
  Record(100, false, false);
  Record(10, true, true);
  now += milliseconds(500);
  Reports();
  CHECK(exposure.PhaseOf(kService, now) == RolloutPhase::kHeld);
}

// Guards against roll-outs without a judge when the judge's whole failure
// domain is lost: its members are never declared dead from outside.
TEST(RolloutParticipant, EachFailureDomainHasACandidateForTheJudge) {
  MembershipView view;
  const auto add = [&view](const char* node, const char* domain,
                           MemberState state, const char* version) {
    MemberRecord record{
        .node = NodeId(node), .domain = DomainId(domain), .state = state};
    record.backend_servers.push_back({.version = version});
    view.members.push_back(
        std::make_shared<const MemberRecord>(std::move(record)));
  };
  add("a1", "a", MemberState::kAlive, "v1");
  add("a2", "a", MemberState::kAlive, "v1");
  add("b1", "b", MemberState::kAlive, "v1");
  add("b2", "b", MemberState::kDead, "v1");
  add("c1", "c", MemberState::kAlive, "");  // A build from before roll-outs.
  const std::vector<NodeId> candidates = JudgeCandidates(view);
  LONGS_EQUAL(2, candidates.size());
  CHECK(std::ranges::count(candidates, NodeId("b1")) == 1);
}
