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
#include "banyantrail/wire/frame_codec.h"
#include "banyantrail/wire/peer_messages.h"

namespace banyantrail {

/// How releases are disseminated. All modes except kTree are baselines for
/// measurements.
enum class DistributionMode {
  /// Deltas are pushed along a tree; anti-entropy repairs losses.
  kTree,
  /// Like kTree, with whole releases instead of deltas.
  kTreeWholeReleases,
  /// No tree: each node that applies a revision offers it to a few random
  /// members.
  kGossip,
  /// Every node reads the platform itself.
  kPlatformWatch,
};

/// The nodes through which a foreign failure domain is reached.
struct DomainEntryPoints {
  DomainId domain;
  std::vector<NodeId> nodes;

  friend bool operator==(const DomainEntryPoints&,
                         const DomainEntryPoints&) = default;
};

/// The part of the membership that the distribution protocol uses.
struct DistributionPeers {
  /// Alive members of the node's own failure domain, excluding the node itself.
  std::vector<NodeId> own_domain;
  std::vector<DomainEntryPoints> foreign_domains;
  /// Relays of the own failure domain in slot order; may include the node
  /// itself.
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

/// The result of an input, to be carried out by the caller.
struct DistributionOutput {
  std::vector<AddressedMessage> messages;
  /// Releases applied while the input was handled, in order.
  std::vector<std::shared_ptr<const Release>> applied;
};

/// Event counts since the start, exported as metrics.
struct DistributionCounters {
  std::uint64_t applied = 0;
  std::uint64_t already_have = 0;
  std::uint64_t needs_parent = 0;
  std::uint64_t refused_digest_mismatch = 0;
  std::uint64_t refused_does_not_compile = 0;
  std::uint64_t refused_unreadable = 0;
  std::uint64_t refused_malformed = 0;
  std::uint64_t pushes = 0;
  std::uint64_t pushes_replaced = 0;
  std::uint64_t requests = 0;
  std::uint64_t deltas_served = 0;
  std::uint64_t whole_served = 0;
  std::uint64_t busy_sent = 0;
  std::uint64_t too_large_to_send = 0;
  std::uint64_t busy_received = 0;
  std::uint64_t offers = 0;

  friend bool operator==(const DistributionCounters&,
                         const DistributionCounters&) = default;
};

/// The release distribution protocol of one node: pushes along the tree with an
/// acknowledgement for each hop, requests for missing releases, admission of
/// large transfers, offers to foreign failure domains and status reports.
///
/// Deterministic and without I/O: time is a parameter of each input, and random
/// numbers come from the seed. Messages may be lost, duplicated or reordered.
class DistributionProtocol {
 public:
  struct Options {
    NodeId self;
    Labels labels;
    DistributionMode mode = DistributionMode::kTree;
    ReleaseStore::Options store;
    StartupGate::Options gate;
    std::uint64_t seed = 0;
    /// Maximum number of children of a node in the tree.
    std::size_t arity = 4;
    /// If a child has not acknowledged a push within this time, the delta is
    /// pushed directly to the child's subtree.
    Duration ack_timeout = milliseconds(200);
    ReleaseRequester::Options requests;
    TransferAdmission::Options transfers;
    /// How long a node that learns of a revision from a member of its own
    /// domain waits for the push before it requests the release.
    Duration request_grace = milliseconds(30);
    /// How long a relay other than the first, or a node that received a release
    /// from a foreign domain, waits for another node's push before it pushes a
    /// large delta itself. Small deltas are pushed at the next tick, since a
    /// node that receives two pushes forwards the second one only to members
    /// that the first did not cover.
    Duration second_push_delay = milliseconds(100);
    /// Maximum size of a small delta in bytes.
    std::size_t small_delta_bytes = std::size_t{4} << 10U;
    /// How often a node that must not serve yet asks peers for their revision.
    Duration revision_query_interval = milliseconds(250);
    /// How often a relay offers its revision to each foreign domain. On average
    /// one other member per interval does so too, so that a domain without
    /// relays is not isolated.
    Duration foreign_offer_interval = seconds(1);
    /// How often the node sends its digest to a random member. 0 disables this,
    /// for use when the membership exchange carries the digest.
    Duration digest_interval = Duration::zero();
    /// How often the status is sent to the relays when nothing changes.
    Duration status_interval = seconds(5);
    /// Number of members that a node offers a new revision to in gossip mode.
    std::size_t gossip_fanout = 3;
    /// A larger delta is not pushed, and on request it is subject to the same
    /// admission limit as a whole release. For links with so little bandwidth
    /// that one hop of the tree would take longer than reading the store.
    std::size_t max_pushed_bytes = std::numeric_limits<std::size_t>::max();
    /// A larger delta or release is not sent at all: no node would accept the
    /// frame. Nodes read such a release from the platform.
    std::size_t max_sent_bytes = kMaxPayloadBytes - (std::size_t{1} << 20U);
    /// Whether the first release that this node reads from the store after its
    /// start is pushed along the tree. Disabled where every node reads the
    /// store when it starts.
    bool push_first_release = true;
    /// Whether the delta is pushed to the subtree of a child that failed.
    /// Disabled only in tests that show the effect.
    bool replace_unacknowledged = true;
  };

