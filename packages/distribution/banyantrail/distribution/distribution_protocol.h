#pragma once

#include <cstddef>
#include <cstdint>
#include <limits>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "banyantrail/core/clock.h"
#include "banyantrail/core/ids.h"
#include "banyantrail/core/random.h"
#include "banyantrail/distribution/push_tracker.h"
#include "banyantrail/distribution/release_requester.h"
#include "banyantrail/distribution/release_store.h"
#include "banyantrail/distribution/startup_gate.h"
#include "banyantrail/distribution/transfer_admission.h"
#include "banyantrail/wire/peer_messages.h"

namespace banyantrail {

/// How releases spread. Every mode but the first is a baseline to measure
/// against.
enum class DistributionMode {
  /// Deltas down a tree, repaired by anti-entropy.
  kTree,
  /// The tree, with the whole release in place of deltas.
  kTreeWholeReleases,
  /// No tree: each node that learns of a revision offers it to a few others.
  kGossip,
  /// Each node reads the platform itself.
  kPlatformWatch,
};

/// Where to reach one foreign failure domain.
struct DomainEntryPoints {
  DomainId domain;
  std::vector<NodeId> nodes;

  friend bool operator==(const DomainEntryPoints&,
                         const DomainEntryPoints&) = default;
};

/// The part of the membership that distribution needs.
struct DistributionPeers {
  /// Alive members of the node's own failure domain, without the node itself.
  std::vector<NodeId> own_domain;
  std::vector<DomainEntryPoints> foreign_domains;
  /// Relays of the own failure domain in the order of their slots; may hold the
  /// node itself.
  std::vector<NodeId> relays;

  friend bool operator==(const DistributionPeers&,
                         const DistributionPeers&) = default;
};

/// A message for one peer.
struct AddressedMessage {
  NodeId to;
  PeerMessage message;

  friend bool operator==(const AddressedMessage&,
                         const AddressedMessage&) = default;
};

/// What the caller has to do after an input.
struct DistributionOutput {
  std::vector<AddressedMessage> messages;
  /// Releases applied by the input, in order.
  std::vector<std::shared_ptr<const Release>> applied;
};

/// Counts since the start, for the metrics.
struct DistributionCounters {
  std::uint64_t applied = 0;
  std::uint64_t already_have = 0;
  std::uint64_t needs_parent = 0;
  std::uint64_t refused_digest_mismatch = 0;
  std::uint64_t refused_does_not_compile = 0;
  std::uint64_t refused_malformed = 0;
  std::uint64_t pushes = 0;
  std::uint64_t pushes_replaced = 0;
  std::uint64_t requests = 0;
  std::uint64_t deltas_served = 0;
  std::uint64_t whole_served = 0;
  std::uint64_t busy_sent = 0;
  std::uint64_t busy_received = 0;
  std::uint64_t offers = 0;

  friend bool operator==(const DistributionCounters&,
                         const DistributionCounters&) = default;
};

/// The distribution of releases as one node sees it: pushes down the tree with
/// an acknowledgement for each hop, requests for what is missing, admission of
/// whole transfers, offers to foreign failure domains and status reports.
///
/// Pure: time comes in with each input, randomness from the seed; no I/O.
/// Messages may be lost, repeated or reordered by the caller.
class DistributionProtocol {
 public:
  struct Options {
    NodeId self;
    Labels labels;
    DistributionMode mode = DistributionMode::kTree;
    ReleaseStore::Options store;
    StartupGate::Options gate;
    std::uint64_t seed = 0;
    /// Children of each node in the tree.
    std::size_t arity = 4;
    /// A child that has not acknowledged within this time is replaced.
    Duration ack_timeout = milliseconds(200);
    ReleaseRequester::Options requests;
    TransferAdmission::Options transfers;
    /// How long a node that merely heard of a revision waits for the tree
    /// before it asks.
    Duration request_grace = milliseconds(30);
    /// How long a relay of the second slot, or a node that learned a revision
    /// from a foreign domain, waits for the push of another before its own when
    /// the delta is large. Small ones are pushed at the next tick: receivers of
    /// both pushes forward only to members that the first one left out.
    Duration second_push_delay = milliseconds(100);
    /// Up to this size a delta counts as small.
    std::size_t small_delta_bytes = std::size_t{4} << 10U;
    /// How often a node that may not serve yet asks peers for their revision.
    Duration question_interval = milliseconds(250);
    /// How often a relay offers its revision to each foreign domain. Of the
    /// other members one does so in each interval, on average, so that a
    /// domain without relays is no island.
    Duration foreign_offer_interval = seconds(1);
    /// How often the node sends its digest to a random member. 0 when the
    /// membership exchange carries the digest.
    Duration digest_interval = Duration::zero();
    /// How often the status goes to the relays when nothing changes.
    Duration status_interval = seconds(5);
    /// Members that a node offers a new revision to in gossip mode.
    std::size_t gossip_fanout = 3;
    /// A larger difference is not pushed; on request it is given as whole
    /// releases are. For links so narrow that each hop of the tree would take
    /// longer than reading the store.
    std::size_t max_pushed_bytes = std::numeric_limits<std::size_t>::max();
    /// Whether the first release of this node's life, read from the store, goes
    /// down the tree. Not where every node begins with reading the store.
    bool push_first_release = true;
    /// Off only to show in tests what replacing is for.
    bool replace_unacknowledged = true;
  };

