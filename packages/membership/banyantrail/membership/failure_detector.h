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

/// Finds the dead among the members of the node's own failure domain.
///
/// The domain's live members form a ring, ordered by hash. Each node probes a
/// fixed number of responsive successors, so that the time to detect a death
/// has a bound whatever the size of the domain. A member that does not answer
/// is probed through helpers, then suspected, then taken for dead unless it
/// refutes. While a member does not answer, the next one on the ring is probed
/// as well, so that neighbours that die together are found together.
///
/// A node that hears from nobody takes itself for the one that is cut off. So
/// does a node that loses a notable share of its domain, then asks all the
/// others and hears from less than half. It goes on probing and confirms no
/// death.
class FailureDetector {
 public:
  struct Options {
    NodeId self;
    DomainId domain;
    Duration probe_interval = milliseconds(500);
    Duration direct_timeout = milliseconds(300);
    /// How long helpers get; a helper itself waits for `relayed_timeout`.
    Duration indirect_timeout = milliseconds(300);
    Duration relayed_timeout = milliseconds(200);
    /// How long a suspected member has for its refutation.
    Duration suspicion_timeout = milliseconds(800);
    /// Added for suspicions raised by others, which confirm them first.
    Duration suspicion_slack = milliseconds(400);
    std::size_t successor_count = 3;
    std::size_t helper_count = 3;
    /// How long a death counts towards the loss of the majority.
    Duration recent_death_window = seconds(10);
    /// A loss of one in `poll_divisor` members makes the node poll its domain.
    std::size_t poll_divisor = 8;
    Duration poll_interval = seconds(1);
    /// Off for comparison only: confirm deaths even when cut off.
    bool holds_deaths_when_isolated = true;
    /// Off for comparison only: suspect without asking helpers.
    bool asks_helpers = true;
  };

  /// A probe to send.
  struct OutgoingProbe {
    NodeId to;
    ProbeMessage message;
  };

  /// An answer to a helper's asker.
  struct OutgoingAck {
    NodeId to;
    ProbeAckMessage message;
  };

  /// A member that is to be taken for dead.
  struct Death {
    NodeId node;
    /// Whether this node raised the suspicion and so tells the fleet.
    bool is_own_finding = false;
  };

  struct Actions {
    std::vector<OutgoingProbe> probes;
    std::vector<OutgoingAck> acks;
    std::vector<NodeId> suspected;
    std::vector<Death> dead;
  };

  explicit FailureDetector(Options options);

  /// Moves all timers on.
  Actions Tick(const MembershipTable& table, TimePoint now, Rng& rng);

  /// Answers a probe, or probes its target on the sender's behalf.
  Actions OnProbe(const NodeId& from, const ProbeMessage& probe, TimePoint now);

  /// Takes an answer from `from`.
  Actions OnAck(const NodeId& from, const ProbeAckMessage& ack, TimePoint now);

  /// A connection to `node` failed: its probe does not wait any longer.
  void OnPeerUnreachable(const NodeId& node, TimePoint now);

  /// Tells of each change of a record of the own domain, after the merge.
  void OnRecordChanged(const MemberRecord& record, TimePoint now);

  /// Whether the node holds back deaths because it may be the one cut off.
  bool is_isolated() const { return m_is_isolated; }

 private:
  enum class Phase { kIdle, kDirect, kIndirect };

  struct ProbedMember {
    Phase phase = Phase::kIdle;
    std::uint64_t probe_id = 0;
    /// When the phase ends.
    TimePoint until;
    /// Did not answer directly and has not answered since.
    bool is_failing = false;
    /// Did not answer through helpers either.
    bool is_unreachable = false;
  };

  struct RelayedProbe {
    NodeId asker;
    std::uint64_t asker_probe_id = 0;
    NodeId target;
    TimePoint until;
  };

  struct Suspicion {
    Incarnation incarnation = 0;
    TimePoint since;
    bool is_own = false;
  };

  void RefreshProbedMembers(TimePoint now);
  void RefreshDomain(const MembershipTable& table);
  void UpdateIsolation(TimePoint now, Actions& actions);
  void UpdatePoll(TimePoint now, Actions& actions);
  void StartPoll(TimePoint now, Actions& actions);
  bool IsCutOff(TimePoint now) const;
  bool HasNotableLoss() const;
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
  void AskHelpers(const NodeId& node,
                  const ProbedMember& member,
                  const MembershipTable& table,
                  Rng& rng,
                  Actions& actions);
  std::vector<NodeId> ChooseHelpers(const NodeId& target,
                                    const MembershipTable& table,
                                    Rng& rng) const;
  void Suspect(const NodeId& node,
               const MembershipTable& table,
               TimePoint now,
               Actions& actions);
  void ConfirmDeaths(TimePoint now, Actions& actions);
  void ExpireRelayedProbes(TimePoint now, Actions& actions);
  void ForgetOldDeaths(TimePoint now);

  /// A question to all members of the domain at once.
  struct Poll {
    std::uint64_t probe_id = 0;
    TimePoint started;
    std::set<NodeId> answered;
  };

  Options m_options;
  std::map<NodeId, ProbedMember> m_probed;
  std::map<std::uint64_t, RelayedProbe> m_relayed;
  std::map<NodeId, Suspicion> m_suspicions;
  std::map<NodeId, TimePoint> m_recent_deaths;
  /// Live members of the own domain, this node included; an answer of one
  /// proves contact.
  std::set<NodeId> m_contacts;
  /// The same without this node, in the order of the ring after it.
  std::vector<NodeId> m_ring;
  std::size_t m_fleet_size = 0;
  /// Version of the table's live members that the above were taken from.
  std::uint64_t m_domain_version = 0;
  std::optional<TimePoint> m_last_contact;
  std::uint64_t m_next_probe_id = 1;
  std::optional<Poll> m_poll;
  bool m_has_majority = true;
  /// The last poll that ended did not reach the majority.
  bool m_is_minority = false;
  bool m_is_isolated = false;
  bool m_counts_any_contact = false;
  bool m_can_be_cut_off = false;
};

}  // namespace banyantrail
