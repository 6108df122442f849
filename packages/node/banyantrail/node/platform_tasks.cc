#include "banyantrail/node/platform_tasks.h"

#include <chrono>
#include <utility>

#include "banyantrail/net/log_failure.h"

namespace banyantrail {
namespace {

/// Delay between attempts to discover peers, and before a failed watch of the
/// platform is retried.
constexpr Duration kRetryInterval = seconds(1);

constexpr Duration kReleaseLeaseTimeout = seconds(2);

constexpr Duration kPollInterval = milliseconds(20);

bool IsLive(const MemberRecord& record) {
  return record.state == MemberState::kAlive ||
         record.state == MemberState::kSuspect;
}

}  // namespace

PlatformTasks::PlatformTasks(asio::io_context& io,
                             const NodeSettings& settings,
                             StoreClient& platform,
                             ControlPlane& control,
                             Metrics& metrics)
    : m_io(io),
      m_settings(settings),
      m_platform(platform),
      m_control(control),
      m_metrics(metrics),
      m_status_summary({.domain = settings.domain, .relay = settings.node}) {
  m_control.SetStatusHandler([this](const StatusReportMessage& report) {
    m_status_summary.OnReport(report, SystemClock().Now());
  });
  if (settings.platform.empty()) {
    return;
  }
  StartRelayTask();
  asio::co_spawn(m_io, DiscoverPeers(), LogFailure("discovery of peers"));
  asio::co_spawn(m_io, RunMetricsExport(), LogFailure("export of metrics"));
  if (settings.distribution_mode == DistributionMode::kPlatformWatch) {
    asio::co_spawn(m_io, WatchPlatform(), LogFailure("watch of the platform"));
  }
}

void PlatformTasks::StartRelayTask() {
  Task::Options options{
      .lease = {.self = m_settings.node,
                .domain = m_settings.domain,
                .peer_address = m_settings.listen.peer},
      .on_release =
          [this](Release release) { OnReleaseRead(std::move(release)); },
      .on_head =
          [this](Revision revision) { m_control.OnPlatformHead(revision); },
      .current_release =
          [this] {
            const auto& applied = m_control.applied_release();
            const bool newer = m_newest_release &&
                               m_newest_release->revision > applied->revision;
            return newer ? m_newest_release : applied;
          },
      .take_due_status = [this] { return TakeDueStatus(); },
      .on_status_write_failed = [this] { m_status_summary.OnWriteFailed(); }};
  m_relay_task = std::make_shared<Task>(m_io.get_executor(), m_platform,
                                        std::move(options));
  m_relay_task->OnMembers({m_settings.node});
  m_relay_task->Start();
}

void PlatformTasks::OnReleaseRead(Release release) {
  m_newest_release = std::make_shared<const Release>(std::move(release));
  m_control.OnReleaseRead(m_newest_release);
}

std::optional<nlohmann::json> PlatformTasks::TakeDueStatus() {
  const TimePoint now = SystemClock().Now();
  m_status_summary.OnReport(m_control.distribution_status().report, now);
  const std::optional<DomainStatus> due =
      m_status_summary.TakeDueStatus(now, std::chrono::system_clock::now());
  if (!due) {
    return std::nullopt;
  }
  return ToJson(*due);
}

void PlatformTasks::OnMembers(const MembershipView& view) {
  std::vector<NodeId> members;
  std::vector<NodeId> candidates;
  for (const auto& record : view.members) {
    if (record->domain != m_settings.domain) {
      continue;
    }
    if (record->state == MemberState::kLeft) {
      m_status_summary.OnLeft(record->node);
    }
    if (IsLive(*record)) {
      members.push_back(record->node);
      if (!record->draining) {
        candidates.push_back(record->node);
      }
    }
  }
  m_status_summary.OnMembers(members, SystemClock().Now());
  if (m_relay_task) {
    m_relay_task->OnMembers(std::move(candidates));
  }
}

/// Reads relay addresses from the platform until the node has joined the
/// membership.
asio::awaitable<void> PlatformTasks::DiscoverPeers() {
  while (!m_stopped && !m_control.membership()->joined) {
    try {
      const std::vector<RelayLeaseValue> relays =
          co_await LoadRelays(m_platform);
      std::vector<IpEndpoint> seeds = m_settings.seeds;
      for (const RelayLeaseValue& relay : relays) {
        if (relay.node != m_settings.node) {
          seeds.push_back(relay.peer_address);
        }
      }
      m_control.SetSeeds(std::move(seeds));
      co_await ReadHead();
    } catch (const Error&) {
      // The platform is unreachable. The seeds from the settings stay in use.
      m_metrics.CountControlEvent("find_peers_failed");
    }
    co_await Sleep(kRetryInterval);
  }
}

/// Reports the newest revision on the platform to the control plane, so that a
/// node that starts without peers knows whether a configuration exists. Returns
/// whether the revision is newer than the applied one.
asio::awaitable<bool> PlatformTasks::ReadHead() {
  const std::optional<VersionedHead> head = co_await LoadHead(m_platform);
  const Revision revision{.number = head ? head->head.revision : 0};
  m_control.OnPlatformHead(revision);
  co_return revision > m_control.applied_release()->revision;
}

asio::awaitable<void> PlatformTasks::WatchPlatform() {
  constexpr milliseconds kWait = seconds(10);
  std::uint64_t version = 0;
  while (!m_stopped) {
    bool failed = false;
    try {
      const std::string key(kHeadKey);
      const WatchResult result = co_await m_platform.Watch(key, version, kWait);
      version = result.version;
      const std::optional<VersionedHead> head = co_await LoadHead(m_platform);
      if (head &&
          head->head.revision > m_control.applied_release()->revision.number) {
        Release release = co_await LoadRelease(m_platform, head->head,
                                               m_control.applied_release());
        OnReleaseRead(std::move(release));
      }
    } catch (const Error&) {
      failed = true;
    }
    if (failed) {
      co_await Sleep(kRetryInterval);
    }
  }
}

asio::awaitable<void> PlatformTasks::ReleaseLease() {
  m_stopped = true;
  if (!m_relay_task) {
    co_return;
  }
  const bool was_relay = m_relay_task->IsRelay();
  m_relay_task->Stop();
  const TimePoint deadline = SystemClock().Now() + kReleaseLeaseTimeout;
  while (was_relay && m_relay_task->IsRelay() &&
         SystemClock().Now() < deadline) {
    co_await Sleep(kPollInterval);
  }
}

asio::awaitable<void> PlatformTasks::Sleep(Duration duration) {
  asio::steady_timer timer(m_io);
  timer.expires_after(duration);
  co_await timer.async_wait(asio::use_awaitable);
}

asio::awaitable<void> PlatformTasks::RunMetricsExport() {
  constexpr Duration kExportInterval = seconds(1);
  while (!m_stopped) {
    ExportMetrics();
    co_await Sleep(kExportInterval);
  }
}

void PlatformTasks::ExportMetrics() {
  const StoreCounters& platform = m_platform.counters();
  m_metrics.SetGauge("banyantrail_platform_reads",
                     static_cast<double>(platform.reads));
  m_metrics.SetGauge("banyantrail_platform_writes",
                     static_cast<double>(platform.writes));
  m_metrics.SetGauge("banyantrail_platform_unavailable",
                     static_cast<double>(platform.unavailable));
  m_metrics.SetGauge("banyantrail_platform_outcome_unknown",
                     static_cast<double>(platform.outcome_unknown));
  m_metrics.SetGauge("banyantrail_platform_overloaded",
                     static_cast<double>(platform.overloaded));
  m_metrics.SetGauge("banyantrail_platform_rate_limited",
                     static_cast<double>(platform.rate_limited));
  const RelayCounters& relay = m_relay_task->counters();
  m_metrics.SetGauge("banyantrail_relay", m_relay_task->IsRelay() ? 1 : 0);
  m_metrics.SetGauge("banyantrail_relay_leases_taken",
                     static_cast<double>(relay.leases_taken));
  m_metrics.SetGauge("banyantrail_relay_failures",
                     static_cast<double>(relay.failures));
}

}  // namespace banyantrail
