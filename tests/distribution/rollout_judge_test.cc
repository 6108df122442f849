#include "banyantrail/distribution/rollout_judge.h"

#include <CppUTest/TestHarness.h>

#include <cmath>
#include <functional>
#include <random>

#include "banyantrail/core/random.h"
#include "banyantrail/traffic/rollout_counter.h"

using banyantrail::ClassOf;
using banyantrail::Duration;
using banyantrail::milliseconds;
using banyantrail::NodeId;
using banyantrail::ResponseCounts;
using banyantrail::Rng;
using banyantrail::RolloutDecision;
using banyantrail::RolloutJudge;
using banyantrail::RolloutPhase;
using banyantrail::RolloutReportMessage;
using banyantrail::RuleName;
using banyantrail::seconds;
using banyantrail::TimePoint;
using banyantrail::ToNumber;

namespace {

const NodeId kNode("n1");
constexpr Duration kDuration = seconds(12);
constexpr double kCanaryShare = 0.05;
constexpr int kSeeds = 1000;

struct Moment {
  Duration elapsed{};
  bool is_target = false;
  /// The new version gets all requests.
  bool under_load = false;
  int route = 0;
};

/// How a service behaves. Three routes, of which the third gets a tenth of the
/// requests.
struct Behaviour {
  std::function<double(const Moment&)> failure_rate = [](const Moment&) {
    return 0.02;
  };
  std::function<double(const Moment&)> latency_factor = [](const Moment&) {
    return 1.0;
  };
  int requests_per_s = 150;
};

struct Outcome {
  RolloutPhase phase = RolloutPhase::kCanary;
  Duration decided_at{};
  double requests = 0;
  double to_target = 0;

  /// Whether the new version got no more than a bad one may get until the time
  /// limit.
  bool is_within_exposure() const {
    constexpr double kShare = 0.1;
    constexpr double kSlack = 50;
    return to_target <= kShare * requests + kSlack;
  }
};

/// One service at one node, which reports every 500 ms, or every 200 ms after
/// the promotion, and finishes the requests at the old version within 700 ms.
class Play {
 public:
  Play(const Behaviour& behaviour, std::uint64_t seed)
      : m_behaviour(behaviour), m_rng(seed) {}

  Outcome Run() {
    constexpr Duration kStep = milliseconds(50);
    constexpr double kStepSeconds = 0.05;
    for (Duration elapsed{}; elapsed < kDuration; elapsed += kStep) {
      std::poisson_distribution<int> arrivals(m_behaviour.requests_per_s *
                                              kStepSeconds);
      for (int i = arrivals(m_rng); i > 0; --i) {
        Request(elapsed);
      }
      if (!m_decided) {
        Exchange(elapsed);
      }
    }
    return m_outcome;
  }

 private:
  bool SendToTarget() {
    std::bernoulli_distribution canary(kCanaryShare);
    const bool is_canary = canary(m_rng);
    switch (m_outcome.phase) {
      case RolloutPhase::kCanary:
        return is_canary;
      case RolloutPhase::kPromoted:
        return true;
      default:
        return false;
    }
  }

  void Request(Duration elapsed) {
    const bool is_target = SendToTarget();
    ++m_outcome.requests;
    m_outcome.to_target += is_target ? 1 : 0;
    std::discrete_distribution<int> routes({6, 3, 1});
    const Moment moment{
        .elapsed = elapsed,
        .is_target = is_target,
        .under_load = m_outcome.phase == RolloutPhase::kPromoted,
        .route = routes(m_rng)};
    std::bernoulli_distribution fails(m_behaviour.failure_rate(moment));
    std::lognormal_distribution<double> latency_ms(std::log(40), 0.6);
    ++m_counts[ToNumber(ClassOf(
        {.rule = RuleName("r" + std::to_string(moment.route)),
         .is_target_version = is_target,
         .failed = fails(m_rng),
         .latency = std::chrono::duration_cast<Duration>(
             std::chrono::duration<double, std::milli>(
                 latency_ms(m_rng) * m_behaviour.latency_factor(moment)))}))];
  }

