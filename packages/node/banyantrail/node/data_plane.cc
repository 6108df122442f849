#include "banyantrail/node/data_plane.h"

#include <set>
#include <utility>

#include <nlohmann/json.hpp>

#include "banyantrail/core/digest.h"
#include "banyantrail/core/log_rate_limiter.h"
#include "banyantrail/core/logging.h"
#include "banyantrail/net/log_failure.h"

namespace banyantrail {
namespace {

const ComponentLogger kLog("request");

constexpr milliseconds kHousekeepingInterval{250};

/// Heartbeat intervals without a heartbeat after which a backend server counts
/// as down. A heartbeat may arrive up to one interval late.
constexpr int kMaxMissedHeartbeats = 3;

/// Logs rejected requests, rate-limited by reason.
std::function<void(const OwnerRefusal&)> RejectionLogger() {
  const auto budget =
      std::make_shared<LogRateLimiter>(LogRateLimiter::Options{});
  return [budget](const OwnerRefusal& request) {
    const std::string_view reason = ToString(request.reason);
    const auto suppressed_lines =
        budget->TryAcquire(std::string(reason), SystemClock().Now());
    if (!suppressed_lines) {
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
          std::chrono::duration_cast<milliseconds>(request.remaining).count()},
         {"left_out", *suppressed_lines}});
  };
}

constexpr std::uint64_t kBytesPerMbit = 125'000;

AdmissionOptions AdmissionOptionsFrom(const NodeSettings& settings) {
  AdmissionOptions options = settings.admission;
  options.limit.per_response_slow_start = settings.response_based_slow_start;
  return options;
}

/// Memory for the heads of requests, in bytes.
std::size_t MaxHeadMemory(const LimitSettings& limits) {
  constexpr std::size_t kBytesPerMb = 1'000'000;
  constexpr std::size_t kDivisor = 8;
  constexpr std::size_t kDefaultMb = 512;
  const std::size_t memory_mb =
      limits.memory_mb > 0 ? limits.memory_mb : kDefaultMb;
  return memory_mb * kBytesPerMb / kDivisor;
}

/// Longest head that an owner node reads if entry nodes take heads up to
/// `max_caller_bytes`, to which they add fields of their own. An entry node may
/// already have a configuration with a higher limit.
std::uint32_t MaxMeshHeadBytes(std::uint64_t max_caller_bytes) {
  constexpr std::uint64_t kMaxAddedBytes = 8U << 10U;
  constexpr std::uint64_t kLeast = 64U << 10U;
  return static_cast<std::uint32_t>(std::clamp<std::uint64_t>(
      max_caller_bytes + kMaxAddedBytes, kLeast, UINT32_MAX));
}

OwnerStage::Options OwnerStageOptions(Metrics& metrics,
                                      const NodeSettings& settings,
                                      LocalBackendServers& servers,
                                      std::function<void()> on_change,
                                      HeadMemory& head_memory,
                                      const DataPlane::Options& options) {
  return {
      .limits = {.max_header_bytes =
                     MaxMeshHeadBytes(settings.limits.max_header_bytes),
                 .max_header_fields = kMaxHeadFields + kMaxAddedFields,
                 .head_memory = &head_memory},
      .hooks = {.count_refusal =
                    [&metrics](RefusalReason reason) {
                      metrics.CountRefusal("mesh", ToString(reason));
                    },
                .on_refusal = RejectionLogger(),
                .on_unreachable =
                    [&servers, on_change](const BackendServerId& id) {
                      if (servers.MarkDown(id)) {
                        on_change();
                      }
                    },
                .on_crash = options.on_crash},
      .dialect = options.dialect,
      .admission = AdmissionOptionsFrom(settings),
      .max_send_after_departure = settings.shutdown.max_send_after_departure,
      .report_failures = settings.response_based_slow_start,
      .link_bytes_per_s = settings.limits.link_mbit_per_s * kBytesPerMbit};
}

/// A prefix that makes attempt ids unique across restarts of the node.
std::string AttemptIdPrefix(const NodeSettings& settings) {
  const auto started = std::chrono::system_clock::now().time_since_epoch();
  return settings.node.str() + "/" + std::to_string(started.count()) + "/";
}

/// Fraction of the fleet's retry budget that the nodes use. The rest is a
/// reserve, because membership views of nodes differ for a short time.
constexpr double kUsableBudgetShare = 0.8;

/// Divides the retry budget between requests that were certainly not executed
/// and requests whose outcome is unknown.
RetryPolicyOptions RetryPolicyFor(const RetryBudgetSettings& budget) {
  constexpr double kNotRunShare = 0.55;
  RetryPolicyOptions options;
  options.not_run_ratio = kUsableBudgetShare * kNotRunShare * budget.ratio;
  options.unknown_ratio =
      kUsableBudgetShare * (1 - kNotRunShare) * budget.ratio;
  return options;
}

