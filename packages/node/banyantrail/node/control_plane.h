#pragma once

#include <caf/actor.hpp>
#include <caf/actor_system.hpp>
#include <caf/actor_system_config.hpp>
#include <functional>
#include <memory>
#include <random>
#include <vector>

#include "banyantrail/distribution/store_follower.h"
#include "banyantrail/net/asio.h"
#include "banyantrail/node/control_messages.h"
#include "banyantrail/node/key_lease_runner.h"
#include "banyantrail/node/metrics.h"
#include "banyantrail/node/peer_transport.h"
#include "banyantrail/node/settings.h"
#include "banyantrail/node/store_view.h"
#include "banyantrail/traffic/crash_report_log.h"
#include "banyantrail/traffic/routing_snapshot.h"

namespace banyantrail {

/// Callbacks from the control plane to the rest of the node. Called on the I/O
/// thread.
struct ControlPlaneHooks {
  /// A new routing snapshot for the data plane.
  std::function<void(std::shared_ptr<const RoutingSnapshot>)> on_snapshot;
  std::function<void(std::shared_ptr<const MembershipView>)> on_members;
  std::function<void(const CrashReportMessage&)> on_crash_report;
  /// A new view of the membership, also if only `joined` or `isolated` changed.
  std::function<void(const MembershipView&)> on_view =
      [](const MembershipView&) {};
  /// A message of the team rate limits.
  std::function<void(const NodeId&, const PeerMessage&)> on_quota_message =
      [](const NodeId&, const PeerMessage&) {};
  /// A node that watches the store has named the era that it knows.
  std::function<void(std::uint64_t)> on_store_era = [](std::uint64_t) {};
  /// A RolloutDirectiveMessage or RolloutReportMessage arrived.
  std::function<void(const NodeId&, const PeerMessage&)> on_rollout_message =
      [](const NodeId&, const PeerMessage&) {};
};

/// Runs the actors for membership, release distribution and the compilation of
/// routing snapshots, and the transport that connects them to other nodes.
///
/// All public functions are called on the I/O thread. The getters return the
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

  const std::shared_ptr<const MembershipView>& membership() const {
    return m_membership_view;
  }
  /// The applied release; its revision is 0 until one was applied.
  const std::shared_ptr<const Release>& applied_release() const {
    return m_applied_release;
  }
  const DistributionStatus& distribution_status() const {
    return m_distribution_status;
  }

  /// What the users' platform shows, as far as this node reads it itself. Stays
  /// unknown where releases come from the project's own store.
  const StoreView& store_view() const { return m_store_view; }
  /// Whether the store shows something older than what is in force here.
  bool store_is_behind() const {
    return m_store_view.IsBehind(m_applied_release->revision);
  }

