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
#include "banyantrail/node/distribution_actor.h"
#include "banyantrail/node/membership_actor.h"
#include "banyantrail/node/routing_actor.h"

namespace banyantrail {
namespace {

const ComponentLogger kLog("control");

/// How often the actors look at the time.
constexpr milliseconds kTickInterval{50};

/// Actors do little; one worker that sleeps while there is nothing to do keeps
/// an idle node's share of its core small.
constexpr std::size_t kActorThreads = 1;

/// Orders the lives of a node on a VM that keeps nothing. A clock set back is
/// mended by the membership, which raises over any greater one it hears of.
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
          .admin_address = settings.listen.admin};
}

caf::actor_system_config& Configure(caf::actor_system_config& config) {
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

bool MayWatchStore(const MemberRecord& record, const DomainId& domain) {
  return record.domain == domain && record.state == MemberState::kAlive &&
         !record.draining;
}

/// The members of the node's failure domain that watch the store for it.
std::vector<NodeId> WatchersOf(const MembershipView& view) {
  std::vector<NodeId> members;
  for (const MemberRecord& record : view.members) {
    if (MayWatchStore(record, view.own.domain)) {
      members.push_back(record.node);
    }
  }
  return RelayCandidates(view.own.domain, members);
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
      m_system(Configure(m_config)),
      m_tick(io) {
  SpawnActors(settings);
  asio::co_spawn(io, RunTicks(), asio::detached);
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

  MembershipActorOptions membership{
      .protocol = {.own_record = OwnRecord(settings, m_incarnation),
                   .seeds = settings.seeds,
                   .rng_seed = seed},
      .send = send,
      .publish = [this](std::shared_ptr<const MembershipView> view) {
        asio::post(m_io, [this, view] { OnMembers(view); });
      }};
  m_membership = m_system.spawn(MembershipActor, std::move(membership), start);

  const auto compiler = std::make_shared<ReleaseCompiler>();
  const auto faults_of = [compiler](const Release& release) {
    return compiler->Compile(release)->faults;
  };
  DistributionActorOptions distribution{
      .protocol = {.self = settings.node,
                   .labels = settings.labels,
                   .mode = settings.distribution_mode,
                   .store = {.compile = faults_of},
                   .seed = seed,
                   .max_pushed_bytes = settings.max_pushed_bytes,
                   .push_first_release = settings.push_first_release},
      .send = send,
      .apply =
          [this](std::shared_ptr<const Release> release) {
            asio::post(m_io, [this, release] { OnRelease(release); });
          },
      .publish_status =
          [this](DistributionStatus status) {
            asio::post(m_io, [this, status = std::move(status)] {
              OnDistribution(status);
            });
          }};
  m_distribution_actor =
      m_system.spawn(DistributionActor, std::move(distribution), start);

  RoutingActorOptions routing{
      .labels = settings.labels,
      .region = settings.region,
      .domain = settings.domain,
      .compiler = compiler,
      .publish = [this](std::shared_ptr<const RoutingSnapshot> snapshot) {
        asio::post(m_io, [this, snapshot] { OnSnapshot(snapshot); });
      }};
  m_routing = m_system.spawn(RoutingActor, std::move(routing));
}

void ControlPlane::OnPeerMessage(const NodeId& from, PeerMessage message) {
  if (const auto* report = std::get_if<StatusReportMessage>(&message)) {
    if (m_on_status) {
      m_on_status(*report);
    }
    return;
  }
  if (const auto* head = std::get_if<StoreHeadMessage>(&message)) {
    m_store_follower.OnConfirmation({.revision = head->revision,
                                     .comes_by_tree = head->comes_by_tree,
                                     .applied = m_release->revision},
                                    SystemClock().Now());
  }
  if (const auto* crash = std::get_if<CrashReportMessage>(&message)) {
    m_hooks.on_crash_report(*crash);
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
      // An offer of the distribution alone: membership has nothing to answer.
      return;
    }
  }
  caf::anon_send(m_membership, PeerMessageReceived{from, std::move(message)});
}

void ControlPlane::OnUnreachable(const NodeId& node) {
  caf::anon_send(m_membership, PeerUnreachable{node});
  caf::anon_send(m_distribution_actor, PeerUnreachable{node});
}

/// Writes a line for each member whose state changed.
void ControlPlane::LogMemberChanges(const MembershipView& view) const {
  for (const MemberRecord& record : view.members) {
    const auto known =
        std::ranges::find(m_members->members, record.node, &MemberRecord::node);
    const bool is_same = known != m_members->members.end() &&
                         known->state == record.state &&
                         known->draining == record.draining &&
                         known->incarnation == record.incarnation;
    if (!is_same) {
      kLog.Event({{"event", "member"},
                  {"member", record.node.str()},
                  {"state", static_cast<int>(record.state)},
                  {"draining", record.draining},
                  {"incarnation", record.incarnation},
                  {"sequence", record.sequence}});
    }
  }
}

void ControlPlane::OnMembers(std::shared_ptr<const MembershipView> view) {
  LogMemberChanges(*view);
  m_members = std::move(view);
  m_watchers = WatchersOf(*m_members);
  for (const MemberRecord& record : m_members->members) {
    m_transport.SetAddress(record.node, record.peer_address);
  }
  caf::anon_send(m_distribution_actor, MembershipChanged{m_members});
  caf::anon_send(m_routing, MembershipChanged{m_members});
  m_hooks.on_members(m_members);
}

void ControlPlane::OnRelease(std::shared_ptr<const Release> release) {
  m_release = std::move(release);
  kLog.Event({{"event", "configuration_applied"},
              {"revision", m_release->revision},
              {"digest", m_release->digest},
              {"objects", m_release->objects.size()}});
  caf::anon_send(m_membership, ReleaseApplied{m_release});
  caf::anon_send(m_routing, ReleaseApplied{m_release});
}

void ControlPlane::OnSnapshot(std::shared_ptr<const RoutingSnapshot> snapshot) {
  m_hooks.on_snapshot(std::move(snapshot));
}

void ControlPlane::OnDistribution(DistributionStatus status) {
  m_distribution = std::move(status);
  ExportMetrics();
}

void ControlPlane::ExportMetrics() {
  m_metrics.SetGauge("banyantrail_applied_revision",
                     static_cast<double>(m_release->revision));
  m_metrics.SetGauge("banyantrail_known_revision",
                     static_cast<double>(m_distribution.known_revision));
  m_metrics.SetGauge("banyantrail_members",
                     static_cast<double>(m_members->members.size()));
  const DistributionCounters& counters = m_distribution.counters;
  const auto export_count = [this](const std::string& name,
                                   std::uint64_t count) {
    m_metrics.SetGauge("banyantrail_distribution_" + name,
                       static_cast<double>(count));
  };
  export_count("applied", counters.applied);
  export_count("needs_parent", counters.needs_parent);
  export_count("refused_digest_mismatch", counters.refused_digest_mismatch);
  export_count("refused_does_not_compile", counters.refused_does_not_compile);
  export_count("refused_malformed", counters.refused_malformed);
  export_count("pushes", counters.pushes);
  export_count("pushes_replaced", counters.pushes_replaced);
  export_count("requests", counters.requests);
  export_count("whole_served", counters.whole_served);
  export_count("busy_sent", counters.busy_sent);
}

asio::awaitable<void> ControlPlane::RunTicks() {
  boost::system::error_code error;
  while (!m_stopped) {
    m_tick.expires_after(kTickInterval);
    co_await m_tick.async_wait(
        asio::redirect_error(asio::use_awaitable, error));
    if (error) {
      co_return;
    }
    const TickMessage tick{SystemClock().Now()};
    caf::anon_send(m_membership, tick);
    caf::anon_send(m_distribution_actor, tick);
    caf::anon_send(m_routing, tick);
  }
}

void ControlPlane::SetBackendServers(std::vector<BackendServerRecord> servers) {
  caf::anon_send(m_membership, BackendServersChanged{std::move(servers)});
}

void ControlPlane::SetSeeds(std::vector<IpEndpoint> seeds) {
  caf::anon_send(m_membership, SeedsFound{std::move(seeds)});
}

void ControlPlane::OnReleaseRead(std::shared_ptr<const Release> release) {
  caf::anon_send(m_distribution_actor, ReleaseRead{std::move(release)});
}

void ControlPlane::OnPlatformHead(Revision revision) {
  caf::anon_send(m_distribution_actor, PlatformHeadRead{revision});
}

void ControlPlane::ConfirmStoreHead(Revision revision,
                                    std::size_t change_bytes) {
  const NodeId& own = m_members->own.node;
  if (std::ranges::find(m_watchers, own) == m_watchers.end()) {
    return;
  }
  const std::string digest =
      m_release->revision == revision ? m_release->digest : std::string();
  const StoreHeadMessage head{
      .revision = revision,
      .release_digest = digest,
      .comes_by_tree = change_bytes <= m_max_pushed_bytes};
  for (const MemberRecord& record : m_members->members) {
    const bool is_live = record.state == MemberState::kAlive ||
                         record.state == MemberState::kSuspect;
    const bool rests_on_this =
        record.domain == m_members->own.domain && record.node != own;
    if (is_live && rests_on_this) {
      m_transport.Send(record.node, head);
    }
  }
}

bool ControlPlane::MustWatchStore() const {
  const bool is_first =
      m_watchers.empty() || m_watchers.front() == m_members->own.node;
  return is_first ||
         m_store_follower.MustWatch(m_release->revision, SystemClock().Now());
}

void ControlPlane::ReportCrash(const ServiceName& service,
                               std::vector<std::uint64_t> suspects) {
  const CrashReportMessage report{.node = m_members->own.node,
                                  .incarnation = m_incarnation,
                                  .sequence = ++m_last_crash_report,
                                  .suspects = std::move(suspects)};
  for (const MemberRecord& member : m_members->members) {
    const bool owns_one = std::ranges::any_of(
        member.backend_servers, [&service](const BackendServerRecord& server) {
          return server.service == service;
        });
    if (owns_one && member.node != report.node) {
      m_transport.Send(member.node, report);
    }
  }
}

void ControlPlane::StartDrain() {
  caf::anon_send(m_membership, DrainStarted{});
}

void ControlPlane::Leave() {
  caf::anon_send(m_membership, LeaveRequested{});
}

void ControlPlane::SetStatusHandler(
    std::function<void(const StatusReportMessage&)> handler) {
  m_on_status = std::move(handler);
}

void ControlPlane::Stop() {
  if (m_stopped) {
    return;
  }
  m_stopped = true;
  m_tick.cancel();
  m_transport.Stop();
  for (const caf::actor& actor :
       {m_membership, m_distribution_actor, m_routing}) {
    caf::anon_send_exit(actor, caf::exit_reason::user_shutdown);
  }
}

}  // namespace banyantrail