/// Logs request decisions, rate-limited by kind and reason.
std::function<void(const RequestDecision&)> DecisionLogger() {
  const auto budget =
      std::make_shared<LogRateLimiter>(LogRateLimiter::Options{});
  return [budget](const RequestDecision& decision) {
    const std::string kind =
        std::string(decision.kind) + "/" + std::string(decision.reason);
    const auto suppressed_lines = budget->TryAcquire(kind, SystemClock().Now());
    if (!suppressed_lines) {
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
         {"revision", decision.revision.number},
         {"version", decision.revision.version},
         {"era", decision.revision.era},
         {"left_ms",
          std::chrono::duration_cast<milliseconds>(decision.remaining).count()},
         {"left_out", *suppressed_lines}});
  };
}

/// Number of nodes that own a backend server.
std::size_t CountOwners(const RoutingSnapshot& snapshot) {
  std::set<NodeId> owners;
  for (const RoutedService& service : snapshot.services()) {
    for (const ServiceEndpoint& endpoint : service.endpoints) {
      owners.insert(endpoint.owner);
    }
  }
  return owners.size();
}

/// Counts callers' bodies that exceed ChunkLimits, and logs them rate-limited.
std::function<void()> ChunkLimitReporter(Metrics& metrics) {
  const auto budget =
      std::make_shared<LogRateLimiter>(LogRateLimiter::Options{});
  return [budget, &metrics] {
    constexpr const char* kReason = "chunk_limit";
    metrics.CountRefusal("caller", kReason);
    if (budget->TryAcquire(kReason, SystemClock().Now())) {
      kLog.Warn(
          "Closed the connection of a caller: a chunk extension exceeds " +
          std::to_string(kMaxChunkExtensionBytes) +
          " bytes, or a trailer section " + std::to_string(kMaxTrailerBytes) +
          " bytes or " + std::to_string(kMaxTrailerFields) +
          " fields. Callers should send metadata in the header.");
    }
  };
}

EntryStage::Options EntryStageOptions(Metrics& metrics,
                                      const NodeSettings& settings,
                                      HeadMemory& head_memory,
                                      const DataPlane::Options& options,
                                      ExposureControl& exposure,
                                      RolloutCounter& rollout_counter) {
  const bool limits_versions = exposure.is_enabled();
  return {
      .choice = {.domain = settings.domain, .region = settings.region},
      .loads = {.slow_start_follows_limit = settings.response_based_slow_start},
      .retries = RetryPolicyFor(settings.retry_budget),
      .fleet_retry_burst = kUsableBudgetShare * settings.retry_budget.burst,
      .limits = {.max_header_bytes = settings.limits.max_header_bytes,
                 .head_memory = &head_memory},
      .pipelining = {.max_requests = settings.limits.max_pipelined_requests,
                     .max_bytes = settings.limits.max_pipelined_bytes},
      .hooks = {
          .count_refusal =
              [&metrics](std::string_view reason) {
                metrics.CountRefusal("caller", reason);
              },
          .count_retry =
              [&metrics](std::string_view decision) {
                metrics.CountRetry(decision);
              },
          .on_response =
              [&metrics](unsigned priority, unsigned status, Duration latency) {
                metrics.CountResponse(priority, status);
                metrics.ObserveLatency(
                    priority, std::chrono::duration<double>(latency).count());
              },
          .on_decision = DecisionLogger(),
          .on_chunk_limit = ChunkLimitReporter(metrics),
          .may_accept_keys = options.may_accept_keys},
      .idempotency = options.idempotency,
      .quota = options.quota,
      .dialect = options.dialect,
      .local_service = settings.local_service,
      .attempt_prefix = AttemptIdPrefix(settings),
      .seed = Hash64(settings.node.str()),
      .exposure = limits_versions ? &exposure : nullptr,
      .rollout_counter = limits_versions ? &rollout_counter : nullptr};
}

}  // namespace

DataPlane::DataPlane(asio::io_context& io,
                     Metrics& metrics,
                     const NodeSettings& settings,
                     Options options)
    : m_metrics(metrics),
      m_options(std::move(options)),
      m_backend_servers({.heartbeat_timeout = kMaxMissedHeartbeats *
                                              settings.heartbeat_interval}),
      m_head_memory(MaxHeadMemory(settings.limits)),
      m_upstream_pool(io.get_executor(), {}),
      m_exposure({.share = settings.rollouts.exposure_share,
                  .slack = settings.rollouts.exposure_slack,
                  .max_silence = settings.rollouts.rollback * 7 / 10,
                  .seed = Hash64(AttemptIdPrefix(settings))}),
      m_owner_stage(io.get_executor(),
                    m_upstream_pool,
                    m_running_requests,
                    OwnerStageOptions(
                        metrics,
                        settings,
                        m_backend_servers,
                        [this] { OnBackendServersChanged(); },
                        m_head_memory,
                        m_options)),
      m_entry_stage(io.get_executor(),
                    m_upstream_pool,
                    m_running_requests,
                    EntryStageOptions(metrics,
                                      settings,
                                      m_head_memory,
                                      m_options,
                                      m_exposure,
                                      m_rollout_counter)),
      m_housekeeping_timer(io) {
  TcpListener::Options caller{
      .endpoint = settings.listen.caller,
      .max_connections = settings.limits.max_caller_connections,
      .session =
          [this](beast::tcp_stream stream) {
            return m_entry_stage.Serve(std::move(stream));
          },
      .make_room =
          [this, &metrics] {
            const bool has_room = m_entry_stage.CloseOldestWaiting();
            if (has_room) {
              metrics.CountRefusal("caller", "idle_connection");
            }
            return has_room;
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
            return m_owner_stage.Serve(std::move(stream));
          },
      .on_refused =
          [&metrics] { metrics.CountRefusal("mesh", "too_many_connections"); }};
  m_mesh_listener = std::make_unique<TcpListener>(io, std::move(mesh));
  asio::co_spawn(io, RunHousekeeping(), LogFailure("housekeeping"));
}

