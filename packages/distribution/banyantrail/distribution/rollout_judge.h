#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "banyantrail/core/clock.h"
#include "banyantrail/core/ids.h"
#include "banyantrail/distribution/version_evidence.h"
#include "banyantrail/wire/rollout_messages.h"

namespace banyantrail {

/// What the judge decides about a roll-out at some moment.
struct RolloutDecision {
  /// The phase that all nodes are directed to.
  RolloutPhase phase = RolloutPhase::kCanary;
  /// All nodes have confirmed that they send everything to the new version and
  /// that nothing is in progress at the others.
  bool may_complete = false;
  /// Why the phase was chosen, for the log.
  std::string reason;

  friend bool operator==(const RolloutDecision&,
                         const RolloutDecision&) = default;
};

/// Judges one roll-out by the reports of all nodes. Does no I/O; the current
/// time is passed to each call.
class RolloutJudge {
 public:
  struct Options {
    /// When a judge first read the roll-out.
    TimePoint started;
    /// Time limit of the roll-out.
    Duration duration{};
    /// The phase that an earlier judge has directed.
    RolloutPhase phase = RolloutPhase::kCanary;
    VersionEvidence::Options evidence;
    /// The canary phase takes this part of the duration, so that a version that
    /// becomes bad late is found while it has a small share, but leaves no more
    /// than `max_end` for what follows.
    double canary_part = 0.65;
    Duration max_end = seconds(10);
    /// A version whose score is not below this is not promoted.
    double max_score_to_promote = 0.5;
    /// The canary phase is extended until there are this many responses of the
    /// new version, up to the part `latest_promotion` of the duration.
    std::uint64_t min_responses = 30;
    double latest_promotion = 0.72;
    /// A version without any response is not promoted after this many responses
    /// of the others: its servers have probably not started.
    std::uint64_t max_others_without_target = 200;
    /// Parts of the duration after which a version that is not promoted, or not
    /// confirmed by all nodes, is rolled back.
    double latest_verdict = 0.8;
    double latest_confirmation = 0.96;
    /// Responses are compared over windows of this length. After the promotion
    /// the new version gets all requests and windows are shorter.
    Duration window = milliseconds(400);
    Duration promoted_window = milliseconds(100);
  };

  /// A node whose confirmation is needed.
  struct RequiredNode {
    NodeId node;
    Incarnation incarnation = 0;
  };

  explicit RolloutJudge(Options options);

  /// Duplicates are ignored.
  void OnReport(const NodeId& node,
                const RolloutReportMessage& report,
                TimePoint now);

  RolloutDecision Decide(const std::vector<RequiredNode>& required,
                         TimePoint now);

  /// The time limit was changed.
  void SetDuration(Duration duration) { m_options.duration = duration; }

  /// While held, the roll-out is ended by evidence alone: its order is not in
  /// the store. A version in the canary phase gets no requests.
  void SetHeld(bool held) { m_is_held = held; }

  /// Ends the roll-out with a phase that was decided elsewhere.
  void SetFinalPhase(RolloutPhase phase, const std::string& reason);

  RolloutPhase phase() const { return m_phase; }
  const VersionEvidence& evidence() const { return m_evidence; }
  TimePoint started() const { return m_options.started; }

 private:
  struct NodeState {
    Incarnation incarnation = 0;
    std::uint64_t sequence = 0;
    RolloutPhase phase = RolloutPhase::kCanary;
    std::uint32_t others_in_flight = 0;
  };

  void EndWindowIfDue(TimePoint now);
  void SetPhase(RolloutPhase phase, std::string reason);
  void DecideCanary(TimePoint now);
  void DecidePromoted(const std::vector<RequiredNode>& required, TimePoint now);
  bool HasConfirmed(const RequiredNode& required) const;
  Duration PartOfDuration(double part) const;
  std::string EvidenceText() const;

  Options m_options;
  RolloutPhase m_phase;
  std::string m_reason = "roll-out started";
  bool m_is_held = false;
  VersionEvidence m_evidence;
  TimePoint m_window_start;
  std::map<NodeId, NodeState> m_nodes;
};

}  // namespace banyantrail
