#include "banyantrail/node/node.h"

#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <utility>

#include "banyantrail/core/logging.h"
#include "banyantrail/net/http_server.h"
#include "banyantrail/net/log_failure.h"
#include "banyantrail/node/admin_api.h"
#include "banyantrail/node/control_plane.h"
#include "banyantrail/node/data_plane.h"
#include "banyantrail/node/metrics.h"
#include "banyantrail/node/platform_tasks.h"
#include "banyantrail/node/rollout_coordinator.h"
#include "banyantrail/node/team_quota_gate.h"
#include "banyantrail/store/store_client.h"
#include "banyantrail/traffic/idempotency_ledger.h"

namespace banyantrail {
namespace {

const ComponentLogger kLog("node");

/// Time allowed for the leave messages to reach the peers.
constexpr Duration kLeaveTimeout = milliseconds(300);

/// Part of the shutdown time that is reserved for the steps after draining.
constexpr Duration kShutdownReserve = kLeaveTimeout + milliseconds(200);

/// Time to answer the requests that have to be given up at the end.
constexpr Duration kAnswerTime = milliseconds(100);

constexpr Duration kPollInterval = milliseconds(20);

/// Returns empty hooks if the feature is off or if the settings name no
/// platform to store claims in.
IdempotencyHooks MakeIdempotencyHooks(IdempotencyLedger<StoreClient>& ledger,
                                      const NodeSettings& settings) {
  if (!settings.claim_idempotency_keys || settings.platform.empty()) {
    return {};
  }
  return {.claim =
              [&ledger](std::string object_key, std::string attempt) {
                return ledger.Claim(std::move(object_key), std::move(attempt));
              },
          .record_result =
              [&ledger](HeldClaim claim, std::uint32_t status) {
                return ledger.RecordResult(std::move(claim), status);
              },
          .release =
              [&ledger](HeldClaim claim) {
                return ledger.Release(std::move(claim));
              }};
}

}  // namespace

struct Node::Components {
  Components(asio::io_context& io, const NodeSettings& settings)
      : platform(io.get_executor(), {.servers = settings.platform}),
        ledger(platform),
        signals(io, SIGTERM, SIGINT),
        reload_signal(io, SIGHUP) {}