  void SetBackendServers(std::vector<BackendServerRecord> servers);
  void SetSeeds(std::vector<IpEndpoint> seeds);
  /// Whether addresses of other nodes are known that this node can join
  /// through.
  bool knows_other_nodes() const { return m_knows_other_nodes; }
  /// Sends a message to a node. Never blocks.
  void Send(const NodeId& to, const PeerMessage& message) {
    m_transport.Send(to, message);
  }
  void OnReleaseRead(std::shared_ptr<const Release> release);
  /// The store's newest revision cannot be read; `reason` is one line.
  void OnUnreadableRelease(Revision revision, std::string reason);
  /// The store shows `revision` as its newest one, which may be older than the
  /// applied one; a revision that does not exist if it has no configuration.
  void OnPlatformHead(Revision revision);
  /// Called when the store has confirmed `revision` as its newest one, which
  /// differs from the preceding one by `change_bytes`, in the era `store_era`.
  /// Forwards this to the nodes of the failure domain that rely on this node's
  /// watch.
  void ConfirmStoreHead(Revision revision,
                        std::size_t change_bytes,
                        std::uint64_t store_era);
  /// See KeyLeaseRunner::OnStoreRead.
  void OnStoreRead(Revision revision, BootTimePoint sent_at) {
    m_key_lease.OnStoreRead(revision, sent_at);
  }
  /// See KeyLeaseRunner::MayAcceptKeys.
  bool MayAcceptKeys(Revision applied) const {
    return m_key_lease.MayAcceptKeys(applied);
  }
  /// The store did not respond to this node. Tells the nodes that rely on its
  /// watch.
  void ReportStoreFailure();
  /// What this node has to do itself to learn of new configurations.
  StoreDuty CurrentStoreDuty() const;
  /// Whether another node watches the store for this one, or tries to.
  bool OtherNodeWatchesStore() const;
  /// Reports the requests that were in flight when a backend server of the
  /// service crashed to the nodes that own backend servers of this service.
  void ReportCrash(const ServiceName& service,
                   std::vector<std::uint64_t> suspects);
  /// Announces to the fleet that this node accepts no new requests.
  void StartDrain();
  /// Announces the departure of this node to the fleet. Sending is
  /// asynchronous; wait for is_idle before Stop.
  void Leave();
  /// Whether peers have confirmed all messages sent to them.
  bool is_idle() const { return m_transport.is_idle(); }

  /// Sets the receiver of status reports from nodes of this failure domain.
  /// Call before the first message can arrive.
  void SetStatusHandler(
      std::function<void(const StatusReportMessage&)> handler);

  void Stop();

 private:
  void SpawnActors(const NodeSettings& settings);
  void OnPeerMessage(const NodeId& from, PeerMessage message);
  void OnStoreHead(const StoreHeadMessage& head);
  void SendToFollowers(const StoreHeadMessage& head);
  std::size_t StoreWatcherRank() const;
  void OnUnreachable(const NodeId& node);
  void OnMembers(std::shared_ptr<const MembershipView> view);
  void OnReleaseApplied(std::shared_ptr<const Release> release);
  void OnSnapshot(std::shared_ptr<const RoutingSnapshot> snapshot);
  void OnDistributionStatus(DistributionStatus status);
  asio::awaitable<void> RunTicks();
  void ReportRefusedRevision();
  void OnStoreShows(const Revision& revision);
  void ForgetUnwatchedStore();
  void RepeatCrashReports(TimePoint now);
  void ExportMetrics();
  void ExportStoreMetrics();

  asio::io_context& m_io;
  Metrics& m_metrics;
  ControlPlaneHooks m_hooks;
  Incarnation m_incarnation;
  std::size_t m_max_pushed_bytes;
  PeerTransport m_transport;
  caf::actor_system_config m_actor_config;
  caf::actor_system m_actor_system;
  caf::actor m_membership_actor;
  caf::actor m_distribution_actor;
  caf::actor m_routing_actor;
  asio::steady_timer m_tick_timer;
  std::uint64_t m_crash_report_sequence = 0;
  CrashReportLog m_crash_reports;
  TimePoint m_crash_reports_repeated_at{};
  std::minstd_rand m_random;
  bool m_stopped = false;
  IpEndpoint m_peer_address;
  bool m_knows_other_nodes = false;
  std::function<void(const StatusReportMessage&)> m_status_handler;

  std::shared_ptr<const MembershipView> m_membership_view =
      std::make_shared<const MembershipView>();
  std::shared_ptr<const Release> m_applied_release =
      std::make_shared<const Release>();
  DistributionStatus m_distribution_status;
  /// Whether releases come from the users' platform.
  bool m_reads_users_platform;
  StoreView m_store_view;
  StoreFollower m_store_follower;
  /// The members of this node's failure domain that may watch the store for
  /// the others, in order of precedence: the first one watches, the next one
  /// takes over when confirmations stop.
  std::vector<NodeId> m_store_watchers;
  KeyLeaseRunner m_key_lease;
};

}  // namespace banyantrail
