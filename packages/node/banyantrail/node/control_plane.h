#pragma once

#include <caf/actor.hpp>
#include <caf/actor_system.hpp>
#include <caf/actor_system_config.hpp>
#include <functional>
#include <memory>
#include <vector>

#include "banyantrail/distribution/store_follower.h"
#include "banyantrail/net/asio.h"
#include "banyantrail/node/control_messages.h"
#include "banyantrail/node/metrics.h"
#include "banyantrail/node/peer_transport.h"
#include "banyantrail/node/settings.h"
#include "banyantrail/traffic/routing_snapshot.h"

namespace banyantrail {

/// What the control plane tells the rest of the node, on the I/O thread.
struct ControlPlaneHooks {
  /// A new snapshot for the request path.
  std::function<void(std::shared_ptr<const RoutingSnapshot>)> on_snapshot;
  std::function<void(std::shared_ptr<const MembershipView>)> on_members;
  std::function<void(const CrashReportMessage&)> on_crash_report;
};

/// Membership, distribution and the compilation of snapshots: the actors that
/// hold a node's state, and the transport to their peers.
///
/// All public functions are called on the I/O thread; what they return are the
/// latest immutable views that the actors published.
class ControlPlane {
 public:
  ControlPlane(asio::io_context& io,
               Metrics& metrics,
               const NodeSettings& settings,
               ControlPlaneHooks hooks);
  ControlPlane(const ControlPlane&) = delete;
  ControlPlane& operator=(const ControlPlane&) = delete;
  ~ControlPlane();

  const std::shared_ptr<const MembershipView>& members() const {
    return m_members;
  }
  /// The applied release; revision 0 before the first.
  const std::shared_ptr<const Release>& release() const { return m_release; }
  const DistributionStatus& distribution() const { return m_distribution; }

  void SetBackendServers(std::vector<BackendServerRecord> servers);
  void SetSeeds(std::vector<IpEndpoint> seeds);
  void OnReleaseRead(std::shared_ptr<const Release> release);
  void OnPlatformHead(Revision revision);
  /// The store has just said that `revision` is its newest one, which differs
  /// from the one before by `change_bytes`: tells the nodes of the failure
  /// domain that rest on this node's watch.
  void ConfirmStoreHead(Revision revision, std::size_t change_bytes);
  /// Whether this node has to watch the store itself.
  bool MustWatchStore() const;
  /// Tells the nodes that own backend servers of the service which requests
  /// were in flight at a crash.
  void ReportCrash(const ServiceName& service,
                   std::vector<std::uint64_t> suspects);
  /// Tells the fleet that this node takes no new requests.
  void StartDrain();
  /// Says goodbye; the messages go out before Stop.
  void Leave();
  /// Whether all messages to peers were confirmed.
  bool is_idle() const { return m_transport.is_idle(); }

  /// Reports of the nodes of this failure domain, for the status summary. Set
  /// before the first message arrives.
  void SetStatusHandler(
      std::function<void(const StatusReportMessage&)> handler);

  void Stop();

 private:
  void SpawnActors(const NodeSettings& settings);
  void OnPeerMessage(const NodeId& from, PeerMessage message);
  void OnUnreachable(const NodeId& node);
  void LogMemberChanges(const MembershipView& view) const;
  void OnMembers(std::shared_ptr<const MembershipView> view);
  void OnRelease(std::shared_ptr<const Release> release);
  void OnSnapshot(std::shared_ptr<const RoutingSnapshot> snapshot);
  void OnDistribution(DistributionStatus status);
  asio::awaitable<void> RunTicks();
  void ExportMetrics();

  asio::io_context& m_io;
  Metrics& m_metrics;
  ControlPlaneHooks m_hooks;
  Incarnation m_incarnation;
  std::size_t m_max_pushed_bytes;
  PeerTransport m_transport;
  caf::actor_system_config m_config;
  caf::actor_system m_system;
  caf::actor m_membership;
  caf::actor m_distribution_actor;
  caf::actor m_routing;
  asio::steady_timer m_tick;
  std::uint64_t m_last_crash_report = 0;
  bool m_stopped = false;
  std::function<void(const StatusReportMessage&)> m_on_status;

  std::shared_ptr<const MembershipView> m_members =
      std::make_shared<const MembershipView>();
  std::shared_ptr<const Release> m_release = std::make_shared<const Release>();
  DistributionStatus m_distribution;
  StoreFollower m_store_follower{StoreFollower::Options{}};
  /// Members of the own failure domain in the order in which they watch the
  /// store for the others; the first does, the next when the first is silent.
  std::vector<NodeId> m_watchers;
};

}  // namespace banyantrail
