#include "banyantrail/traffic/exposure_control.h"

#include <CppUTest/TestHarness.h>

#include <deque>
#include <random>

using banyantrail::BackendServerId;
using banyantrail::Duration;
using banyantrail::ExposureControl;
using banyantrail::milliseconds;
using banyantrail::RolloutDirectiveMessage;
using banyantrail::RolloutPhase;
using banyantrail::RoutedService;
using banyantrail::seconds;
using banyantrail::ServiceEndpoint;
using banyantrail::ServiceName;
using banyantrail::TimePoint;
using banyantrail::VersionChoice;

namespace {

const ServiceName kService("orders");
constexpr double kShare = 0.1;
constexpr double kSlack = 50;

std::vector<RoutedService> Servers(int old_count, int new_count) {
  RoutedService service{.name = kService};
  for (int i = 0; i < old_count + new_count; ++i) {
    service.endpoints.push_back({.id = BackendServerId("s" + std::to_string(i)),
                                 .version = i < old_count ? "v1" : "v2"});
  }
  return {service};
}

RolloutDirectiveMessage Directive(RolloutPhase phase,
                                  std::uint64_t rollout = 7) {
  return {.service = kService,
          .target_version = "v2",
          .rollout = {.number = rollout},
          .phase = phase};
}

}  // namespace

TEST_GROUP(ExposureControl) {
  TimePoint now{};
  ExposureControl control{{.share = kShare, .slack = kSlack, .seed = 1}};

  void setup() override {
    control.SetServices(Servers(12, 0), 71, now);
    now += seconds(10);
  }

  void ShowNewVersion() {
    control.SetServices(Servers(12, 12), 71, now);
  }

  bool Apply(RolloutPhase phase, std::uint64_t rollout = 7) {
    return control.Apply(Directive(phase, rollout), now);
  }

  /// How many of the next requests go to the new version.
  int SentToNew(int requests) {
    int sent = 0;
    for (int i = 0; i < requests; ++i) {
      const VersionChoice choice = control.Next(kService, now);
      sent += choice.only == "v2" ? 1 : 0;
    }
    return sent;
  }

  bool MayGetToNew() {
    const ServiceEndpoint endpoint{.version = "v2"};
    return control.Next(kService, now).Allows(endpoint);
  }
};

TEST(ExposureControl, WithoutAShareVersionsAreIgnored) {
  ExposureControl off{{}};
  off.SetServices(Servers(12, 12), 71, now);
  CHECK(off.Next(kService, now) == VersionChoice{});
}

// Guards against a bad version that gets its full share of servers while its
// roll-out is still on its way to the node.
TEST(ExposureControl, NewVersionWithoutARollOutIsLimitedForSomeTime) {
  ShowNewVersion();
  now += milliseconds(1900);
  CHECK(SentToNew(1000) <= 51);
  now += milliseconds(200);
  CHECK(control.Next(kService, now) == VersionChoice{});
}

TEST(ExposureControl, CanaryGetsItsShareAtFewServers) {
  ShowNewVersion();
  CHECK(Apply(RolloutPhase::kCanary));
  const int sent = SentToNew(1000);
  CHECK(sent >= 49 && sent <= 52);
  std::set<BackendServerId> servers;
  for (int i = 0; i < 100; ++i) {
    now += milliseconds(10);
    const VersionChoice choice = control.Next(kService, now);
    servers.insert(choice.servers.begin(), choice.servers.end());
  }
  LONGS_EQUAL(3, servers.size());
}

// Guards against a sum over all nodes that exceeds the share and the slack, and
// against one so small that services with few requests are not judged: whatever
// the requests per node, the new version gets about the canary share.
TEST(ExposureControl, SumOverAllNodesIsWithinShareAndSlack) {
  constexpr int kSeeds = 1000;
  constexpr std::size_t kNodes = 71;
  for (int seed = 0; seed < kSeeds; ++seed) {
    std::mt19937_64 rng(static_cast<std::uint64_t>(seed));
    std::deque<ExposureControl> nodes;
    for (std::size_t i = 0; i < kNodes; ++i) {
      nodes.emplace_back(ExposureControl::Options{
          .share = kShare, .slack = kSlack, .seed = rng()});
      nodes.back().SetServices(Servers(12, 0), kNodes, now);
      nodes.back().SetServices(Servers(12, 12), kNodes, now + seconds(5));
      nodes.back().Apply(Directive(RolloutPhase::kCanary), now + seconds(5));
    }
    const int requests = std::uniform_int_distribution<int>(1, 2000)(rng);
    const std::size_t used =
        std::uniform_int_distribution<std::size_t>(1, kNodes)(rng);
    int sent = 0;
    for (int i = 0; i < requests; ++i) {
      const std::size_t node =
          std::uniform_int_distribution<std::size_t>(0, used - 1)(rng);
      sent += nodes[node].Next(kService, now + seconds(6)).only ? 1 : 0;
    }
    CHECK(sent <= kShare * requests + kSlack);
    CHECK(sent >= 0.05 * requests - 20);
  }
}

