#include "banyantrail/distribution/rollout_judge.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace banyantrail {
namespace {

bool IsUndecided(RolloutPhase phase) {
  return phase == RolloutPhase::kCanary || phase == RolloutPhase::kHeld;
}

}  // namespace

RolloutJudge::RolloutJudge(Options options)
    : m_options(options),
      m_phase(m_options.phase),
      m_evidence(m_options.evidence),
      m_window_start(m_options.started) {}

void RolloutJudge::OnReport(const NodeId& node,
                            const RolloutReportMessage& report,
                            TimePoint now) {
  NodeState& state = m_nodes[node];
  const bool is_old = std::pair(report.incarnation, report.sequence) <=
                      std::pair(state.incarnation, state.sequence);
  if (is_old) {
    return;
  }
  state = {.incarnation = report.incarnation,
           .sequence = report.sequence,
           .phase = report.phase,
           .others_in_flight = report.others_in_flight};
  if (report.phase == RolloutPhase::kPromoted && IsUndecided(m_phase)) {
    SetPhase(RolloutPhase::kPromoted, "promoted by an earlier judge");
  }
  if (report.phase == RolloutPhase::kRolledBack) {
    SetFinalPhase(RolloutPhase::kRolledBack, "rolled back by another judge");
  }
  // Ends the window first, so that a node that reports late does not stretch
  // it.
  EndWindowIfDue(now);
  for (std::size_t i = 0; i + 1 < report.counts.size(); i += 2) {
    m_evidence.Add(report.counts[i], report.counts[i + 1]);
  }
}

void RolloutJudge::EndWindowIfDue(TimePoint now) {
  const Duration window = m_phase == RolloutPhase::kPromoted
                              ? m_options.promoted_window
                              : m_options.window;
  if (now - m_window_start >= window) {
    m_window_start = now;
    m_evidence.EndWindow();
  }
}

void RolloutJudge::SetPhase(RolloutPhase phase, std::string reason) {
  m_phase = phase;
  m_reason = std::move(reason);
}

void RolloutJudge::SetFinalPhase(RolloutPhase phase,
                                 const std::string& reason) {
  const bool is_later =
      phase == RolloutPhase::kCompleted || m_phase != RolloutPhase::kCompleted;
  if (is_later && m_phase != phase) {
    SetPhase(phase, reason);
  }
}

Duration RolloutJudge::PartOfDuration(double part) const {
  return std::chrono::duration_cast<Duration>(part * m_options.duration);
}

std::string RolloutJudge::EvidenceText() const {
  return std::string(m_evidence.worst_kind()) + " score " +
         std::to_string(m_evidence.score()) + " of 1 after " +
         std::to_string(m_evidence.target_responses()) + " responses";
}

RolloutDecision RolloutJudge::Decide(const std::vector<RequiredNode>& required,
                                     TimePoint now) {
  EndWindowIfDue(now);
  bool may_complete = false;
  if (IsUndecided(m_phase)) {
    DecideCanary(now);
  } else if (m_phase == RolloutPhase::kPromoted) {
    DecidePromoted(required, now);
    may_complete = m_phase == RolloutPhase::kPromoted &&
                   std::ranges::all_of(required, [this](const auto& node) {
                     return HasConfirmed(node);
                   });
  }
  if (m_is_held && IsUndecided(m_phase)) {
    return {.phase = RolloutPhase::kHeld,
            .reason = "the order is missing in the store"};
  }
  return {.phase = m_phase, .may_complete = may_complete, .reason = m_reason};
}

void RolloutJudge::DecideCanary(TimePoint now) {
  if (m_evidence.is_bad()) {
    SetPhase(RolloutPhase::kRolledBack,
             "bad in the canary phase: " + EvidenceText());
    return;
  }
  if (m_is_held) {
    return;
  }
  const Duration elapsed = now - m_options.started;
  const Duration promotion = std::max(PartOfDuration(m_options.canary_part),
                                      m_options.duration - m_options.max_end);
  const bool is_judged_by_any =
      m_evidence.target_responses() > 0 ||
      m_evidence.other_responses() < m_options.max_others_without_target;
  const bool is_judged_by_enough =
      m_evidence.target_responses() >= m_options.min_responses ||
      (elapsed >= PartOfDuration(m_options.latest_promotion) &&
       is_judged_by_any);
  if (elapsed >= promotion && is_judged_by_enough &&
      m_evidence.score() < m_options.max_score_to_promote) {
    SetPhase(RolloutPhase::kPromoted,
             "as good as the other versions: " + EvidenceText());
  } else if (elapsed >=
             std::max(promotion, PartOfDuration(m_options.latest_verdict))) {
    SetPhase(RolloutPhase::kRolledBack,
             "no verdict in time: " + EvidenceText());
  }
}

void RolloutJudge::DecidePromoted(const std::vector<RequiredNode>& required,
                                  TimePoint now) {
  if (m_evidence.is_bad()) {
    SetPhase(RolloutPhase::kRolledBack,
             "bad with all requests: " + EvidenceText());
    return;
  }
  if (m_is_held ||
      now - m_options.started < PartOfDuration(m_options.latest_confirmation)) {
    return;
  }
  const auto missing = std::ranges::find_if(
      required, [this](const auto& node) { return !HasConfirmed(node); });
  if (missing != required.end()) {
    SetPhase(RolloutPhase::kRolledBack,
             "node " + missing->node.str() +
                 " has not confirmed in time that it sends all requests to the "
                 "new version");
  }
}

bool RolloutJudge::HasConfirmed(const RequiredNode& required) const {
  const auto found = m_nodes.find(required.node);
  return found != m_nodes.end() &&
         found->second.incarnation >= required.incarnation &&
         found->second.phase == RolloutPhase::kPromoted &&
         found->second.others_in_flight == 0;
}

}  // namespace banyantrail
