#include "banyantrail/node/control_plane.h"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <caf/all.hpp>
#include <nlohmann/json.hpp>
#include <utility>

#include "banyantrail/config/release_compiler.h"
#include "banyantrail/core/digest.h"
#include "banyantrail/core/logging.h"
#include "banyantrail/distribution/relay_lease.h"
#include "banyantrail/net/log_failure.h"
#include "banyantrail/node/distribution_actor.h"
#include "banyantrail/node/membership_actor.h"
#include "banyantrail/node/routing_actor.h"
#include "banyantrail/wire/request_metadata.h"

namespace banyantrail {
namespace {

const ComponentLogger kLog("control");

constexpr milliseconds kTickInterval{50};

/// The actors have little work. One worker thread that sleeps when there is
/// none keeps the CPU usage of an idle node low.
constexpr std::size_t kActorThreads = 1;

/// Derives the incarnation from the wall clock, because the VM stores no state
/// between restarts of a node. If the clock was set back, the membership
/// protocol raises the incarnation above any greater one that it learns of.
Incarnation NewIncarnation() {
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  return static_cast<Incarnation>(
      std::chrono::duration_cast<milliseconds>(now).count());
}

MemberRecord OwnRecord(const NodeSettings& settings, Incarnation incarnation) {
  return {.node = settings.node,
          .region = settings.region,
          .domain = settings.domain,
          .incarnation = incarnation,
          .labels = settings.labels,
          .peer_address = settings.listen.peer,
          .mesh_address = settings.listen.mesh,
          .admin_address = settings.listen.admin,
          .mesh_version = kMeshVersion};
}

caf::actor_system_config& ConfigureScheduler(caf::actor_system_config& config) {
  config.set("scheduler.policy", caf::atom("sharing"));
  config.set("scheduler.max-threads", kActorThreads);
  return config;
}

bool IsForDistribution(const PeerMessage& message) {
  return std::holds_alternative<ReleaseDeltaMessage>(message) ||
         std::holds_alternative<ReleaseAckMessage>(message) ||
         std::holds_alternative<ReleaseRequestMessage>(message) ||
         std::holds_alternative<ReleaseBusyMessage>(message) ||
         std::holds_alternative<StoreHeadMessage>(message);
}

bool NamesOthers(const std::vector<IpEndpoint>& seeds, const IpEndpoint& self) {
  return std::ranges::any_of(
      seeds, [&self](const IpEndpoint& seed) { return seed != self; });
}

bool IsForQuota(const PeerMessage& message) {
  return std::holds_alternative<QuotaRequestMessage>(message) ||
         std::holds_alternative<QuotaReplyMessage>(message);
}

/// Number of nodes of a failure domain that confirm the store's revision to the
/// others when they watch it.
constexpr std::size_t kMaxStoreWatchers = 8;

/// The timing of StoreFollower: a configuration reaches a node within the bound
/// when its watcher is lost, or when peers do not push it.
StoreFollower::Options FollowerOptions(const NodeSettings& settings) {
  const Duration bound = settings.configuration_bound;
  return {.max_age = bound * 13 / 20,
          .max_push_delay = bound * 7 / 20,
          .takeover_step = bound / 8};
}

bool MayWatchStore(const MemberRecord& record, const DomainId& domain) {
  return record.domain == domain && record.state == MemberState::kAlive &&
         !record.draining;
}

/// The members of the node's failure domain that may watch the store for the
/// others, in order of precedence.
std::vector<NodeId> StoreWatchersInOrder(const MembershipView& view) {
  std::vector<NodeId> members;
  for (const auto& record : view.members) {
    if (MayWatchStore(*record, view.self.domain)) {
      members.push_back(record->node);
    }
  }
  return RendezvousOrder(view.self.domain, members, kMaxStoreWatchers);
}

std::string VersionAndEra(const Revision& revision) {
  const std::string version = VersionText(revision);
  return "(version " + (version.empty() ? "none" : version) + ", era " +
         std::to_string(revision.era) + ")";
}

void LogMember(const MemberRecord& record) {
  kLog.Event({{"event", "member"},
              {"member", record.node.str()},
              {"state", static_cast<int>(record.state)},
              {"draining", record.draining},
              {"incarnation", record.incarnation},
              {"sequence", record.sequence}});
}

}  // namespace

ControlPlane::ControlPlane(asio::io_context& io,
                           Metrics& metrics,
                           const NodeSettings& settings,
                           ControlPlaneHooks hooks)
    : m_io(io),
      m_metrics(metrics),
      m_hooks(std::move(hooks)),
      m_incarnation(NewIncarnation()),
      m_max_pushed_bytes(settings.max_pushed_bytes),
      m_transport(io,
                  metrics,
                  {.listen = settings.listen.peer,
                   .hello = {.node = settings.node,
                             .domain = settings.domain,
                             .incarnation = NewIncarnation(),
                             .peer_address = settings.listen.peer},
                   .on_message =
                       [this](const NodeId& from, PeerMessage message) {
                         OnPeerMessage(from, std::move(message));
                       },
                   .on_unreachable =
                       [this](const NodeId& node) { OnUnreachable(node); }}),
      m_actor_system(ConfigureScheduler(m_actor_config)),
      m_tick_timer(io),
      m_peer_address(settings.listen.peer),
      m_knows_other_nodes(NamesOthers(settings.seeds, settings.listen.peer)),
      m_reads_users_platform(settings.platform.empty()),
      m_store_follower(FollowerOptions(settings), SystemClock().Now()),
      m_key_lease(settings.revocation,
                  metrics,
                  [this](const NodeId& to, const PeerMessage& message) {
                    m_transport.Send(to, message);
                  }) {
  m_random.seed(static_cast<std::minstd_rand::result_type>(
      Hash64(settings.node.str(), m_incarnation)));
  SpawnActors(settings);
  asio::co_spawn(io, RunTicks(), LogFailure("ticks"));
}

ControlPlane::~ControlPlane() {
  Stop();
}

void ControlPlane::SpawnActors(const NodeSettings& settings) {
  const TimePoint start = SystemClock().Now();
  const std::uint64_t seed = Hash64(settings.node.str(), m_incarnation);
  const auto send = [this](auto messages) {
    asio::post(m_io, [this, messages = std::move(messages)] {
      for (const auto& outgoing : messages) {
        m_transport.Send(outgoing.to, outgoing.message);
      }
    });
  };

  MembershipActorOptions membership_options{
      .protocol = {.own_record = OwnRecord(settings, m_incarnation),
                   .seeds = settings.seeds,
                   .rng_seed = seed},
      .send = send,
      .publish = [this](std::shared_ptr<const MembershipView> view) {
        asio::post(m_io, [this, view] { OnMembers(view); });
      }};
  m_membership_actor = m_actor_system.spawn(
      MembershipActor, std::move(membership_options), start);

  const auto compiler = std::make_shared<ReleaseCompiler>();
  const auto compile_faults = [compiler](const Release& release) {
    return compiler->Compile(release)->faults;
  };
  DistributionActorOptions distribution_options{
      .protocol = {.self = settings.node,
                   .labels = settings.labels,
                   .mode = settings.distribution_mode,
                   .store = {.compile = compile_faults},
                   .seed = seed,
                   .max_pushed_bytes = settings.max_pushed_bytes,
                   .push_first_release = settings.push_first_release},
      .send = send,
      .apply =
          [this](std::shared_ptr<const Release> release) {
            asio::post(m_io, [this, release] { OnReleaseApplied(release); });
          },
      .publish_status =
          [this](DistributionStatus status) {
            asio::post(m_io, [this, status = std::move(status)] {
              OnDistributionStatus(status);
            });
          }};
  m_distribution_actor = m_actor_system.spawn(
      DistributionActor, std::move(distribution_options), start);

  RoutingActorOptions routing_options{
      .labels = settings.labels,
      .region = settings.region,
      .domain = settings.domain,
      .compiler = compiler,
      .publish = [this](std::shared_ptr<const RoutingSnapshot> snapshot) {
        asio::post(m_io, [this, snapshot] { OnSnapshot(snapshot); });
      }};
  m_routing_actor =
      m_actor_system.spawn(RoutingActor, std::move(routing_options));
}

void ControlPlane::OnPeerMessage(const NodeId& from, PeerMessage message) {
  if (const auto* report = std::get_if<StatusReportMessage>(&message)) {
    if (m_status_handler) {
      m_status_handler(*report);
    }
    return;
  }
  if (const auto* head = std::get_if<StoreHeadMessage>(&message)) {
    OnStoreHead(*head);
  }
  if (const auto* crash = std::get_if<CrashReportMessage>(&message)) {
    if (m_crash_reports.Add(*crash, SystemClock().Now())) {
      m_hooks.on_crash_report(*crash);
    }
    return;
  }
  if (m_key_lease.OnPeerMessage(from, message)) {
    return;
  }
  if (IsForQuota(message)) {
    m_hooks.on_quota_message(from, message);
    return;
  }
  if (std::holds_alternative<RolloutDirectiveMessage>(message) ||
      std::holds_alternative<RolloutReportMessage>(message)) {
    m_hooks.on_rollout_message(from, message);
    return;
  }
  if (IsForDistribution(message)) {
    caf::anon_send(m_distribution_actor,
                   PeerMessageReceived{from, std::move(message)});
    return;
  }
  if (const auto* digest = std::get_if<DigestMessage>(&message)) {
    caf::anon_send(m_distribution_actor, PeerMessageReceived{from, message});
    if (digest->membership_hashes.empty()) {
      // The digest concerns distribution only.
      return;
    }
  }
  caf::anon_send(m_membership_actor,
                 PeerMessageReceived{from, std::move(message)});
}

void ControlPlane::OnStoreHead(const StoreHeadMessage& head) {
  const TimePoint now = SystemClock().Now();
  if (head.store_failed) {
    m_store_follower.OnStoreFailure(now);
    return;
  }
  m_store_follower.OnConfirmation({.revision = head.revision,
                                   .is_pushed = head.is_pushed,
                                   .applied = m_applied_release->revision},
                                  now);
  if (head.store_era > 0) {
    m_hooks.on_store_era(head.store_era);
  }
}

void ControlPlane::OnUnreachable(const NodeId& node) {
  caf::anon_send(m_membership_actor, PeerUnreachable{node});
  caf::anon_send(m_distribution_actor, PeerUnreachable{node});
}

void ControlPlane::OnMembers(std::shared_ptr<const MembershipView> view) {
  const auto changed = ChangedMembers(*m_membership_view, *view);
  const bool is_new_version = view->version != m_membership_view->version;
  const bool is_new_state = view->joined != m_membership_view->joined ||
                            view->isolated != m_membership_view->isolated;
  m_membership_view = std::move(view);
  if (is_new_version || is_new_state) {
    m_hooks.on_view(*m_membership_view);
  }
  caf::anon_send(m_distribution_actor, MembershipChanged{m_membership_view});
  if (!is_new_version) {
    return;
  }
  for (const auto& record : changed) {
    LogMember(*record);
    m_transport.SetAddress(record->node, record->peer_address);
  }
  m_store_watchers = StoreWatchersInOrder(*m_membership_view);
  m_key_lease.OnMembers(*m_membership_view, m_store_watchers);
  caf::anon_send(m_routing_actor, MembershipChanged{m_membership_view});
  m_hooks.on_members(m_membership_view);
}

void ControlPlane::OnReleaseApplied(std::shared_ptr<const Release> release) {
  m_applied_release = std::move(release);
  kLog.Event({{"event", "configuration_applied"},
              {"revision", m_applied_release->revision.number},
              {"version", m_applied_release->revision.version},
              {"era", m_applied_release->revision.era},
              {"digest", m_applied_release->digest},
              {"objects", m_applied_release->objects.size()}});
  ExportMetrics();
  caf::anon_send(m_membership_actor, ReleaseApplied{m_applied_release});
  caf::anon_send(m_routing_actor, ReleaseApplied{m_applied_release});
}

void ControlPlane::OnSnapshot(std::shared_ptr<const RoutingSnapshot> snapshot) {
  m_key_lease.OnRouted(snapshot->revision());
  m_hooks.on_snapshot(std::move(snapshot));
}

void ControlPlane::OnDistributionStatus(DistributionStatus status) {
  const Revision refused_before = m_distribution_status.report.refused_revision;
  m_distribution_status = std::move(status);
  if (m_distribution_status.report.refused_revision != refused_before) {
    ReportRefusedRevision();
  }
  ExportMetrics();
}

/// Tells operators that this node keeps an older configuration in force.
void ControlPlane::ReportRefusedRevision() {
  const StatusReportMessage& report = m_distribution_status.report;
  if (!report.refused_revision.exists()) {
    kLog.Info("Configuration " +
              std::to_string(report.applied_revision.number) + " " +
              VersionAndEra(report.applied_revision) +
              " is applied; none above it is refused.");
    return;
  }
  m_metrics.CountControlEvent("configuration_refused");
  kLog.Warn("Configuration " + std::to_string(report.refused_revision.number) +
            " is refused " + VersionAndEra(report.refused_revision) + ": " +
            report.refusal_reason + ". Configuration " +
            std::to_string(report.applied_revision.number) + " " +
            VersionAndEra(report.applied_revision) +
            " stays in force at this node. Correct it in the store.");
}

void ControlPlane::OnStoreShows(const Revision& revision) {
  if (m_reads_users_platform) {
    m_store_view.OnRead(revision, m_applied_release->revision);
    ExportStoreMetrics();
  }
}

/// What the store showed is no longer known once another node watches it.
void ControlPlane::ForgetUnwatchedStore() {
  if (m_store_view.shown() &&
      CurrentStoreDuty().kind != StoreDuty::Kind::kWatch) {
    m_store_view.Forget();
    ExportStoreMetrics();
  }
}

void ControlPlane::ExportStoreMetrics() {
  m_metrics.SetGauge("banyantrail_store_era",
                     static_cast<double>(m_store_view.era()));
  m_metrics.SetGauge("banyantrail_store_is_behind", store_is_behind() ? 1 : 0);
}

void ControlPlane::ExportMetrics() {
  m_metrics.SetGauge("banyantrail_applied_revision",
                     static_cast<double>(m_applied_release->revision.number));
  m_metrics.SetGauge("banyantrail_applied_version",
                     static_cast<double>(m_applied_release->revision.version));
  ExportStoreMetrics();
  m_metrics.SetGauge(
      "banyantrail_known_revision",
      static_cast<double>(m_distribution_status.known_revision.number));
  m_metrics.SetGauge("banyantrail_refused_revision",
                     static_cast<double>(
                         m_distribution_status.report.refused_revision.number));
  m_metrics.SetGauge("banyantrail_members",
                     static_cast<double>(m_membership_view->members.size()));
  const DistributionCounters& counters = m_distribution_status.counters;
  const auto export_count = [this](const std::string& name,
                                   std::uint64_t count) {
    m_metrics.SetGauge("banyantrail_distribution_" + name,
                       static_cast<double>(count));
  };
  export_count("applied", counters.applied);
  export_count("needs_parent", counters.needs_parent);
  export_count("refused_digest_mismatch", counters.refused_digest_mismatch);
  export_count("refused_does_not_compile", counters.refused_does_not_compile);
  export_count("refused_unreadable", counters.refused_unreadable);
  export_count("refused_malformed", counters.refused_malformed);
  export_count("pushes", counters.pushes);
  export_count("pushes_replaced", counters.pushes_replaced);
  export_count("requests", counters.requests);
  export_count("whole_served", counters.whole_served);
  export_count("busy_sent", counters.busy_sent);
  export_count("too_large_to_send", counters.too_large_to_send);
}

asio::awaitable<void> ControlPlane::RunTicks() {
  boost::system::error_code error;
  while (!m_stopped) {
    m_tick_timer.expires_after(kTickInterval);
    co_await m_tick_timer.async_wait(
        asio::redirect_error(asio::use_awaitable, error));
    if (error) {
      co_return;
    }
    m_key_lease.OnTick();
    ForgetUnwatchedStore();
    const TickMessage tick{SystemClock().Now()};
    RepeatCrashReports(tick.now);
    caf::anon_send(m_membership_actor, tick);
    caf::anon_send(m_distribution_actor, tick);
    caf::anon_send(m_routing_actor, tick);
  }
}

void ControlPlane::SetBackendServers(std::vector<BackendServerRecord> servers) {
  caf::anon_send(m_membership_actor, BackendServersChanged{std::move(servers)});
}

void ControlPlane::SetSeeds(std::vector<IpEndpoint> seeds) {
  if (!m_knows_other_nodes && NamesOthers(seeds, m_peer_address)) {
    m_knows_other_nodes = true;
    m_hooks.on_view(*m_membership_view);
  }
  caf::anon_send(m_membership_actor, SeedsFound{std::move(seeds)});
}

void ControlPlane::OnReleaseRead(std::shared_ptr<const Release> release) {
  caf::anon_send(m_distribution_actor, ReleaseRead{std::move(release)});
}

void ControlPlane::OnUnreadableRelease(Revision revision, std::string reason) {
  OnStoreShows(revision);
  caf::anon_send(m_distribution_actor,
                 UnreadableReleaseFound{revision, std::move(reason)});
}

void ControlPlane::OnPlatformHead(Revision revision) {
  OnStoreShows(revision);
  caf::anon_send(m_distribution_actor, PlatformHeadRead{revision});
}

void ControlPlane::ConfirmStoreHead(Revision revision,
                                    std::size_t change_bytes,
                                    std::uint64_t store_era) {
  m_store_follower.OnOwnSuccess();
  const std::string digest = m_applied_release->revision == revision
                                 ? m_applied_release->digest
                                 : std::string();
  SendToFollowers({.revision = revision,
                   .release_digest = digest,
                   .is_pushed = change_bytes <= m_max_pushed_bytes,
                   .store_era = store_era});
}

void ControlPlane::ReportStoreFailure() {
  m_store_follower.OnOwnFailure(SystemClock().Now());
  SendToFollowers({.store_failed = true});
}

/// Sends a message about the store to the other nodes of the failure domain, if
/// this node is among its watchers.
void ControlPlane::SendToFollowers(const StoreHeadMessage& head) {
  const NodeId& self = m_membership_view->self.node;
  if (std::ranges::find(m_store_watchers, self) == m_store_watchers.end()) {
    return;
  }
  for (const auto& record : m_membership_view->members) {
    const bool is_live = record->state == MemberState::kAlive ||
                         record->state == MemberState::kSuspect;
    const bool relies_on_this_node =
        record->domain == m_membership_view->self.domain &&
        record->node != self;
    if (is_live && relies_on_this_node) {
      m_transport.Send(record->node, head);
    }
  }
}

/// A node that has not joined yet does not know its position and counts as
/// last.
std::size_t ControlPlane::StoreWatcherRank() const {
  const auto self =
      std::ranges::find(m_store_watchers, m_membership_view->self.node);
  return m_membership_view->joined
             ? static_cast<std::size_t>(self - m_store_watchers.begin())
             : kMaxStoreWatchers;
}

StoreDuty ControlPlane::CurrentStoreDuty() const {
  return m_store_follower.Duty(
      {.applied = m_applied_release->revision, .rank = StoreWatcherRank()},
      SystemClock().Now());
}

bool ControlPlane::OtherNodeWatchesStore() const {
  return m_store_follower.OtherNodeWatches(StoreWatcherRank(),
                                           SystemClock().Now());
}

void ControlPlane::ReportCrash(const ServiceName& service,
                               std::vector<std::uint64_t> suspects) {
  const CrashReportMessage report{.node = m_membership_view->self.node,
                                  .incarnation = m_incarnation,
                                  .sequence = ++m_crash_report_sequence,
                                  .suspects = std::move(suspects)};
  m_crash_reports.Add(report, SystemClock().Now());
  for (const auto& member : m_membership_view->members) {
    const bool owns_backend_server = std::ranges::any_of(
        member->backend_servers, [&service](const BackendServerRecord& server) {
          return server.service == service;
        });
    if (owns_backend_server && member->node != report.node) {
      m_transport.Send(member->node, report);
    }
  }
}

/// Sends the recent crash reports to some nodes chosen at random, which may
/// have missed them. As all nodes do so, each is sent as many on average,
/// whatever the size of the fleet.
void ControlPlane::RepeatCrashReports(TimePoint now) {
  constexpr Duration kInterval = seconds(1);
  constexpr int kReceivers = 2;
  const auto& members = m_membership_view->members;
  if (now - m_crash_reports_repeated_at < kInterval || members.empty() ||
      !m_crash_reports.HasRecent(now)) {
    return;
  }
  m_crash_reports_repeated_at = now;
  std::uniform_int_distribution<std::size_t> choose(0, members.size() - 1);
  for (int i = 0; i < kReceivers; ++i) {
    const NodeId& receiver = members[choose(m_random)]->node;
    if (receiver == m_membership_view->self.node) {
      continue;
    }
    for (const CrashReportMessage& report : m_crash_reports.Recent(now)) {
      m_transport.Send(receiver, report);
    }
  }
}

void ControlPlane::StartDrain() {
  caf::anon_send(m_membership_actor, DrainStarted{});
}

void ControlPlane::Leave() {
  caf::anon_send(m_membership_actor, LeaveRequested{});
}

void ControlPlane::SetStatusHandler(
    std::function<void(const StatusReportMessage&)> handler) {
  m_status_handler = std::move(handler);
}

void ControlPlane::Stop() {
  if (m_stopped) {
    return;
  }
  m_stopped = true;
  m_tick_timer.cancel();
  m_transport.Stop();
  for (const caf::actor& actor :
       {m_membership_actor, m_distribution_actor, m_routing_actor}) {
    caf::anon_send_exit(actor, caf::exit_reason::user_shutdown);
  }
}

}  // namespace banyantrail