  Metrics metrics;
  StoreClient platform;
  IdempotencyLedger<StoreClient> ledger;
  std::unique_ptr<ControlPlane> control;
  std::unique_ptr<TeamQuotaGate> quotas;
  std::unique_ptr<DataPlane> data;
  std::unique_ptr<PlatformTasks> platform_tasks;
  /// Null if the settings disable roll-outs.
  std::unique_ptr<RolloutCoordinator> rollouts;
  std::unique_ptr<AdminApi> admin;
  std::unique_ptr<HttpServer> admin_server;
  asio::signal_set signals;
  asio::signal_set reload_signal;
  /// Declared last, so that it is destroyed before the members that it uses.
  NodeEnvironment environment;
};

Node::Node(const NodeSettings& settings, NodeOptions options)
    : m_settings(settings),
      m_components(std::make_unique<Components>(m_io, settings)) {
  Components& components = *m_components;
  components.quotas = std::make_unique<TeamQuotaGate>(
      m_io.get_executor(),
      TeamQuotaGate::Options{
          .quotas = {.self = m_settings.node,
                     .domain = m_settings.domain,
                     .bound = m_settings.quota_bound},
          .send =
              [&components](const NodeId& to, const PeerMessage& message) {
                components.control->Send(to, message);
              },
          .count =
              [&components](const TeamName& team, std::string_view outcome) {
                components.metrics.CountTeamRequest(team.str(), outcome);
              }});
  components.data = std::make_unique<DataPlane>(
      m_io, components.metrics, m_settings,
      DataPlane::Options{
          .on_backend_servers_changed =
              [&components](auto records) {
                components.control->SetBackendServers(std::move(records));
              },
          .on_crash =
              [&components](const ServiceName& service, auto suspects) {
                kLog.Warn("A backend server of " + service.str() +
                          " crashed with " + std::to_string(suspects.size()) +
                          " requests in flight that may have caused it.");
                components.control->ReportCrash(service, std::move(suspects));
              },
          .idempotency = MakeIdempotencyHooks(components.ledger, m_settings),
          .quota = {.acquire =
                        [&components](TeamName team, TimePoint deadline) {
                          return components.quotas->Acquire(std::move(team),
                                                            deadline);
                        },
                    .give_back =
                        [&components](const TeamName& team) {
                          components.quotas->GiveBack(team);
                        }},
          .dialect = options.dialect,
          .may_accept_keys =
              [&components](Revision applied) {
                return components.control->MayAcceptKeys(applied);
              }});
  components.control = std::make_unique<ControlPlane>(
      m_io, components.metrics, m_settings,
      ControlPlaneHooks{
          .on_snapshot =
              [&components](std::shared_ptr<const RoutingSnapshot> snapshot) {
                components.quotas->SetTeams(snapshot->teams());
                components.data->SetSnapshot(std::move(snapshot));
              },
          .on_members =
              [&components](std::shared_ptr<const MembershipView> view) {
                if (components.platform_tasks) {
                  components.platform_tasks->OnMembers(*view);
                }
              },
          .on_crash_report =
              [&components](const CrashReportMessage& report) {
                components.data->OnCrashReport(report);
              },
          .on_view =
              [&components](const MembershipView& view) {
                components.quotas->SetMembers(
                    view, components.control->knows_other_nodes());
              },
          .on_quota_message =
              [&components](const NodeId& from, const PeerMessage& message) {
                components.quotas->OnMessage(from, message);
              },
          .on_store_era =
              [&components](std::uint64_t era) {
                components.environment.on_store_era(era);
              },
          .on_rollout_message =
              [&components](const NodeId& from, const PeerMessage& message) {
                if (components.rollouts) {
                  components.rollouts->OnMessage(from, message);
                }
              }});
  if (m_settings.rollouts.exposure_share > 0) {
    components.rollouts = std::make_unique<RolloutCoordinator>(
        m_io, m_settings.node, *components.control, *components.data,
        components.metrics);
  }
  components.platform_tasks =
      std::make_unique<PlatformTasks>(m_io, m_settings, components.platform,
                                      *components.control, components.metrics);
  components.admin = std::make_unique<AdminApi>(
      AdminApi::Options{.settings = m_settings,
                        .control = *components.control,
                        .data = *components.data,
                        .metrics = components.metrics,
                        .platform = components.platform,
                        .quotas = *components.quotas,
                        .start_drain = [this] { StartDrain(); },
                        .is_draining = [this] { return m_draining; }});
  components.admin_server = std::make_unique<HttpServer>(
      m_io, HttpServer::Options{
                .endpoint = m_settings.listen.admin,
                .handler =
                    [&components](HttpRequest request) {
                      return components.admin->Handle(std::move(request));
                    },
                .max_header_bytes = m_settings.limits.max_header_bytes,
                .max_connections = m_settings.limits.max_admin_connections,
                .on_refused =
                    [&components](std::string_view reason) {
                      components.metrics.CountRefusal("admin", reason);
                    }});
  if (options.make_environment) {
    components.environment = options.make_environment(MakeServices());
  }
  asio::co_spawn(m_io, WaitForSignal(), LogFailure("wait for a stop"));
  asio::co_spawn(m_io, WaitForReload(), LogFailure("wait for a reload"));
}

NodeServices Node::MakeServices() {
  Components& components = *m_components;
  NodeServices services{
      .io = m_io,
      .settings = m_settings,
      .metrics = components.metrics,
      .announce =
          [&components](Announcement announcement) {
            components.data->Announce(std::move(announcement));
          },
      .deregister =
          [&components](Departure departure) {
            components.data->Deregister(departure);
          },
      .departures = [&components] { return components.data->Departures(); },
      .restore_departures =
          [&components](const std::vector<Departure>& departures) {
            components.data->RestoreDepartures(departures);
          },
      .is_ready = [&components] { return components.admin->IsReady(); },
      .on_release =
          [&components](std::shared_ptr<const Release> release) {
            components.control->OnReleaseRead(std::move(release));
          },
      .on_release_unreadable =
          [&components](Revision revision, std::string reason) {
            components.control->OnUnreadableRelease(revision,
                                                    std::move(reason));
          },
      .on_store_head =
          [&components](Revision revision) {
            components.control->OnPlatformHead(revision);
          },
      .applied_revision =
          [&components] {
            return components.control->applied_release()->revision;
          },
      .on_store_confirmed =
          [&components](Revision revision, std::size_t change_bytes,
                        std::uint64_t store_era) {
            components.control->ConfirmStoreHead(revision, change_bytes,
                                                 store_era);
          },
      .on_store_read =
          [&components](Revision revision, BootTimePoint sent_at) {
            components.control->OnStoreRead(revision, sent_at);
          },
      .on_store_failed =
          [&components] { components.control->ReportStoreFailure(); },
      .store_duty =
          [&components] { return components.control->CurrentStoreDuty(); },
      .other_node_watches_store =
          [&components] { return components.control->OtherNodeWatchesStore(); },
      .set_seeds =
          [&components](std::vector<IpEndpoint> seeds) {
            components.control->SetSeeds(std::move(seeds));
          },
      .membership = [&components] { return components.control->membership(); }};
  if (components.rollouts) {
    RolloutCoordinator& rollouts = *components.rollouts;
    services.rollout_judge_term = [&rollouts] { return rollouts.judge_term(); };
    services.on_rollouts_read = [&rollouts](const RolloutReadResult& read,
                                            bool is_list) {
      rollouts.OnRead(read, is_list);
    };
    services.next_rollout_write = [&rollouts] { return rollouts.NextWrite(); };
    services.on_rollout_written = [&rollouts](const RolloutWrite& write,
                                              std::optional<bool> written) {
      rollouts.OnWritten(write, written);
    };
  }
  return services;
}

Node::~Node() {
  m_io.DestroyPending();
}

void Node::Run() {
  kLog.Info("Node " + m_settings.node.str() + " is listening for callers on " +
            ToString(m_settings.listen.caller) + ".");
  RunLoggingFailures(m_io);
  kLog.Info("Node " + m_settings.node.str() + " has stopped.");
}

asio::awaitable<void> Node::WaitForSignal() {
  boost::system::error_code error;
  co_await m_components->signals.async_wait(
      asio::redirect_error(asio::use_awaitable, error));
  if (!error) {
    StartDrain();
  }
}

asio::awaitable<void> Node::WaitForReload() {
  boost::system::error_code error;
  while (!error) {
    co_await m_components->reload_signal.async_wait(
        asio::redirect_error(asio::use_awaitable, error));
    if (!error) {
      m_components->environment.reload();
    }
  }
}

void Node::StartDrain() {
  if (m_draining) {
    return;
  }
  m_draining = true;
  kLog.Info("Graceful shutdown started.");
  const TimePoint end =
      SystemClock().Now() + m_settings.shutdown.grace_period - kShutdownReserve;
  m_components->data->StartDrain(end - kAnswerTime);
  m_components->control->StartDrain();
  asio::co_spawn(m_io, DrainAndStop(end), LogFailure("graceful shutdown"));
}

/// Waits until no request is in progress, or until `end`.
asio::awaitable<void> Node::AwaitRequests(TimePoint end) {
  while (m_components->data->requests_in_progress() > 0 &&
         SystemClock().Now() < end) {
    co_await Sleep(kPollInterval);
  }
}

asio::awaitable<void> Node::DrainAndStop(TimePoint end) {
  co_await Sleep(m_settings.shutdown.drain_delay);
  m_components->data->StopListening();
  co_await AwaitRequests(end - kAnswerTime);
  m_components->data->EndRequests();
  co_await AwaitRequests(end);
  m_components->environment.stop();
  co_await m_components->platform_tasks->ReleaseLease();
  m_components->control->Leave();
  const TimePoint leave_deadline = SystemClock().Now() + kLeaveTimeout;
  co_await Sleep(kPollInterval);
  while (!m_components->control->is_idle() &&
         SystemClock().Now() < leave_deadline) {
    co_await Sleep(kPollInterval);
  }
  m_components->control->Stop();
  m_io.stop();
}

asio::awaitable<void> Node::Sleep(Duration duration) {
  asio::steady_timer timer(m_io);
  timer.expires_after(duration);
  co_await timer.async_wait(asio::use_awaitable);
}

}  // namespace banyantrail