void DataPlane::SetSnapshot(std::shared_ptr<const RoutingSnapshot> snapshot) {
  m_snapshot = std::move(snapshot);
  std::vector<RankShare> ranks;
  for (const RoutedRank& rank : m_snapshot->ranks()) {
    ranks.push_back(
        {.priority = rank.priority, .share_percent = rank.share_percent});
  }
  m_owner_stage.SetRanks(std::move(ranks));
  if (const auto& limits = m_snapshot->caller_limits()) {
    m_owner_stage.SetMaxHeadBytes(MaxMeshHeadBytes(limits->max_header_bytes));
  }
  m_owner_stage.SetHasTeams(!m_snapshot->teams().empty());
  if (m_exposure.is_enabled()) {
    m_exposure.SetServices(m_snapshot->services(), CountOwners(*m_snapshot),
                           SystemClock().Now());
  }
  m_entry_stage.SetSnapshot(m_snapshot);
}

void DataPlane::Announce(Announcement announcement) {
  const TimePoint now = SystemClock().Now();
  const bool changed = m_backend_servers.Announce(std::move(announcement), now);
  if (changed || m_has_pending_change) {
    OnBackendServersChanged();
  }
}

bool DataPlane::Deregister(const Departure& departure) {
  const auto wall_time = std::chrono::system_clock::now().time_since_epoch();
  const auto wall_ms = std::chrono::duration_cast<milliseconds>(wall_time);
  const bool removed =
      m_backend_servers.Deregister(departure, SystemClock().Now(),
                                   static_cast<std::uint64_t>(wall_ms.count()));
  if (removed || m_has_pending_change) {
    OnBackendServersChanged();
  }
  return removed;
}

void DataPlane::RestoreDepartures(const std::vector<Departure>& departures) {
  for (const Departure& departure : departures) {
    kLog.Event({{"event", "departure_restored"},
                {"id", departure.id.str()},
                {"born", departure.generation}});
  }
  m_backend_servers.RestoreDepartures(departures, SystemClock().Now());
  OnBackendServersChanged();
}

void DataPlane::StartDrain(TimePoint end) {
  m_backend_servers.DrainAll();
  m_entry_stage.StartDrain(end);
  m_owner_stage.StartDrain();
  OnBackendServersChanged();
}

void DataPlane::StopListening() {
  m_caller_listener->Stop();
  m_entry_stage.CloseIdle();
  m_mesh_listener->Stop();
}

std::size_t DataPlane::requests_in_progress() const {
  return m_entry_stage.requests_in_progress() +
         m_owner_stage.requests_in_progress();
}

void DataPlane::OnBackendServersChanged() {
  m_has_pending_change = true;
  const std::vector<BackendServerRecord> records = m_backend_servers.Records();
  m_owner_stage.SetBackendServers(records);
  m_options.on_backend_servers_changed(records);
  m_has_pending_change = false;
  for (const BackendServerRecord& record : records) {
    kLog.Event({{"event", "backend_server"},
                {"id", record.id.str()},
                {"service", record.service.str()},
                {"state", static_cast<int>(record.state)},
                {"slots", record.slots}});
  }
}

asio::awaitable<void> DataPlane::RunHousekeeping() {
  boost::system::error_code error;
  while (!error) {
    m_housekeeping_timer.expires_after(kHousekeepingInterval);
    co_await m_housekeeping_timer.async_wait(
        asio::redirect_error(asio::use_awaitable, error));
    try {
      DoHousekeeping();
    } catch (const std::exception& failure) {
      kLog.Error("Housekeeping failed and is repeated: " +
                 std::string(failure.what()) + ".");
    }
  }
}

void DataPlane::DoHousekeeping() {
  m_upstream_pool.CloseExpired();
  const bool expired = m_backend_servers.Expire(SystemClock().Now());
  if (expired || m_has_pending_change) {
    OnBackendServersChanged();
  }
}

}  // namespace banyantrail
