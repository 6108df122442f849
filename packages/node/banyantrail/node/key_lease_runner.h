#pragma once

#include <functional>
#include <optional>
#include <vector>

#include "banyantrail/core/boot_clock.h"
#include "banyantrail/distribution/key_lease.h"
#include "banyantrail/node/membership_view.h"
#include "banyantrail/node/metrics.h"
#include "banyantrail/node/settings.h"

namespace banyantrail {

/// Runs the key lease of a node: exchanges its messages with other nodes and
/// reports its state. Without strict revocation it does nothing and all keys
/// are accepted.
///
/// All functions are called on the I/O thread, so that a check of a key waits
/// for no actor.
class KeyLeaseRunner {
 public:
  using Send = std::function<void(const NodeId&, const PeerMessage&)>;

  KeyLeaseRunner(const RevocationSettings& settings,
                 Metrics& metrics,
                 Send send);

  /// `watchers` are the nodes that may watch the store for the failure domain,
  /// in order of precedence.
  void OnMembers(const MembershipView& view,
                 const std::vector<NodeId>& watchers);

  /// Requests are routed by the configuration of this revision from now on.
  void OnRouted(Revision revision) { m_routed_revision = revision; }

  /// A linearizable read or a watch of the store, sent at `sent_at`, returned
  /// `revision` as its newest one.
  void OnStoreRead(Revision revision, BootTimePoint sent_at);

  /// Handles the messages of the key lease. Returns false for any other one.
  bool OnPeerMessage(const NodeId& from, const PeerMessage& message);

  /// Asks a peer for a confirmation if one is due, and reports the state.
  void OnTick();

  /// Whether keys may be accepted now by the configuration of revision
  /// `applied`.
  bool MayAcceptKeys(Revision applied) const;

 private:
  void ReportState(BootTimePoint now);

  /// Empty without strict revocation.
  std::optional<KeyLease> m_lease;
  Metrics& m_metrics;
  Send m_send;
  /// The nodes to ask for a confirmation, in order of precedence.
  std::vector<NodeId> m_peers;
  Revision m_routed_revision;
  /// Whether keys were accepted at the last tick.
  bool m_accepts_keys = false;
};

/// The nodes to ask for a confirmation of the store's revision: `watchers`,
/// then two nodes of each other failure domain. Nodes choose different ones
/// there, so that no node is asked by all.
std::vector<NodeId> ConfirmationPeers(const MembershipView& view,
                                      const std::vector<NodeId>& watchers);

}  // namespace banyantrail