TEST(ExposureControl, HeldAndRolledBackVersionsGetNothing) {
  ShowNewVersion();
  Apply(RolloutPhase::kCanary);
  CHECK(Apply(RolloutPhase::kRolledBack));
  LONGS_EQUAL(0, SentToNew(1000));
  CHECK_FALSE(MayGetToNew());
  // A judge with an older view takes nothing back.
  CHECK_FALSE(Apply(RolloutPhase::kPromoted));
  CHECK_FALSE(MayGetToNew());
  // A later roll-out of the same version starts again.
  CHECK(Apply(RolloutPhase::kCanary, 8));
  CHECK(SentToNew(1000) > 0);
}

// Guards against exposure at a node that is cut off from the judge.
TEST(ExposureControl, CanaryStopsWithoutContactToTheJudge) {
  ShowNewVersion();
  Apply(RolloutPhase::kCanary);
  now += seconds(4);
  LONGS_EQUAL(0, SentToNew(1000));
  CHECK_FALSE(MayGetToNew());
  CHECK(control.PhaseOf(kService, now) == RolloutPhase::kHeld);
  CHECK(Apply(RolloutPhase::kCanary));
  CHECK(SentToNew(1000) > 0);
}

TEST(ExposureControl, OwnEvidenceStopsTheCanary) {
  ShowNewVersion();
  Apply(RolloutPhase::kCanary);
  control.Stop(kService);
  LONGS_EQUAL(0, SentToNew(1000));
  Apply(RolloutPhase::kCanary);
  LONGS_EQUAL(0, SentToNew(1000));
}

// Guards against requests at old servers, which stop at once after the
// completion, from a node that has confirmed the promotion.
TEST(ExposureControl, PromotedVersionGetsEverythingAlsoWithoutContact) {
  ShowNewVersion();
  Apply(RolloutPhase::kCanary);
  CHECK(Apply(RolloutPhase::kPromoted));
  const ServiceEndpoint old_server{.version = "v1"};
  now += seconds(20);
  for (int i = 0; i < 1000; ++i) {
    CHECK_FALSE(control.Next(kService, now).Allows(old_server));
  }
  CHECK_FALSE(Apply(RolloutPhase::kCanary));
  CHECK(control.PhaseOf(kService, now) == RolloutPhase::kPromoted);
  CHECK(MayGetToNew());
}

// A node that knows no server of the new version cannot send everything there,
// and must not confirm that it does.
TEST(ExposureControl, NodeWithoutServersOfTheVersionDoesNotPromote) {
  Apply(RolloutPhase::kPromoted);
  CHECK(control.PhaseOf(kService, now) == RolloutPhase::kHeld);
  const ServiceEndpoint old_server{.version = "v1"};
  CHECK(control.Next(kService, now).Allows(old_server));
}

TEST(ExposureControl, CompletedVersionReplacesTheOthersButNotLaterOnes) {
  ShowNewVersion();
  Apply(RolloutPhase::kCompleted);
  CHECK(MayGetToNew());
  CHECK_FALSE(
      control.Next(kService, now).Allows(ServiceEndpoint{.version = "v1"}));
  auto services = Servers(0, 12);
  services.front().endpoints.push_back(
      {.id = BackendServerId("t"), .version = "v3"});
  control.SetServices(services, 71, now);
  now += seconds(3);
  CHECK(control.Next(kService, now).Allows(ServiceEndpoint{.version = "v3"}));
}

// A restarted node sees both versions at once: the one with more servers counts
// as established.
TEST(ExposureControl, AfterARestartTheSmallerVersionIsLimited) {
  ExposureControl restarted{{.share = kShare, .slack = kSlack, .seed = 1}};
  restarted.SetServices(Servers(12, 3), 71, now);
  const VersionChoice choice = restarted.WithoutLimited(kService, now);
  CHECK(choice.excluded == std::set<std::string>{"v2"});
}

// Guards against exposure that starts anew with each directive while one judge
// has seen the new era of the store and another has not.
TEST(ExposureControl, JudgesOfTwoErasDoNotStartARollOutAnew) {
  ShowNewVersion();
  Apply(RolloutPhase::kCanary);
  int sent = 0;
  constexpr int kRequests = 200;
  for (int i = 0; i < kRequests; ++i) {
    Apply(i % 2 == 0 ? RolloutPhase::kHeld : RolloutPhase::kCanary);
    sent += SentToNew(1);
  }
  // The share of the canary phase and the start credit, which is below 2.
  CHECK(sent < 0.05 * kRequests + 2);
  Apply(RolloutPhase::kRolledBack);
  Apply(RolloutPhase::kCanary);
  CHECK_FALSE(MayGetToNew());
}

// Guards against an order of the new era that an unaware judge displaces: its
// id has a greater number.
TEST(ExposureControl, RollOutOfALaterEraIsNewer) {
  ShowNewVersion();
  Apply(RolloutPhase::kRolledBack, 20);
  RolloutDirectiveMessage later = Directive(RolloutPhase::kCanary, 3);
  later.rollout.era = 1;
  CHECK(control.Apply(later, now));
  CHECK_FALSE(Apply(RolloutPhase::kRolledBack, 21));
  CHECK(control.PhaseOf(kService, now) == RolloutPhase::kCanary);
}
