#include "banyantrail/node/rollout_participant.h"

#include <nlohmann/json.hpp>
#include <string>
#include <utility>

#include "banyantrail/core/logging.h"

namespace banyantrail {
namespace {

const ComponentLogger kLog("rollout");

/// A node sees few responses of its own per window, so they are remembered over
/// about 10 s.
constexpr VersionEvidence::Options kOwnEvidence{.memory = 0.95};

const char* ToText(RolloutPhase phase) {
  switch (phase) {
    case RolloutPhase::kCanary:
      return "canary";
    case RolloutPhase::kHeld:
      return "held";
    case RolloutPhase::kPromoted:
      return "promoted";
    case RolloutPhase::kCompleted:
      return "completed";
    case RolloutPhase::kRolledBack:
      return "rolled_back";
  }
  return "unknown";
}

/// The responses in `counts` that are not in `earlier`, as pairs of class and
/// count.
std::vector<std::uint32_t> NewCounts(const ResponseCounts& counts,
                                     const ResponseCounts& earlier) {
  std::vector<std::uint32_t> pairs;
  for (const auto& [number, count] : counts) {
    const auto found = earlier.find(number);
    const std::uint32_t known = found == earlier.end() ? 0 : found->second;
    if (count > known) {
      pairs.push_back(number);
      pairs.push_back(count - known);
    }
  }
  return pairs;
}

bool HasFailedTargetResponse(const std::vector<std::uint32_t>& pairs) {
  for (std::size_t i = 0; i + 1 < pairs.size(); i += 2) {
    const ResponseClass response = ResponseClassOf(pairs[i]);
    if (response.failed && response.is_target_version) {
      return true;
    }
  }
  return false;
}

}  // namespace

void RolloutParticipant::OnDirective(const RolloutDirectiveMessage& directive,
                                     TimePoint now) {
  KnownRollout& known = m_known[directive.service];
  if (directive.rollout < known.directive.rollout) {
    return;
  }
  if (directive.rollout > known.directive.rollout) {
    known.started = now - milliseconds(directive.age_ms);
    m_counter.Reset(directive.service);
    m_reported.insert_or_assign(
        directive.service, Reported{.evidence = VersionEvidence(kOwnEvidence)});
  }
  if (m_exposure.Apply(directive, now)) {
    kLog.Event({{"event", "rollout_phase"},
                {"service", directive.service.str()},
                {"target_version", directive.target_version},
                {"phase", ToText(*m_exposure.PhaseOf(directive.service, now))},
                {"judge", directive.judge.str()}});
  }
  known.directive = *m_exposure.RolloutOf(directive.service);
  Reported& reported = m_reported[directive.service];
  if (reported.judge != directive.judge) {
    reported.judge = directive.judge;
    reported.counts.clear();
    reported.is_requested = true;
  }
  reported.is_requested = reported.is_requested ||
                          directive.phase == RolloutPhase::kPromoted ||
                          directive.phase != known.directive.phase;
}

std::vector<RolloutParticipant::Report> RolloutParticipant::TakeDueReports(
    Incarnation incarnation,
    TimePoint now) {
  std::vector<Report> reports;
  for (const auto& [service, known] : m_known) {
    Reported& reported = m_reported[service];
    const ResponseCounts& counts = m_counter.counts(service);
    RolloutReportMessage message{.service = service,
                                 .rollout = known.directive.rollout,
                                 .incarnation = incarnation,
                                 .phase = *m_exposure.PhaseOf(service, now),
                                 .others_in_flight = m_counter.OthersInFlight(
                                     service, known.directive.target_version),
                                 .counts = NewCounts(counts, reported.counts)};
    if (message.phase == RolloutPhase::kCompleted ||
        !IsDue(reported, message, now)) {
      continue;
    }
    JudgeOwnResponses(service, reported, counts);
    reported.counts = counts;
    reported.at = now;
    reported.phase = message.phase;
    reported.has_others = message.others_in_flight > 0;
    reported.is_requested = false;
    message.sequence = ++m_sequence;
    reports.push_back({.judge = reported.judge, .message = std::move(message)});
  }
  return reports;
}

/// Failures of the new version and changes of the state are reported at once,
/// other responses after an interval.
bool RolloutParticipant::IsDue(const Reported& reported,
                               const RolloutReportMessage& report,
                               TimePoint now) {
  constexpr Duration kMinInterval = milliseconds(100);
  constexpr Duration kPromotedInterval = milliseconds(200);
  constexpr Duration kInterval = milliseconds(500);
  const Duration elapsed = now - reported.at;
  if (reported.is_requested || report.phase != reported.phase) {
    return true;
  }
  if (report.phase == RolloutPhase::kRolledBack || elapsed < kMinInterval) {
    return false;
  }
  if (report.phase == RolloutPhase::kPromoted &&
      reported.has_others != (report.others_in_flight > 0)) {
    return true;
  }
  if (HasFailedTargetResponse(report.counts)) {
    return true;
  }
  const Duration interval =
      report.phase == RolloutPhase::kPromoted ? kPromotedInterval : kInterval;
  return !report.counts.empty() && elapsed >= interval;
}

void RolloutParticipant::JudgeOwnResponses(const ServiceName& service,
                                           Reported& reported,
                                           const ResponseCounts& counts) {
  const std::vector<std::uint32_t> pairs = NewCounts(counts, reported.judged);
  for (std::size_t i = 0; i + 1 < pairs.size(); i += 2) {
    reported.evidence.Add(pairs[i], pairs[i + 1]);
  }
  reported.judged = counts;
  const bool was_bad = reported.evidence.is_bad();
  reported.evidence.EndWindow();
  if (reported.evidence.is_bad() && !was_bad) {
    m_exposure.Stop(service);
    kLog.Event({{"event", "rollout_stopped"},
                {"service", service.str()},
                {"reason", "own responses are bad"},
                {"about", reported.evidence.worst_kind()},
                {"responses", reported.evidence.target_responses()}});
  }
}

}  // namespace banyantrail
