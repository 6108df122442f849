#include "banyantrail/node/data_plane.h"

#include <utility>

#include <nlohmann/json.hpp>

#include "banyantrail/core/digest.h"
#include "banyantrail/core/log_rate_limiter.h"
#include "banyantrail/core/logging.h"

namespace banyantrail {
namespace {

const ComponentLogger kLog("request");

constexpr milliseconds kHousekeepingInterval{250};

/// A backend server that is silent for this many heartbeat intervals is down.
/// Heartbeats may come an interval late.
constexpr int kMissedHeartbeats = 3;

/// Writes requests that were turned away to the log, a bounded number of each
/// reason.
std::function<void(const TurnedAway&)> TurnedAwayWriter() {
  const auto budget =
      std::make_shared<LogRateLimiter>(LogRateLimiter::Options{});
  return [budget](const TurnedAway& request) {
    const std::string_view reason = ToString(request.reason);
    const auto left_out =
        budget->TryAcquire(std::string(reason), SystemClock().Now());
    if (!left_out) {
      return;
    }
    kLog.Event(
        {{"event", "turned_away"},
         {"request", request.request},
         {"service", request.service},
         {"server", request.server},
         {"reason", reason},
         {"in_flight", request.load.in_flight},
         {"queued", request.load.queued},
         {"limit", request.load.limit},
         {"left_ms",
          std::chrono::duration_cast<milliseconds>(request.left).count()},
         {"left_out", *left_out}});
  };
}

constexpr std::uint64_t kBytesPerMbit = 125'000;

OwnerStage::Options OwnerOptions(Metrics& metrics,
                                 const NodeSettings& settings,
                                 LocalBackendServers& servers,
                                 std::function<void()> on_change,
                                 const DataPlane::Options& options) {
  return {.hooks = {.count_refusal =
                        [&metrics](RefusalReason reason) {
                          metrics.CountRefusal("mesh", ToString(reason));
                        },
                    .on_turned_away = TurnedAwayWriter(),
                    .on_unreachable =
                        [&servers, on_change](const BackendServerId& id) {
                          if (servers.MarkDown(id)) {
                            on_change();
                          }
                        },
                    .on_crash = options.on_crash},
          .dialect = options.dialect,
          .admission = settings.admission,
          .link_bytes_per_s = settings.limits.link_mbit_per_s * kBytesPerMbit};
}

/// Names the attempts of this life of the node.
std::string AttemptPrefix(const NodeSettings& settings) {
  const auto started = std::chrono::system_clock::now().time_since_epoch();
  return settings.node.str() + "/" + std::to_string(started.count()) + "/";
}

/// The part of the fleet's retry budget that is used, for nodes do not see the
/// same members at the same time.
constexpr double kBudgetMargin = 0.8;

RetryPolicyOptions RetriesOf(const RetryBudgetSettings& budget) {
  constexpr double kNotRunPart = 0.55;
  RetryPolicyOptions options;
  options.not_run_ratio = kBudgetMargin * kNotRunPart * budget.ratio;
  options.unknown_ratio = kBudgetMargin * (1 - kNotRunPart) * budget.ratio;
  return options;
}

/// Writes decisions to the log, a bounded number of each kind.
std::function<void(const RequestDecision&)> DecisionWriter() {
  const auto budget =
      std::make_shared<LogRateLimiter>(LogRateLimiter::Options{});
  return [budget](const RequestDecision& decision) {
    const std::string kind =
        std::string(decision.kind) + "/" + std::string(decision.reason);
    const auto left_out = budget->TryAcquire(kind, SystemClock().Now());
    if (!left_out) {
      return;
    }
    kLog.Event(
        {{"event", decision.kind},
         {"request", decision.request},
         {"rule", decision.rule},
         {"service", decision.service},
         {"reason", decision.reason},
         {"status", decision.status},
         {"tried", decision.tried},
         {"sends", decision.sends},
         {"revision", decision.revision},
         {"left_ms",
          std::chrono::duration_cast<milliseconds>(decision.left).count()},
         {"left_out", *left_out}});
  };
}

EntryStage::Options EntryOptions(Metrics& metrics,
                                 const NodeSettings& settings,
                                 const DataPlane::Options& options) {
  return {
      .choice = {.domain = settings.domain, .region = settings.region},
      .retries = RetriesOf(settings.retry_budget),
      .fleet_retry_slack = kBudgetMargin * settings.retry_budget.slack,
      .limits = {.max_header_bytes = settings.limits.max_header_bytes},
      .hooks = {
          .count_refusal =
              [&metrics](std::string_view reason) {
                metrics.CountRefusal("caller", reason);
              },
          .count_retry =
              [&metrics](std::string_view decision) {
                metrics.CountRetry(decision);
              },
          .on_answer =
              [&metrics](unsigned priority, unsigned status, Duration latency) {
                metrics.CountAnswer(priority, status);
                metrics.ObserveLatency(
                    priority, std::chrono::duration<double>(latency).count());
              },
          .on_decision = DecisionWriter()},
      .once_only = options.once_only,
      .dialect = options.dialect,
      .local_service = settings.local_service,
      .attempt_prefix = AttemptPrefix(settings),
      .seed = Hash64(settings.node.str())};
}

}  // namespace

DataPlane::DataPlane(asio::io_context& io,
                     Metrics& metrics,
                     const NodeSettings& settings,
                     Options options)
    : m_metrics(metrics),
      m_options(std::move(options)),
      m_backend_servers({.heartbeat_timeout =
                             kMissedHeartbeats * settings.heartbeat_interval}),
      m_pool(io.get_executor(), {}),
      m_owner(io.get_executor(),
              m_pool,
              m_running,
              OwnerOptions(
                  metrics,
                  settings,
                  m_backend_servers,
                  [this] { OnBackendServersChanged(); },
                  m_options)),
      m_entry(io.get_executor(),
              m_pool,
              m_running,
              EntryOptions(metrics, settings, m_options)),
      m_housekeeping(io) {
  TcpListener::Options caller{
      .endpoint = settings.listen.caller,
      .max_connections = settings.limits.max_caller_connections,
      .session =
          [this](beast::tcp_stream stream) {
            return m_entry.Serve(std::move(stream));
          },
      .on_refused =
          [&metrics] {
            metrics.CountRefusal("caller", "too_many_connections");
          }};
  m_caller_listener = std::make_unique<TcpListener>(io, std::move(caller));
  TcpListener::Options mesh{
      .endpoint = settings.listen.mesh,
      .max_connections = settings.limits.max_mesh_connections,
      .session =
          [this](beast::tcp_stream stream) {
            return m_owner.Serve(std::move(stream));
          },
      .on_refused =
          [&metrics] { metrics.CountRefusal("mesh", "too_many_connections"); }};
  m_mesh_listener = std::make_unique<TcpListener>(io, std::move(mesh));
  asio::co_spawn(io, RunHousekeeping(), asio::detached);
}

void DataPlane::SetSnapshot(std::shared_ptr<const RoutingSnapshot> snapshot) {
  m_snapshot = std::move(snapshot);
  std::vector<RankShare> ranks;
  for (const RoutedRank& rank : m_snapshot->ranks()) {
    ranks.push_back(
        {.priority = rank.priority, .share_percent = rank.share_percent});
  }
  m_owner.SetRanks(std::move(ranks));
  m_entry.SetSnapshot(m_snapshot);
}

void DataPlane::Announce(Announcement announcement) {
  const TimePoint now = SystemClock().Now();
  if (m_backend_servers.Announce(std::move(announcement), now)) {
    OnBackendServersChanged();
  }
}

bool DataPlane::Leave(const Departure& departure) {
  const bool known = m_backend_servers.Leave(departure, SystemClock().Now());
  if (known) {
    OnBackendServersChanged();
  }
  return known;
}

void DataPlane::RestoreDepartures(const std::vector<Departure>& departures) {
  for (const Departure& departure : departures) {
    kLog.Event({{"event", "departure_restored"},
                {"id", departure.id.str()},
                {"born", departure.born}});
  }
  m_backend_servers.Restore(departures, SystemClock().Now());
  OnBackendServersChanged();
}

void DataPlane::StartDrain() {
  m_backend_servers.DrainAll();
  m_entry.StartDrain();
  OnBackendServersChanged();
}

void DataPlane::StopListening() {
  m_caller_listener->Stop();
  m_entry.CloseIdle();
  m_mesh_listener->Stop();
}

std::size_t DataPlane::requests_in_progress() const {
  return m_entry.requests_in_progress() + m_owner.requests_in_progress();
}

void DataPlane::OnBackendServersChanged() {
  std::vector<BackendServerRecord> records = m_backend_servers.Records();
  for (const BackendServerRecord& record : records) {
    kLog.Event({{"event", "backend_server"},
                {"id", record.id.str()},
                {"service", record.service.str()},
                {"state", static_cast<int>(record.state)},
                {"slots", record.slots}});
  }
  m_owner.SetBackendServers(records);
  m_options.on_backend_servers(std::move(records));
}

asio::awaitable<void> DataPlane::RunHousekeeping() {
  boost::system::error_code error;
  while (!error) {
    m_housekeeping.expires_after(kHousekeepingInterval);
    co_await m_housekeeping.async_wait(
        asio::redirect_error(asio::use_awaitable, error));
    m_pool.CloseStale();
    if (m_backend_servers.Expire(SystemClock().Now())) {
      OnBackendServersChanged();
    }
  }
}

}  // namespace banyantrail
