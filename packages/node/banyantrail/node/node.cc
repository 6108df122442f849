#include "banyantrail/node/node.h"

#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <utility>

#include "banyantrail/core/logging.h"
#include "banyantrail/net/http_server.h"
#include "banyantrail/node/admin_api.h"
#include "banyantrail/node/control_plane.h"
#include "banyantrail/node/data_plane.h"
#include "banyantrail/node/metrics.h"
#include "banyantrail/node/platform_duty.h"
#include "banyantrail/store/store_client.h"
#include "banyantrail/traffic/once_only_ledger.h"

namespace banyantrail {
namespace {

const ComponentLogger kLog("node");

/// The goodbye is given this long to reach the peers.
constexpr Duration kGoodbyeLimit = milliseconds(300);

/// What the last steps of a planned stop may take, before the limit.
constexpr Duration kStopMargin = kGoodbyeLimit + milliseconds(200);

constexpr Duration kPollInterval = milliseconds(20);

/// Without a platform in the settings there is nothing to claim orders in.
OnceOnlyHooks OnceOnly(OnceOnlyLedger<StoreClient>& ledger,
                       const NodeSettings& settings) {
  if (!settings.once_only || settings.platform.empty()) {
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

struct Node::Parts {
  Parts(asio::io_context& io, const NodeSettings& settings)
      : platform(io.get_executor(), {.servers = settings.platform}),
        ledger(platform),
        signals(io, SIGTERM, SIGINT),
        reload_signal(io, SIGHUP) {}

  Metrics metrics;
  StoreClient platform;
  OnceOnlyLedger<StoreClient> ledger;
  std::unique_ptr<ControlPlane> control;
  std::unique_ptr<DataPlane> data;
  std::unique_ptr<PlatformDuty> duty;
  std::unique_ptr<AdminApi> admin;
  std::unique_ptr<HttpServer> admin_server;
  asio::signal_set signals;
  asio::signal_set reload_signal;
  /// Last, so that it ends before what it uses.
  NodeEnvironment environment;
};

Node::Node(const NodeSettings& settings, NodeOptions options)
    : m_settings(settings), m_parts(std::make_unique<Parts>(m_io, settings)) {
  Parts& parts = *m_parts;
  parts.data = std::make_unique<DataPlane>(
      m_io, parts.metrics, m_settings,
      DataPlane::Options{
          .on_backend_servers =
              [&parts](auto records) {
                parts.control->SetBackendServers(std::move(records));
              },
          .on_crash =
              [&parts](const ServiceName& service, auto suspects) {
                kLog.Warn("A backend server of " + service.str() +
                          " crashed with " + std::to_string(suspects.size()) +
                          " suspect requests in flight.");
                parts.control->ReportCrash(service, std::move(suspects));
              },
          .once_only = OnceOnly(parts.ledger, m_settings),
          .dialect = options.dialect});
  parts.control = std::make_unique<ControlPlane>(
      m_io, parts.metrics, m_settings,
      ControlPlaneHooks{
          .on_snapshot =
              [&parts](std::shared_ptr<const RoutingSnapshot> snapshot) {
                parts.data->SetSnapshot(std::move(snapshot));
              },
          .on_members =
              [&parts](std::shared_ptr<const MembershipView> view) {
                if (parts.duty) {
                  parts.duty->OnMembers(*view);
                }
              },
          .on_crash_report =
              [&parts](const CrashReportMessage& report) {
                parts.data->OnCrashReport(report);
              }});
  parts.duty = std::make_unique<PlatformDuty>(m_io, m_settings, parts.platform,
                                              *parts.control, parts.metrics);
  parts.admin = std::make_unique<AdminApi>(
      AdminApi::Options{.settings = m_settings,
                        .control = *parts.control,
                        .data = *parts.data,
                        .metrics = parts.metrics,
                        .platform = parts.platform,
                        .start_drain = [this] { StartDrain(); },
                        .is_draining = [this] { return m_draining; }});
  parts.admin_server = std::make_unique<HttpServer>(
      m_io, HttpServer::Options{
                .endpoint = m_settings.listen.admin,
                .handler =
                    [&parts](HttpRequest request) {
                      return parts.admin->Handle(std::move(request));
                    },
                .max_header_bytes = m_settings.limits.max_header_bytes,
                .max_connections = m_settings.limits.max_admin_connections,
                .on_refused =
                    [&parts](std::string_view reason) {
                      parts.metrics.CountRefusal("admin", reason);
                    }});
  if (options.make_environment) {
    parts.environment = options.make_environment(Services());
  }
  asio::co_spawn(m_io, WaitForSignal(), asio::detached);
  asio::co_spawn(m_io, WaitForReload(), asio::detached);
}

NodeServices Node::Services() {
  Parts& parts = *m_parts;
  return {
      .io = m_io,
      .settings = m_settings,
      .metrics = parts.metrics,
      .announce =
          [&parts](Announcement announcement) {
            parts.data->Announce(std::move(announcement));
          },
      .leave = [&parts](Departure departure) { parts.data->Leave(departure); },
      .departures = [&parts] { return parts.data->Departures(); },
      .restore_departures =
          [&parts](const std::vector<Departure>& departures) {
            parts.data->RestoreDepartures(departures);
          },
      .is_ready = [&parts] { return parts.admin->IsReady(); },
      .on_release =
          [&parts](std::shared_ptr<const Release> release) {
            parts.control->OnReleaseRead(std::move(release));
          },
      .on_store_head =
          [&parts](Revision revision) {
            parts.control->OnPlatformHead(revision);
          },
      .on_store_confirmed =
          [&parts](Revision revision, std::size_t change_bytes) {
            parts.control->ConfirmStoreHead(revision, change_bytes);
          },
      .must_watch_store = [&parts] { return parts.control->MustWatchStore(); },
      .set_seeds =
          [&parts](std::vector<IpEndpoint> seeds) {
            parts.control->SetSeeds(std::move(seeds));
          },
      .members = [&parts] { return parts.control->members(); }};
}

Node::~Node() = default;

void Node::Run() {
  kLog.Info("Node " + m_settings.node.str() + " serves callers on " +
            ToString(m_settings.listen.caller) + ".");
  m_io.run();
  kLog.Info("Node " + m_settings.node.str() + " has stopped.");
}

asio::awaitable<void> Node::WaitForSignal() {
  boost::system::error_code error;
  co_await m_parts->signals.async_wait(
      asio::redirect_error(asio::use_awaitable, error));
  if (!error) {
    StartDrain();
  }
}

asio::awaitable<void> Node::WaitForReload() {
  boost::system::error_code error;
  while (!error) {
    co_await m_parts->reload_signal.async_wait(
        asio::redirect_error(asio::use_awaitable, error));
    if (!error) {
      m_parts->environment.reload();
    }
  }
}

void Node::StartDrain() {
  if (m_draining) {
    return;
  }
  m_draining = true;
  kLog.Info("The planned stop has begun.");
  m_parts->data->StartDrain();
  m_parts->control->StartDrain();
  asio::co_spawn(m_io, FinishAndStop(), asio::detached);
}

asio::awaitable<void> Node::FinishAndStop() {
  const TimePoint drain_end =
      SystemClock().Now() + m_settings.stop.limit - kStopMargin;
  co_await Pause(m_settings.stop.notice);
  m_parts->data->StopListening();
  while (m_parts->data->requests_in_progress() > 0 &&
         SystemClock().Now() < drain_end) {
    co_await Pause(kPollInterval);
  }
  m_parts->environment.stop();
  co_await m_parts->duty->GiveBack();
  m_parts->control->Leave();
  const TimePoint goodbye_end = SystemClock().Now() + kGoodbyeLimit;
  co_await Pause(kPollInterval);
  while (!m_parts->control->is_idle() && SystemClock().Now() < goodbye_end) {
    co_await Pause(kPollInterval);
  }
  m_parts->control->Stop();
  m_io.stop();
}

asio::awaitable<void> Node::Pause(Duration duration) {
  asio::steady_timer timer(m_io);
  timer.expires_after(duration);
  co_await timer.async_wait(asio::use_awaitable);
}

}  // namespace banyantrail