  void Exchange(Duration elapsed) {
    const TimePoint now = TimePoint{} + elapsed;
    const bool is_promoted = m_outcome.phase == RolloutPhase::kPromoted;
    const Duration interval = milliseconds(is_promoted ? 200 : 500);
    if (elapsed - m_reported_at >= interval) {
      m_reported_at = elapsed;
      RolloutReportMessage report{.incarnation = 1,
                                  .sequence = ++m_sequence,
                                  .phase = m_outcome.phase,
                                  .others_in_flight = OthersInFlight(elapsed)};
      for (const auto& [number, count] : m_counts) {
        report.counts.push_back(number);
        report.counts.push_back(count);
      }
      m_counts.clear();
      m_judge.OnReport(kNode, report, now);
    }
    const RolloutDecision decision =
        m_judge.Decide({{.node = kNode, .incarnation = 1}}, now);
    if (decision.phase == RolloutPhase::kPromoted && !is_promoted) {
      m_promoted_at = elapsed;
    }
    m_outcome.phase =
        decision.may_complete ? RolloutPhase::kCompleted : decision.phase;
    m_decided = m_outcome.phase == RolloutPhase::kCompleted ||
                m_outcome.phase == RolloutPhase::kRolledBack;
    m_outcome.decided_at = elapsed;
  }

  std::uint32_t OthersInFlight(Duration elapsed) const {
    return elapsed - m_promoted_at < milliseconds(700) ? 3 : 0;
  }

  const Behaviour& m_behaviour;
  Rng m_rng;
  RolloutJudge m_judge{{.started = TimePoint{}, .duration = kDuration}};
  Outcome m_outcome;
  bool m_decided = false;
  ResponseCounts m_counts;
  Duration m_reported_at{};
  Duration m_promoted_at{};
  std::uint64_t m_sequence = 0;
};

struct Tally {
  int completed = 0;
  int rolled_back = 0;
  int beyond_exposure = 0;
};

Tally PlayAll(const Behaviour& behaviour) {
  Tally tally;
  for (int seed = 0; seed < kSeeds; ++seed) {
    const Outcome outcome =
        Play(behaviour, static_cast<std::uint64_t>(seed)).Run();
    tally.completed += outcome.phase == RolloutPhase::kCompleted ? 1 : 0;
    tally.rolled_back += outcome.phase == RolloutPhase::kRolledBack ? 1 : 0;
    tally.beyond_exposure += outcome.is_within_exposure() ? 0 : 1;
  }
  UT_PRINT(StringFromFormat("%d completed, %d rolled back, %d beyond exposure",
                            tally.completed, tally.rolled_back,
                            tally.beyond_exposure)
               .asCharString());
  return tally;
}

/// At most 1 in 200 good versions may be rolled back.
void CheckGood(const Behaviour& behaviour) {
  CHECK(PlayAll(behaviour).completed >= kSeeds * 995 / 1000);
}

/// At most 1 in 200 bad versions may be missed or get too much.
void CheckBad(const Behaviour& behaviour) {
  const Tally tally = PlayAll(behaviour);
  CHECK(tally.rolled_back >= kSeeds * 995 / 1000);
  CHECK(tally.beyond_exposure <= kSeeds * 5 / 1000);
}

std::function<double(const Moment&)> TargetOnly(double usual, double target) {
  return [usual, target](const Moment& moment) {
    return moment.is_target ? target : usual;
  };
}

}  // namespace

TEST_GROUP(RolloutJudge){};

// Each group below counts verdicts over 1,000 seeds.

TEST(RolloutJudge, GoodVersionIsCompletedUnderNoise) {
  CheckGood({});
  CheckGood({.requests_per_s = 10});
  CheckGood({.requests_per_s = 800});
}

TEST(RolloutJudge, GoodVersionIsCompletedUnderACommonFault) {
  const auto in_fault = [](const Moment& moment) {
    return moment.elapsed > seconds(3) && moment.elapsed < seconds(5);
  };
  CheckGood({.failure_rate = [in_fault](const Moment& moment) {
    return in_fault(moment) ? 0.5 : 0.02;
  }});
  CheckGood({.latency_factor = [in_fault](const Moment& moment) {
    return in_fault(moment) ? 4.0 : 1.0;
  }});
}