  DistributionProtocol(Options options, TimePoint start);

  [[nodiscard]] DistributionOutput OnTick(TimePoint now);
  [[nodiscard]] DistributionOutput OnMessage(const NodeId& from,
                                             const PeerMessage& message,
                                             TimePoint now);
  /// This node has read a release from the platform, as a relay.
  [[nodiscard]] DistributionOutput OnReleaseFromPlatform(Release release,
                                                         TimePoint now);
  /// The platform's newest revision cannot be read by this node; `reason` is
  /// one line.
  [[nodiscard]] DistributionOutput OnUnreadableRelease(
      Revision revision,
      const std::string& reason,
      TimePoint now);
  /// A message to `node` could not be delivered.
  [[nodiscard]] DistributionOutput OnPeerUnreachable(const NodeId& node,
                                                     TimePoint now);
  void OnMembership(DistributionPeers peers);
  /// According to its peers, this node had applied `revision` before it
  /// restarted.
  void OnPreviouslyApplied(Revision revision) {
    m_gate.OnPreviouslyApplied(revision);
  }
  /// The platform was read; its newest revision is `revision`.
  void OnPlatformHead(Revision revision) { m_gate.OnPlatformHead(revision); }

  const ReleaseStore& store() const { return m_store; }
  const DistributionCounters& counters() const { return m_counters; }
  std::uint64_t request_timeouts() const { return m_requester.timeouts(); }
  ServingState UpdateServingState(TimePoint now);
  /// The greatest revision that the node has learned of.
  Revision known_revision() const { return m_gate.known_revision(); }
  /// The status report for the relays.
  StatusReportMessage Status() const;

 private:
  /// Identifies a release by revision and digest.
  struct ReleaseId {
    Revision revision;
    std::string digest;
  };

  /// A delayed push as root of the own domain's tree.
  struct ScheduledPush {
    ReleaseId base;
    TimePoint due;
  };

  /// A push to a subtree that is deferred because the delta arrived corrupt. It
  /// is sent once this node has obtained the release.
  struct DeferredForward {
    ReleaseId base;
    Revision to_revision;
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

  void OnPeerRevision(const NodeId& from,
                      Revision revision,
                      const std::string& digest);
  void OnResult(const ApplyResult& result);
  void OnApplied();
  void OnRefused(const RefusedRelease& refused);
  void UpdateRequester(const NodeId& from,
                       const ReleaseDeltaMessage& message,
                       const ApplyResult& result);

  void Forward(const ReleaseDeltaMessage& message,
               const ApplyResult& result,
               const ReleaseId& base);
  std::vector<NodeId> TakeUncovered(const ReleaseDeltaMessage& message);
  void Push(const std::vector<NodeId>& nodes, const ReleaseDeltaMessage& delta);
  void PushCurrent(const std::vector<NodeId>& nodes, const ReleaseId& base);
  void PushAsRoot(const ReleaseId& base);
  void SchedulePush(const ReleaseId& base);
  void RunScheduledPush();
  void RunDeferredForward();
  void ReplaceChild(const PendingPush& push);

  std::optional<ReleaseDeltaMessage> DeltaFor(const ReleaseId& base) const;
  void SendRequest();
  void Offer(const NodeId& to, bool wants_reply);
  void OfferToForeignDomains();
  void DisseminatePlatformRelease(const ReleaseId& base);
  void OfferToRandomMembers(std::size_t count, bool wants_reply);
  void SendStatus();
  void SendPeriodicMessages();

  bool IsOwnDomain(const NodeId& node) const;
  bool IsRelay() const;
  bool IsSampledForOffer();
  bool IsFirstRelay() const;
  bool UsesTree() const;
  ReleaseId CurrentReleaseId() const;
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

  /// Time of the input being handled, and its output so far.
  TimePoint m_now;
  DistributionOutput m_output;

  std::optional<ScheduledPush> m_scheduled_push;
  std::optional<DeferredForward> m_deferred_forward;
  /// Members that this node has been asked to push m_covered_revision to.
  Revision m_covered_revision;
  std::set<NodeId> m_covered;

  TimePoint m_next_revision_query;
  TimePoint m_next_offer;
  TimePoint m_next_digest;
  TimePoint m_next_status;
};

}  // namespace banyantrail
