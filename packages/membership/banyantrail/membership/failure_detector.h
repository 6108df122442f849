#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "banyantrail/core/clock.h"
#include "banyantrail/core/ids.h"
#include "banyantrail/core/random.h"
#include "banyantrail/membership/membership_table.h"
#include "banyantrail/wire/peer_messages.h"

namespace banyantrail {

/// Detects failed members of the node's own failure domain with SWIM-style
/// probes.
///
/// The domain's live members form a ring, ordered by hash. Each node probes a
/// fixed number of responsive successors, so that the detection time is bounded
/// whatever the size of the domain. A member that does not answer is probed
/// indirectly through other members, then suspected, and then declared dead
/// unless it refutes the suspicion. While a member does not answer, the next
/// one on the ring is probed as well, so that ring neighbours that fail at the
/// same time are detected at the same time.
///
/// A node that receives no answers considers itself isolated. So does a node
/// that loses a significant share of its domain, polls all remaining members
/// and reaches less than half of the domain. An isolated node keeps probing but
/// declares no member dead.
class FailureDetector {
 public:
  struct Options {
    NodeId self;
    DomainId domain;
    Duration probe_interval = milliseconds(500);
    Duration direct_timeout = milliseconds(300);
    /// Time allowed for indirect probes. The member that forwards one waits
    /// `forwarded_probe_timeout` for the target's answer.
    Duration indirect_timeout = milliseconds(300);
    Duration forwarded_probe_timeout = milliseconds(200);
    /// Time that a suspected member has to refute the suspicion.
    Duration suspicion_timeout = milliseconds(800);
    /// Added for suspicions that other nodes raised, so that the node that
    /// raised a suspicion confirms it first.
    Duration remote_suspicion_slack = milliseconds(400);
    std::size_t successor_count = 3;
    std::size_t intermediary_count = 3;
    /// How long a death counts towards the loss of the majority.
    Duration recent_death_window = seconds(10);
    /// The node polls its domain when at least one in `poll_loss_divisor`
    /// members is lost.
    std::size_t poll_loss_divisor = 8;
    Duration poll_interval = seconds(1);
    /// Keeps an isolated node from confirming deaths. Disabled only in
    /// experiments that measure the protocol without this safeguard.
    bool defers_deaths_when_isolated = true;
    /// Disabled only in experiments that measure the protocol without indirect
    /// probes.
    bool uses_indirect_probes = true;
  };

  struct OutgoingProbe {
    NodeId to;
    ProbeMessage message;
  };

  /// An answer to a probe, from the target or on its behalf.
  struct OutgoingAck {
    NodeId to;
    ProbeAckMessage message;
  };

  /// A member to be declared dead.
  struct Death {
    NodeId node;
    /// Whether this node raised the suspicion and therefore announces the death
    /// to the fleet.
    bool found_locally = false;
  };

  struct Actions {
    std::vector<OutgoingProbe> probes;
    std::vector<OutgoingAck> acks;
    std::vector<NodeId> suspected;
    std::vector<Death> dead;
  };

  explicit FailureDetector(Options options);

  /// Advances all timers and returns the actions that are due.
  Actions Tick(const MembershipTable& table, TimePoint now, Rng& rng);

  /// Answers a probe, or probes its target on the sender's behalf.
  Actions OnProbe(const NodeId& from, const ProbeMessage& probe, TimePoint now);

  /// Handles the answer to a probe.
  Actions OnAck(const NodeId& from, const ProbeAckMessage& ack, TimePoint now);

  /// A connection to `node` failed: a pending direct probe of it times out at
  /// once, and an idle member is probed at once.
  void OnPeerUnreachable(const NodeId& node, TimePoint now);

  /// Must be called after each change of a record in the table.
  void OnRecordChanged(const MemberRecord& record, TimePoint now);

  /// Whether the node confirms no deaths because it may be isolated itself.
  bool is_isolated() const { return m_is_isolated; }

 private:
  enum class Phase { kIdle, kDirect, kIndirect };

  struct ProbedMember {
    Phase phase = Phase::kIdle;
    std::uint64_t probe_id = 0;
    TimePoint phase_end;
    /// Did not answer directly and has not answered since.
    bool is_failing = false;
    /// Did not answer indirect probes either.
    bool is_unreachable = false;
  };

  struct ForwardedProbe {
    NodeId requester;
    std::uint64_t requester_probe_id = 0;
    NodeId target;
    TimePoint deadline;
  };

  struct Suspicion {
    Incarnation incarnation = 0;
    TimePoint since;
    bool raised_locally = false;
  };

  void RefreshProbedMembers(TimePoint now);
  void RefreshDomain(const MembershipTable& table);
  void UpdateIsolation(TimePoint now, Actions& actions);
  void UpdatePoll(TimePoint now, Actions& actions);
  void StartPoll(TimePoint now, Actions& actions);
  bool HasLostContact(TimePoint now) const;
  bool HasSignificantLoss() const;
  /// Size of the domain before the recent deaths.
  std::size_t RecentDomainSize() const;
  void RestartTimers(TimePoint now);
  void AdvanceProbe(const NodeId& node,
                    ProbedMember& member,
                    const MembershipTable& table,
                    TimePoint now,
                    Rng& rng,
                    Actions& actions);
  void StartProbe(const NodeId& node,
                  ProbedMember& member,
                  TimePoint now,
                  Actions& actions);
  void SendIndirectProbes(const NodeId& node,
                          const ProbedMember& member,
                          const MembershipTable& table,
                          Rng& rng,
                          Actions& actions);
  std::vector<NodeId> ChooseIntermediaries(const NodeId& target,
                                           const MembershipTable& table,
                                           Rng& rng) const;
  void Suspect(const NodeId& node,
               const MembershipTable& table,
               TimePoint now,
               Actions& actions);
  void ConfirmDeaths(TimePoint now, Actions& actions);
  void ExpireForwardedProbes(TimePoint now, Actions& actions);
  void ExpireRecentDeaths(TimePoint now);

  /// A probe of all members of the domain at the same time.
  struct Poll {
    std::uint64_t probe_id = 0;
    TimePoint started;
    std::set<NodeId> answered;
  };

  Options m_options;
  std::map<NodeId, ProbedMember> m_probed;
  std::map<std::uint64_t, ForwardedProbe> m_forwarded_probes;
  std::map<NodeId, Suspicion> m_suspicions;
  std::map<NodeId, TimePoint> m_recent_deaths;
  /// Live members of the own domain, including this node. An answer from one of
  /// them proves that this node is not isolated.
  std::set<NodeId> m_domain_members;
  /// The other live members of the own domain, in ring order starting after
  /// this node.
  std::vector<NodeId> m_ring;
  std::size_t m_fleet_size = 0;
  /// The table's `live_members_version` from which the three fields above were
  /// computed.
  std::uint64_t m_live_members_version = 0;
  std::optional<TimePoint> m_last_contact;
  std::uint64_t m_next_probe_id = 1;
  std::optional<Poll> m_poll;
  bool m_has_majority = true;
  /// The last completed poll did not reach the majority.
  bool m_is_minority = false;
  bool m_is_isolated = false;
  /// Answers from other domains count as contact too.
  bool m_counts_other_domains = false;
  bool m_can_detect_isolation = false;
};

}  // namespace banyantrail
