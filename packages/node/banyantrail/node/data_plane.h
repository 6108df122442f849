#pragma once

#include <memory>
#include <vector>

#include "banyantrail/net/asio.h"
#include "banyantrail/net/tcp_listener.h"
#include "banyantrail/node/local_backend_servers.h"
#include "banyantrail/node/metrics.h"
#include "banyantrail/node/settings.h"
#include "banyantrail/proxy/entry_stage.h"
#include "banyantrail/proxy/owner_stage.h"
#include "banyantrail/proxy/upstream_pool.h"

namespace banyantrail {

/// The request path of a node: the caller and mesh listeners, the entry and
/// owner stages and the backend servers registered at this node. Runs on the
/// I/O thread.
class DataPlane {
 public:
  struct Options {
    /// The backend servers registered at this node changed.
    std::function<void(std::vector<BackendServerRecord>)>
        on_backend_servers_changed;
    /// A backend server crashed with these requests in flight.
    std::function<void(const ServiceName&, std::vector<RequestFingerprint>)>
        on_crash;
    IdempotencyHooks idempotency;
    QuotaHooks quota;
    EdgeDialect dialect;
    /// See EntryStageHooks::may_accept_keys.
    std::function<bool(Revision)> may_accept_keys = [](Revision) {
      return true;
    };
  };

  DataPlane(asio::io_context& io,
            Metrics& metrics,
            const NodeSettings& settings,
            Options options);
  DataPlane(const DataPlane&) = delete;
  DataPlane& operator=(const DataPlane&) = delete;

  void SetSnapshot(std::shared_ptr<const RoutingSnapshot> snapshot);
  const std::shared_ptr<const RoutingSnapshot>& snapshot() const {
    return m_snapshot;
  }

  /// Registers a backend server or processes its heartbeat. Throws
  /// Error{kInvalidDeclaration} when there are too many.
  void Announce(Announcement announcement);
  /// Removes a backend server. Returns whether it was removed.
  bool Deregister(const Departure& departure);
  /// See LocalBackendServers::Departures.
  std::vector<Departure> Departures() const {
    return m_backend_servers.Departures();
  }
  void RestoreDepartures(const std::vector<Departure>& departures);
  std::vector<BackendServerRecord> backend_servers() const {
    return m_backend_servers.Records();
  }

  /// Another node reported a crash.
  void OnCrashReport(const CrashReportMessage& report) {
    m_owner_stage.OnCrashReport(report);
  }

  ExposureControl& exposure() { return m_exposure; }
  RolloutCounter& rollout_counter() { return m_rollout_counter; }

  /// First step of a graceful shutdown: marks this node's backend servers as
  /// draining and asks callers to reconnect to other nodes. Requests in
  /// progress continue.
  /// The node stops at `end`.
  void StartDrain(TimePoint end);
  /// See EntryStage::EndRequests.
  void EndRequests() { m_entry_stage.EndRequests(); }
  /// Stops accepting connections and closes idle ones.
  void StopListening();
  std::size_t requests_in_progress() const;

 private:
  void OnBackendServersChanged();
  asio::awaitable<void> RunHousekeeping();
  void DoHousekeeping();

  Metrics& m_metrics;
  Options m_options;
  LocalBackendServers m_backend_servers;
  /// The last change is not yet in force at the stages and the other nodes,
  /// because it failed on the way. It is repeated.
  bool m_has_pending_change = false;
  HeadMemory m_head_memory;
  UpstreamPool m_upstream_pool;
  RunningRequests m_running_requests;
  ExposureControl m_exposure;
  RolloutCounter m_rollout_counter;
  OwnerStage m_owner_stage;
  EntryStage m_entry_stage;
  std::unique_ptr<TcpListener> m_caller_listener;
  std::unique_ptr<TcpListener> m_mesh_listener;
  asio::steady_timer m_housekeeping_timer;
  std::shared_ptr<const RoutingSnapshot> m_snapshot;
};

}  // namespace banyantrail
