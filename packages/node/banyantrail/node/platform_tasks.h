#pragma once

#include <memory>

#include "banyantrail/distribution/relay_task.h"
#include "banyantrail/distribution/status_summary.h"
#include "banyantrail/net/asio.h"
#include "banyantrail/node/control_plane.h"
#include "banyantrail/node/metrics.h"
#include "banyantrail/node/settings.h"
#include "banyantrail/store/store_client.h"

namespace banyantrail {

/// Runs the tasks of a node that use the platform: the relay task of its
/// failure domain while it holds a relay lease, and the discovery of peers. In
/// the distribution mode kPlatformWatch, which serves as a baseline for
/// measurements, the node also watches the platform itself.
class PlatformTasks {
 public:
  PlatformTasks(asio::io_context& io,
                const NodeSettings& settings,
                StoreClient& platform,
                ControlPlane& control,
                Metrics& metrics);
  PlatformTasks(const PlatformTasks&) = delete;
  PlatformTasks& operator=(const PlatformTasks&) = delete;

  void OnMembers(const MembershipView& view);

  /// Releases the relay lease when the node shuts down.
  asio::awaitable<void> ReleaseLease();

 private:
  using Task = RelayTask<StoreClient>;

  void StartRelayTask();
  void OnReleaseRead(Release release);
  std::optional<nlohmann::json> TakeDueStatus();
  asio::awaitable<void> DiscoverPeers();
  asio::awaitable<void> WatchPlatform();
  asio::awaitable<bool> ReadHead();
  asio::awaitable<void> Sleep(Duration duration);
  asio::awaitable<void> RunMetricsExport();
  void ExportMetrics();

  asio::io_context& m_io;
  const NodeSettings& m_settings;
  StoreClient& m_platform;
  ControlPlane& m_control;
  Metrics& m_metrics;
  StatusSummary m_status_summary;
  std::shared_ptr<Task> m_relay_task;
  /// The newest release read. Kept so that its chunks are not read again before
  /// the actors have applied it.
  std::shared_ptr<const Release> m_newest_release;
  bool m_stopped = false;
};

}  // namespace banyantrail
