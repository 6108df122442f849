#include "banyantrail/node/platform_duty.h"

#include <chrono>
#include <utility>

namespace banyantrail {
namespace {

/// Delay between attempts to discover peers, and before a failed watch of the
/// platform is retried.
constexpr Duration kFindPeersInterval = seconds(1);

constexpr Duration kGiveBackLimit = seconds(2);

constexpr Duration kPollInterval = milliseconds(20);

bool IsLive(const MemberRecord& record) {
  return record.state == MemberState::kAlive ||
         record.state == MemberState::kSuspect;
}

}  // namespace

PlatformDuty::PlatformDuty(asio::io_context& io,
                           const NodeSettings& settings,
                           StoreClient& platform,
                           ControlPlane& control,
                           Metrics& metrics)
    : m_io(io),
      m_settings(settings),
      m_platform(platform),
      m_control(control),
      m_metrics(metrics),
      m_summary({.domain = settings.domain, .relay = settings.node}) {
  m_control.SetStatusHandler([this](const StatusReportMessage& report) {
    m_summary.OnReport(report, SystemClock().Now());
  });
  if (settings.platform.empty()) {
    return;
  }
  StartRelayTask();
  asio::co_spawn(m_io, FindPeers(), asio::detached);
  asio::co_spawn(m_io, RunExports(), asio::detached);
  if (settings.distribution_mode == DistributionMode::kPlatformWatch) {
    asio::co_spawn(m_io, WatchByItself(), asio::detached);
  }
}

void PlatformDuty::StartRelayTask() {
  Task::Options options{
      .lease = {.self = m_settings.node,
                .domain = m_settings.domain,
                .peer_address = m_settings.listen.peer},
      .on_release =
          [this](Release release) { TakeRelease(std::move(release)); },
      .on_head =
          [this](Revision revision) { m_control.OnPlatformHead(revision); },
      .held =
          [this] {
            const auto& applied = m_control.release();
            const bool newer =
                m_newest && m_newest->revision > applied->revision;
            return newer ? m_newest : applied;
          },
      .take_due_status = [this] { return TakeDueStatus(); },
      .on_status_failed = [this] { m_summary.OnWriteFailed(); }};
  m_task = std::make_shared<Task>(m_io.get_executor(), m_platform,
                                  std::move(options));
  m_task->OnMembers({m_settings.node});
  m_task->Start();
}

void PlatformDuty::TakeRelease(Release release) {
  m_newest = std::make_shared<const Release>(std::move(release));
  m_control.OnReleaseRead(m_newest);
}

std::optional<nlohmann::json> PlatformDuty::TakeDueStatus() {
  const TimePoint now = SystemClock().Now();
  m_summary.OnReport(m_control.distribution().report, now);
  const std::optional<DomainStatus> due =
      m_summary.TakeDue(now, std::chrono::system_clock::now());
  if (!due) {
    return std::nullopt;
  }
  return ToJson(*due);
}

void PlatformDuty::OnMembers(const MembershipView& view) {
  std::vector<NodeId> members;
  std::vector<NodeId> candidates;
  for (const MemberRecord& record : view.members) {
    if (record.domain != m_settings.domain) {
      continue;
    }
    if (record.state == MemberState::kLeft) {
      m_summary.OnLeft(record.node);
    }
    if (IsLive(record)) {
      members.push_back(record.node);
      if (!record.draining) {
        candidates.push_back(record.node);
      }
    }
  }
  m_summary.OnMembers(members, SystemClock().Now());
  if (m_task) {
    m_task->OnMembers(std::move(candidates));
  }
}

/// Reads relay addresses from the platform until the node has joined the
/// membership.
asio::awaitable<void> PlatformDuty::FindPeers() {
  while (!m_stopped && !m_control.members()->joined) {
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
    co_await Pause(kFindPeersInterval);
  }
}

/// Reports the newest revision on the platform to the control plane, so that a
/// node that starts without peers knows whether a configuration exists. Returns
/// whether the revision is newer than the applied one.
asio::awaitable<bool> PlatformDuty::ReadHead() {
  const std::optional<VersionedHead> head = co_await LoadHead(m_platform);
  const Revision revision = head ? head->head.revision : 0;
  m_control.OnPlatformHead(revision);
  co_return revision > m_control.release()->revision;
}

asio::awaitable<void> PlatformDuty::WatchByItself() {
  constexpr milliseconds kWait = seconds(10);
  std::uint64_t version = 0;
  while (!m_stopped) {
    bool failed = false;
    try {
      const std::string key(kHeadKey);
      const WatchResult result = co_await m_platform.Watch(key, version, kWait);
      version = result.version;
      const std::optional<VersionedHead> head = co_await LoadHead(m_platform);
      if (head && head->head.revision > m_control.release()->revision) {
        Release release =
            co_await LoadRelease(m_platform, head->head, m_control.release());
        TakeRelease(std::move(release));
      }
    } catch (const Error&) {
      failed = true;
    }
    if (failed) {
      co_await Pause(kFindPeersInterval);
    }
  }
}

asio::awaitable<void> PlatformDuty::GiveBack() {
  m_stopped = true;
  if (!m_task) {
    co_return;
  }
  const bool was_relay = m_task->IsRelay();
  m_task->Stop();
  const TimePoint limit = SystemClock().Now() + kGiveBackLimit;
  while (was_relay && m_task->IsRelay() && SystemClock().Now() < limit) {
    co_await Pause(kPollInterval);
  }
}

asio::awaitable<void> PlatformDuty::Pause(Duration duration) {
  asio::steady_timer timer(m_io);
  timer.expires_after(duration);
  co_await timer.async_wait(asio::use_awaitable);
}

asio::awaitable<void> PlatformDuty::RunExports() {
  constexpr Duration kExportInterval = seconds(1);
  while (!m_stopped) {
    ExportMetrics();
    co_await Pause(kExportInterval);
  }
}

void PlatformDuty::ExportMetrics() {
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
  const RelayCounters& relay = m_task->counters();
  m_metrics.SetGauge("banyantrail_relay", m_task->IsRelay() ? 1 : 0);
  m_metrics.SetGauge("banyantrail_relay_leases_taken",
                     static_cast<double>(relay.leases_taken));
  m_metrics.SetGauge("banyantrail_relay_failures",
                     static_cast<double>(relay.failures));
}

}  // namespace banyantrail