  DistributionProtocol(Options options, TimePoint start);

  [[nodiscard]] DistributionOutput OnTick(TimePoint now);
  [[nodiscard]] DistributionOutput OnMessage(const NodeId& from,
                                             const PeerMessage& message,
                                             TimePoint now);
  /// A release that this node read from the platform, as a relay.
  [[nodiscard]] DistributionOutput OnReleaseFromPlatform(Release release,
                                                         TimePoint now);
  /// A message to `node` could not be delivered.
  [[nodiscard]] DistributionOutput OnPeerUnreachable(const NodeId& node,
                                                     TimePoint now);
  void OnMembership(DistributionPeers peers);
  /// Peers remember that this node had applied `revision` in an earlier life.
  void OnFloor(Revision revision) { m_gate.OnFloor(revision); }
  /// The platform was read; its newest revision is `revision`.
  void OnPlatformHead(Revision revision) { m_gate.OnPlatformHead(revision); }

  const ReleaseStore& store() const { return m_store; }
  const DistributionCounters& counters() const { return m_counters; }
  std::uint64_t request_timeouts() const { return m_requester.timeouts(); }
  ServingState Serving(TimePoint now);
  /// The greatest revision that the node has heard of.
  Revision floor() const { return m_gate.floor(); }
  /// What the node reports to its relays.
  StatusReportMessage Status() const;

 private:
  /// A release named by revision and digest.
  struct ReleaseName {
    Revision revision = 0;
    std::string digest;
  };

  /// A push as root of the own domain's tree that waits for its turn.
  struct ScheduledPush {
    ReleaseName base;
    TimePoint due;
  };

  /// A subtree that is owed a release whose delta arrived damaged.
  struct OwedPush {
    ReleaseName base;
    Revision to_revision = 0;
    std::vector<NodeId> subtree;
  };

  void Handle(const NodeId& from, const ReleaseDeltaMessage& message);
  void Handle(const NodeId& from, const ReleaseAckMessage& message);
  void Handle(const NodeId& from, const ReleaseRequestMessage& message);
  void Handle(const NodeId& from, const ReleaseBusyMessage& message);
  void Handle(const NodeId& from, const DigestMessage& message);
  void Handle(const NodeId& from, const StoreHeadMessage& message);
  template <typename Other>
  void Handle(const NodeId& from, const Other& message);

  void LearnHolder(const NodeId& from,
                   Revision revision,
                   const std::string& digest);
  void OnResult(const ApplyResult& result);
  void OnApplied();
  void OnRefused(const RefusedRelease& refused);
  void LearnFromDelta(const NodeId& from,
                      const ReleaseDeltaMessage& message,
                      const ApplyResult& result);

  void Forward(const ReleaseDeltaMessage& message,
               const ApplyResult& result,
               const ReleaseName& base);
  std::vector<NodeId> TakeUncovered(const ReleaseDeltaMessage& message);
  void Push(const std::vector<NodeId>& nodes, const ReleaseDeltaMessage& delta);
  void PushCurrent(const std::vector<NodeId>& nodes, const ReleaseName& base);
  void PushAsRoot(const ReleaseName& base);
  void SchedulePush(const ReleaseName& base);
  void RunScheduledPush();
  void PayOwedPush();
  void Replace(const PendingPush& push);

  std::optional<ReleaseDeltaMessage> DeltaFor(const ReleaseName& base) const;
  void SendRequest();
  void Offer(const NodeId& to, bool wants_reply);
  void OfferToForeignDomains();
  void SpreadOwnRelease(const ReleaseName& base);
  void OfferToSome(std::size_t count, bool wants_reply);
  void SendStatus();
  void SendPeriodicMessages();

  bool IsOwnDomain(const NodeId& node) const;
  bool IsRelay() const;
  bool DrawsOfferDuty();
  bool IsFirstRelay() const;
  bool UsesTree() const;
  ReleaseName Current() const;
  Duration Jittered(Duration duration);
  void Send(const NodeId& to, PeerMessage message);
  DistributionOutput TakeOutput();

  Options m_options;
  ReleaseStore m_store;
  StartupGate m_gate;
  TransferAdmission m_transfers;
  ReleaseRequester m_requester;
  PushTracker m_pushes;
  Rng m_rng;
  DistributionCounters m_counters;
  DistributionPeers m_peers;
  std::set<NodeId> m_own_domain;

  /// Time of the input that is being handled, and what came of it so far.
  TimePoint m_now;
  DistributionOutput m_output;

  std::optional<ScheduledPush> m_scheduled_push;
  std::optional<OwedPush> m_owed_push;
  /// Members that this node has taken on to reach with m_covered_revision.
  Revision m_covered_revision = 0;
  std::set<NodeId> m_covered;

  TimePoint m_next_question;
  TimePoint m_next_offer;
  TimePoint m_next_digest;
  TimePoint m_next_status;
};

}  // namespace banyantrail
