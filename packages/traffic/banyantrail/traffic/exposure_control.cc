#include "banyantrail/traffic/exposure_control.h"

#include <algorithm>
#include <cmath>
#include <random>
#include <utility>

#include "banyantrail/core/digest.h"

namespace banyantrail {
namespace {

/// Backend servers run at reduced speed for some seconds after their start.
constexpr Duration kWarmUp = seconds(4);

bool IsFinal(RolloutPhase phase) {
  return phase == RolloutPhase::kCompleted ||
         phase == RolloutPhase::kRolledBack;
}

/// Phases that follow each other within a roll-out. Never decreases, so that
/// two judges with different views cannot take back what a node has confirmed.
int StepOf(RolloutPhase phase) {
  switch (phase) {
    case RolloutPhase::kCanary:
    case RolloutPhase::kHeld:
      return 0;
    case RolloutPhase::kPromoted:
      return 1;
    case RolloutPhase::kRolledBack:
      return 2;
    case RolloutPhase::kCompleted:
      return 3;
  }
  return 0;
}

}  // namespace

bool VersionChoice::Allows(const ServiceEndpoint& endpoint) const {
  const bool is_chosen_version = !only || *only == endpoint.version;
  const bool is_chosen_server =
      servers.empty() || servers.contains(endpoint.id);
  return is_chosen_version && is_chosen_server &&
         !excluded.contains(endpoint.version);
}

ExposureControl::ExposureControl(Options options)
    : m_options(options), m_rng(options.seed) {}

void ExposureControl::SetServices(const std::vector<RoutedService>& services,
                                  std::size_t nodes,
                                  TimePoint now) {
  m_nodes = std::max<std::size_t>(nodes, 1);
  for (const RoutedService& routed : services) {
    Service& service = m_services[routed.name];
    for (auto& [name, version] : service.versions) {
      version.endpoints = 0;
      version.servers.clear();
    }
    for (const ServiceEndpoint& endpoint : routed.endpoints) {
      const auto [found, is_new] =
          service.versions.try_emplace(endpoint.version);
      if (is_new) {
        found->second.appeared_at = now;
        StartLimit(found->second, 0);
      }
      ++found->second.endpoints;
      found->second.servers.insert(endpoint.id);
    }
    std::erase_if(service.versions, [](const auto& entry) {
      return entry.second.endpoints == 0;
    });
    Establish(service, now);
  }
}

/// Without an established version, the one with the most endpoints is. The
/// others become established once their limit has passed.
void ExposureControl::Establish(Service& service, TimePoint now) const {
  const bool has_established = std::ranges::any_of(
      service.versions,
      [](const auto& entry) { return entry.second.established; });
  const auto largest = std::ranges::max_element(
      service.versions, {},
      [](const auto& entry) { return entry.second.endpoints; });
  if (!has_established && largest != service.versions.end()) {
    largest->second.established = true;
  }
  for (auto& [name, version] : service.versions) {
    version.established = version.established ||
                          now - version.appeared_at >= m_options.unknown_limit;
  }
}

void ExposureControl::StartLimit(Version& version, double extra_credit) {
  version.seen = 0;
  version.sent = 0;
  version.credit =
      std::uniform_real_distribution<double>(0, 1)(m_rng) + extra_credit;
}

bool ExposureControl::Apply(const RolloutDirectiveMessage& directive,
                            TimePoint now) {
  Service& service = m_services[directive.service];
  std::optional<Rollout>& rollout = service.rollout;
  const bool is_new =
      !rollout || directive.rollout > rollout->directive.rollout;
  if (!is_new && directive.rollout < rollout->directive.rollout) {
    return false;
  }
  const std::optional<RolloutPhase> before = PhaseOf(service, now);
  if (is_new) {
    rollout = Rollout{.directive = directive};
    const auto target = service.versions.find(directive.target_version);
    if (target != service.versions.end()) {
      StartLimit(target->second, m_options.start_part * m_options.slack /
                                     static_cast<double>(m_nodes));
    }
  }
  rollout->heard_at = now;
  const RolloutPhase current = rollout->directive.phase;
  if (StepOf(directive.phase) >= StepOf(current)) {
    rollout->directive = directive;
  }
  if (directive.phase == RolloutPhase::kCompleted &&
      (is_new || current != RolloutPhase::kCompleted)) {
    for (const auto& [name, version] : service.versions) {
      if (name != directive.target_version) {
        rollout->replaced.insert(name);
      }
    }
  }
  return is_new || before != PhaseOf(service, now);
}

void ExposureControl::Stop(const ServiceName& name) {
  const auto service = m_services.find(name);
  if (service != m_services.end() && service->second.rollout) {
    service->second.rollout->stopped = true;
  }
}

std::optional<RolloutPhase> ExposureControl::PhaseOf(const Service& service,
                                                     TimePoint now) const {
  if (!service.rollout) {
    return std::nullopt;
  }
  const Rollout& rollout = *service.rollout;
  const RolloutPhase phase = rollout.directive.phase;
  if (IsFinal(phase)) {
    return phase;
  }
  if (rollout.stopped) {
    return RolloutPhase::kHeld;
  }
  const bool has_target =
      service.versions.contains(rollout.directive.target_version);
  if (phase == RolloutPhase::kPromoted) {
    // A node that has announced this phase does not leave it on its own, since
    // the other servers may have stopped.
    return has_target ? phase : RolloutPhase::kHeld;
  }
  return now - rollout.heard_at > m_options.max_silence ? RolloutPhase::kHeld
                                                        : phase;
}

std::optional<RolloutPhase> ExposureControl::PhaseOf(const ServiceName& name,
                                                     TimePoint now) const {
  const auto service = m_services.find(name);
  return service == m_services.end() ? std::nullopt
                                     : PhaseOf(service->second, now);
}

const RolloutDirectiveMessage* ExposureControl::RolloutOf(
    const ServiceName& name) const {
  const auto service = m_services.find(name);
  return service != m_services.end() && service->second.rollout
             ? &service->second.rollout->directive
             : nullptr;
}

/// Whether requests for the version are counted and limited, or excluded.
bool ExposureControl::IsLimited(const Service& service,
                                const std::string& version,
                                TimePoint now) const {
  if (service.rollout) {
    const bool is_target = version == service.rollout->directive.target_version;
    const RolloutPhase phase = *PhaseOf(service, now);
    const bool is_promoted =
        phase == RolloutPhase::kPromoted || phase == RolloutPhase::kCompleted;
    if (is_target) {
      return !is_promoted;
    }
    if (phase == RolloutPhase::kPromoted ||
        service.rollout->replaced.contains(version)) {
      return true;
    }
  }
  const Version& known = service.versions.at(version);
  return !known.established &&
         now - known.appeared_at < m_options.unknown_limit;
}

/// Whether the next request may be sent to a limited version.
bool ExposureControl::MaySendTo(const Service& service,
                                const std::string& name,
                                TimePoint now) const {
  const Version& version = service.versions.at(name);
  const std::optional<RolloutPhase> phase = PhaseOf(service, now);
  const bool is_target =
      phase && name == service.rollout->directive.target_version;
  if (is_target && *phase != RolloutPhase::kCanary) {
    return false;
  }
  if (phase && !is_target &&
      (*phase == RolloutPhase::kPromoted ||
       service.rollout->replaced.contains(name))) {
    return false;
  }
  const double share = m_options.share * m_options.canary_part;
  return version.credit + share * static_cast<double>(version.seen) >=
         static_cast<double>(version.sent) + 1;
}

/// The servers that get the requests of a limited version: few enough for each
/// to see much of the load of an ordinary server, but more than one, which
/// might run on a slow VM; the same ones at all nodes.
std::set<BackendServerId> ExposureControl::CanaryServers(
    const Service& service,
    const std::string& name) const {
  constexpr double kMinServers = 3;
  std::size_t others = 0;
  for (const auto& [other, version] : service.versions) {
    others += other == name ? 0 : version.endpoints;
  }
  const double share = m_options.share * m_options.canary_part;
  const auto count = static_cast<std::size_t>(
      std::max(kMinServers, std::ceil(share * static_cast<double>(others))));
  const std::set<BackendServerId>& servers = service.versions.at(name).servers;
  std::vector<BackendServerId> order(servers.begin(), servers.end());
  std::ranges::sort(order, {}, [](const BackendServerId& id) {
    return std::pair(Hash64(id.str()), id);
  });
  order.resize(std::min(order.size(), count));
  return {order.begin(), order.end()};
}

VersionChoice ExposureControl::WithoutLimited(const Service& service,
                                              TimePoint now) const {
  VersionChoice choice;
  for (const auto& [name, version] : service.versions) {
    if (IsLimited(service, name, now)) {
      choice.excluded.insert(name);
    }
  }
  return choice;
}

VersionChoice ExposureControl::WithoutLimited(const ServiceName& name,
                                              TimePoint now) const {
  const auto service = m_services.find(name);
  return service == m_services.end() ? VersionChoice{}
                                     : WithoutLimited(service->second, now);
}

VersionChoice ExposureControl::Next(const ServiceName& name, TimePoint now) {
  const auto found = m_services.find(name);
  if (!is_enabled() || found == m_services.end()) {
    return {};
  }
  Service& service = found->second;
  VersionChoice choice = WithoutLimited(service, now);
  for (const std::string& limited : choice.excluded) {
    ++service.versions.at(limited).seen;
  }
  for (const std::string& limited : choice.excluded) {
    if (MaySendTo(service, limited, now)) {
      ++service.versions.at(limited).sent;
      return {.only = limited, .servers = CanaryServers(service, limited)};
    }
  }
  return choice;
}

bool ExposureControl::IsWarmingUp(const ServiceName& name,
                                  const std::string& version,
                                  TimePoint now) const {
  const auto service = m_services.find(name);
  if (service == m_services.end()) {
    return false;
  }
  const auto found = service->second.versions.find(version);
  return found != service->second.versions.end() &&
         now - found->second.appeared_at < kWarmUp;
}

}  // namespace banyantrail
