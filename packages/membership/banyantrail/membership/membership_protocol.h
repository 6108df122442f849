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
#include "banyantrail/membership/update_spreader.h"
#include "banyantrail/wire/peer_messages.h"

namespace banyantrail {

/// What a peer said it holds of the configuration.
struct ReceivedRelease {
  NodeId from;
  Revision revision = 0;
  std::string digest;

  friend bool operator==(const ReceivedRelease&,
                         const ReceivedRelease&) = default;
};

/// What one event asks of the caller.
struct MembershipOutput {
  std::vector<OutgoingMessage> messages;
  /// Members whose records changed, the own one included.
  std::set<NodeId> changed;
  /// For the distribution of configuration.
  std::optional<ReceivedRelease> received_release;
};

/// How often the protocol did what, for metrics.
struct MembershipCounters {
  std::uint64_t suspicions_raised = 0;
  std::uint64_t deaths_found = 0;
  std::uint64_t own_refutations = 0;
  std::uint64_t stale_records_refused = 0;
  std::uint64_t isolations = 0;

  friend bool operator==(const MembershipCounters&,
                         const MembershipCounters&) = default;
};

/// The membership of one node as a state machine: it takes the time, messages
/// and the node's own changes, and returns what to send. The caller ticks it
/// about every 50 ms and handles at least the message kinds DigestMessage,
/// MembershipPullMessage, MembershipUpdateMessage, ProbeMessage and
/// ProbeAckMessage through OnMessage; other kinds are ignored.
class MembershipProtocol {
 public:
  struct Options {
    /// The own record as it starts. Its incarnation has to be greater than that
    /// of the node's former lives: the wall clock in milliseconds will do. The
    /// protocol raises it over any greater one that it learns of.
    MemberRecord own_record;
    std::vector<IpEndpoint> seeds;
    std::uint64_t rng_seed = 0;
    MembershipTable::Options table;
    /// `self` and `domain` of these three are taken from the own record.
    FailureDetector::Options failure_detector;
    UpdateSpreader::Options update_spreader;
    AntiEntropy::Options anti_entropy;
    /// Off for comparison only: do not answer suspicions.
    bool refutes_suspicions = true;
  };

  MembershipProtocol(Options options, TimePoint now);

  MembershipOutput OnTick(TimePoint now);
  MembershipOutput OnMessage(const NodeId& from,
                             const PeerMessage& message,
                             TimePoint now);
  /// The transport could not reach `node`.
  MembershipOutput OnPeerUnreachable(const NodeId& node, TimePoint now);

  /// The node's own changes. Each spreads to the whole fleet at once.
  MembershipOutput SetBackendServers(std::vector<BackendServerRecord> servers,
                                     TimePoint now);
  MembershipOutput SetDraining(bool draining, TimePoint now);
  MembershipOutput SetLabels(Labels labels, TimePoint now);
  /// The last words of a planned stop. Nothing may be sent after them.
  MembershipOutput Leave(TimePoint now);

  /// The revision and digest that the node has applied. Rides on digests and
  /// causes no message of its own.
  void SetReleaseDigest(Revision revision, std::string digest);

  /// Remembers what another node said it applied, so that the fleet can tell it
  /// after a restart.
  void NoteAppliedRevision(const NodeId& node, Revision revision);

  /// Replaces the addresses for first contact.
  void SetSeeds(std::vector<IpEndpoint> seeds);

  const MembershipTable& table() const { return m_table; }
  /// Its `applied_revision` is the greatest revision that this node, in this
  /// life or a former one, is known to have applied.
  const MemberRecord& own_record() const;

  /// Whether the node may be cut off from its domain. It then keeps all records
  /// and confirms no death.
  bool is_isolated() const { return m_failure_detector.is_isolated(); }

  /// Other domains that do not answer this node. Their records stay usable.
  std::set<DomainId> unreachable_domains() const {
    return m_anti_entropy.UnreachableDomains();
  }

  /// Whether the node has pulled the whole table since it started.
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

  void NoteSender(const NodeId& from,
                  const PeerMessage& message,
                  MembershipOutput& output);
  void MergeReceived(const NodeId& from,
                     const MemberRecord& record,
                     TimePoint now,
                     MembershipOutput& output);
  void MergeOwn(const MemberRecord& record,
                TimePoint now,
                MembershipOutput& output);
  void RaiseState(const NodeId& node,
                  MemberState state,
                  TimePoint now,
                  MembershipOutput& output);
  void EndFormerOwnerOfAddress(const MemberRecord& record,
                               TimePoint now,
                               MembershipOutput& output);
  void Take(FailureDetector::Actions actions,
            TimePoint now,
            MembershipOutput& output);
  void NoteIsolation(TimePoint now);
  void Append(std::vector<OutgoingMessage> messages, MembershipOutput& output);
  MembershipOutput PublishOwn(MemberRecord record, TimePoint now);

  NodeId m_self;
  bool m_refutes_suspicions;
  bool m_has_left = false;
  /// The own record went to the whole fleet, once its members were known.
  bool m_has_announced = false;
  bool m_was_isolated = false;
  Rng m_rng;
  MembershipTable m_table;
  FailureDetector m_failure_detector;
  UpdateSpreader m_update_spreader;
  AntiEntropy m_anti_entropy;
  MembershipCounters m_counters;
};

}  // namespace banyantrail