// Guards against the rollback of a good version whose first servers run on VMs
// of half the usual speed.
TEST(RolloutJudge, GoodVersionOnSlowVmsIsCompleted) {
  CheckGood({.latency_factor = TargetOnly(1, 2)});
}

TEST(RolloutJudge, VersionThatIsBadAtOnceIsRolledBack) {
  CheckBad({.failure_rate = TargetOnly(0.02, 0.3)});
  CheckBad({.failure_rate = TargetOnly(0.02, 1)});
}

TEST(RolloutJudge, VersionThatBecomesBadLateIsRolledBack) {
  CheckBad({.failure_rate = [](const Moment& moment) {
    return moment.is_target && moment.elapsed > seconds(5) ? 0.4 : 0.02;
  }});
}

TEST(RolloutJudge, VersionThatIsBadUnderLoadIsRolledBack) {
  CheckBad({.failure_rate = [](const Moment& moment) {
    return moment.is_target && moment.under_load ? 0.4 : 0.02;
  }});
}

TEST(RolloutJudge, VersionThatIsBadOnOneRouteIsRolledBack) {
  CheckBad({.failure_rate = [](const Moment& moment) {
    return moment.is_target && moment.route == 1 ? 0.5 : 0.02;
  }});
}

TEST(RolloutJudge, VersionThatIsSeveralTimesSlowerIsRolledBack) {
  CheckBad({.latency_factor = TargetOnly(1, 4)});
}

// Guards against the loss of requests at servers that stop at once when the
// state "completed" is written.
TEST(RolloutJudge, CompletesOnlyWhenEveryNodeHasConfirmed) {
  const TimePoint start{};
  RolloutJudge judge({.started = start,
                      .duration = kDuration,
                      .phase = RolloutPhase::kPromoted});
  const std::vector<RolloutJudge::RequiredNode> nodes{
      {.node = kNode, .incarnation = 3}, {.node = NodeId("n2")}};
  const auto report = [&](const NodeId& node, std::uint64_t incarnation,
                          std::uint64_t sequence, std::uint32_t in_flight) {
    judge.OnReport(node,
                   {.incarnation = incarnation,
                    .sequence = sequence,
                    .phase = RolloutPhase::kPromoted,
                    .others_in_flight = in_flight},
                   start);
    return judge.Decide(nodes, start).may_complete;
  };
  CHECK_FALSE(report(kNode, 3, 1, 0));
  CHECK_FALSE(report(NodeId("n2"), 1, 1, 2));
  CHECK(report(NodeId("n2"), 1, 2, 0));
  // The duplicate of an earlier report changes nothing.
  CHECK(report(NodeId("n2"), 1, 1, 2));
  // A confirmation of an earlier run of a node is none.
  const std::vector<RolloutJudge::RequiredNode> restarted{
      {.node = kNode, .incarnation = 4}};
  CHECK_FALSE(judge.Decide(restarted, start).may_complete);
}

// Guards against a roll-out that stays undecided beyond its time limit because
// a node cannot be reached.
TEST(RolloutJudge, RollsBackWhenANodeDoesNotConfirmInTime) {
  RolloutJudge judge({.started = TimePoint{},
                      .duration = kDuration,
                      .phase = RolloutPhase::kPromoted});
  const RolloutDecision decision =
      judge.Decide({{.node = kNode}}, TimePoint{} + milliseconds(11'600));
  CHECK(decision.phase == RolloutPhase::kRolledBack);
  STRCMP_CONTAINS("n1", decision.reason.c_str());
}

// Guards against the promotion of a version whose servers have not started.
TEST(RolloutJudge, VersionWithoutResponsesIsNotPromoted) {
  RolloutJudge judge({.started = TimePoint{}, .duration = kDuration});
  judge.OnReport(kNode, {.incarnation = 1, .sequence = 1, .counts = {0, 500}},
                 TimePoint{});
  CHECK(judge.Decide({}, TimePoint{} + seconds(9)).phase ==
        RolloutPhase::kCanary);
  CHECK(judge.Decide({}, TimePoint{} + seconds(10)).phase ==
        RolloutPhase::kRolledBack);
}
