#pragma once

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "banyantrail/core/clock.h"
#include "banyantrail/core/ids.h"
#include "banyantrail/core/random.h"
#include "banyantrail/membership/anti_entropy.h"
#include "banyantrail/membership/failure_detector.h"
#include "banyantrail/membership/membership_table.h"
#include "banyantrail/membership/outgoing_message.h"
#include "banyantrail/membership/update_disseminator.h"
#include "banyantrail/wire/peer_messages.h"

namespace banyantrail {

/// The configuration release that a peer reports as its current one.
struct ReportedRelease {
  NodeId from;
  Revision revision;
  std::string digest;

  friend bool operator==(const ReportedRelease&,
                         const ReportedRelease&) = default;
};

/// The results of one event, for the caller to act on.
struct MembershipOutput {
  std::vector<OutgoingMessage> messages;
  /// Members whose records changed, this node included.
  std::set<NodeId> changed;
  /// Input for the distribution of configuration.
  std::optional<ReportedRelease> reported_release;
};

/// Event counts, for metrics.
struct MembershipCounters {
  std::uint64_t suspicions_raised = 0;
  std::uint64_t deaths_found = 0;
  std::uint64_t refutations = 0;
  std::uint64_t expired_records_rejected = 0;
  std::uint64_t isolations = 0;

  friend bool operator==(const MembershipCounters&,
                         const MembershipCounters&) = default;
};

/// The membership protocol of one node as a state machine without I/O: it takes
/// the time, received messages and the node's own changes, and returns the
/// messages to send. The caller calls OnTick about every 50 ms and passes at
/// least the message types DigestMessage, MembershipPullMessage,
/// MembershipUpdateMessage, ProbeMessage and ProbeAckMessage to OnMessage;
/// other types are ignored.
class MembershipProtocol {
 public:
  struct Options {
    /// The node's own record at the start. Its incarnation must be greater than
    /// those of the node's earlier runs; the wall clock in milliseconds is
    /// sufficient. The protocol raises it above any greater one that it learns
    /// of.
    MemberRecord own_record;
    std::vector<IpEndpoint> seeds;
    std::uint64_t rng_seed = 0;
    MembershipTable::Options table;
    /// `self` and `domain` of the next three are taken from `own_record`.
    FailureDetector::Options failure_detector;
    UpdateDisseminator::Options update_disseminator;
    AntiEntropy::Options anti_entropy;
    /// Disabled only in experiments that measure the protocol without
    /// refutation of suspicions.
    bool refutes_suspicions = true;
  };

  MembershipProtocol(Options options, TimePoint now);

  MembershipOutput OnTick(TimePoint now);
  MembershipOutput OnMessage(const NodeId& from,
                             const PeerMessage& message,
                             TimePoint now);
  /// The transport could not reach `node`.
  MembershipOutput OnPeerUnreachable(const NodeId& node, TimePoint now);

  /// Changes of the node's own record. Each is sent to the whole fleet with the
  /// next batch.
  MembershipOutput SetBackendServers(std::vector<BackendServerRecord> servers,
                                     TimePoint now);
  MembershipOutput SetDraining(bool draining, TimePoint now);
  MembershipOutput SetLabels(Labels labels, TimePoint now);
  /// Announces the departure of the node at the end of its graceful shutdown.
  /// No message may be sent after those returned.
  MembershipOutput Leave(TimePoint now);

  /// Sets the revision that the node has applied and its digest. Digest
  /// messages carry them; the change causes no message of its own.
  void SetReleaseDigest(Revision revision, std::string digest);

  /// Raises the revision that another node is known to have applied, so that
  /// this node can report it to the other one after a restart.
  void RaiseAppliedRevision(const NodeId& node, Revision revision);

  /// Replaces the addresses used for the first contact with other members.
  void SetSeeds(std::vector<IpEndpoint> seeds);

  const MembershipTable& table() const { return m_table; }
  /// Its `applied_revision` is the greatest revision that this node is known to
  /// have applied, in this incarnation or an earlier one.
  const MemberRecord& own_record() const;

  /// Whether the node may be isolated from its domain. It then keeps all
  /// records and declares no member dead.
  bool is_isolated() const { return m_failure_detector.is_isolated(); }

  /// Other domains that do not answer this node. Their members' records are
  /// kept and stay usable.
  std::set<DomainId> unreachable_domains() const {
    return m_anti_entropy.UnreachableDomains();
  }

  /// Whether the node has pulled the whole table since it started or was last
  /// isolated.
  bool has_joined() const { return m_anti_entropy.has_joined(); }

  const MembershipCounters& counters() const { return m_counters; }

 private:
  void Handle(const NodeId& from,
              const DigestMessage& digest,
              TimePoint now,
              MembershipOutput& output);
  void Handle(const NodeId& from,
              const MembershipPullMessage& pull,
              TimePoint now,
              MembershipOutput& output);
  void Handle(const NodeId& from,
              const MembershipUpdateMessage& update,
              TimePoint now,
              MembershipOutput& output);
  void Handle(const NodeId& from,
              const ProbeMessage& probe,
              TimePoint now,
              MembershipOutput& output);
  void Handle(const NodeId& from,
              const ProbeAckMessage& ack,
              TimePoint now,
              MembershipOutput& output);
  template <typename Other>
  void Handle(const NodeId&, const Other&, TimePoint, MembershipOutput&) {}

  void CheckSender(const NodeId& from,
                   const PeerMessage& message,
                   MembershipOutput& output);
  void MergeReceived(const NodeId& from,
                     const MemberRecord& record,
                     TimePoint now,
                     MembershipOutput& output);
  void MergeReceivedOwnRecord(const MemberRecord& record,
                              TimePoint now,
                              MembershipOutput& output);
  void RaiseState(const NodeId& node,
                  MemberState state,
                  TimePoint now,
                  MembershipOutput& output);
  /// Declares dead the earlier members at the address of `record`'s node.
  void DeclareReplacedMembersDead(const MemberRecord& record,
                                  TimePoint now,
                                  MembershipOutput& output);
  void ApplyActions(FailureDetector::Actions actions,
                    TimePoint now,
                    MembershipOutput& output);
  void TrackIsolation(TimePoint now);
  void Append(std::vector<OutgoingMessage> messages, MembershipOutput& output);
  MembershipOutput PublishOwnRecord(MemberRecord record, TimePoint now);

  NodeId m_self;
  bool m_refutes_suspicions;
  bool m_has_left = false;
  /// The own record was sent to the whole fleet after the join.
  bool m_has_announced = false;
  bool m_was_isolated = false;
  Rng m_rng;
  MembershipTable m_table;
  FailureDetector m_failure_detector;
  UpdateDisseminator m_update_disseminator;
  AntiEntropy m_anti_entropy;
  MembershipCounters m_counters;
};

}  // namespace banyantrail
