#include "banyantrail/traffic/routing_snapshot.h"

#include <algorithm>
#include <cctype>
#include <utility>

#include "banyantrail/config/selector_match.h"

namespace banyantrail {
namespace {

bool TakesRequests(const MemberRecord& member) {
  const bool is_live = member.state == MemberState::kAlive ||
                       member.state == MemberState::kSuspect;
  return is_live && !member.draining;
}

bool MatchesWholeSegments(std::string_view path, std::string_view prefix) {
  if (!path.starts_with(prefix)) {
    return false;
  }
  return prefix.ends_with('/') || path.size() == prefix.size() ||
         path[prefix.size()] == '/';
}

bool TakesMethod(const Route& route, std::string_view method) {
  return route.methods.empty() ||
         std::ranges::find(route.methods, method) != route.methods.end();
}

/// The host field's value without its port, in lower case.
std::string HostName(std::string_view host) {
  std::string name(host.substr(0, host.find(':')));
  std::ranges::transform(name, name.begin(), [](unsigned char c) {
    return static_cast<char>(std::tolower(c));
  });
  return name;
}

template <typename Object, typename Name>
const Object* FindByName(const std::vector<Object>& objects, const Name& name) {
  const auto found = std::ranges::find(objects, name, &Object::name);
  return found == objects.end() ? nullptr : &*found;
}

}  // namespace

RoutingSnapshot::RoutingSnapshot(const CompiledConfig& config,
                                 const ProxyIdentity& proxy,
                                 const std::vector<MemberRecord>& members)
    : m_revision(config.revision) {
  for (const RankObject& rank : config.ranks) {
    m_ranks.push_back(
        {.priority = rank.priority, .share_percent = rank.share_percent});
  }
  AddServices(config);
  AddEndpoints(members);
  AddRoutes(config, proxy);
  if (!config.caller_limits.empty()) {
    m_caller_limits = config.caller_limits.front();
  }
}

void RoutingSnapshot::AddServices(const CompiledConfig& config) {
  for (const ServiceObject& service : config.services) {
    m_service_positions[service.name] = m_services.size();
    m_services.push_back({.name = service.name});
  }
}

void RoutingSnapshot::AddEndpoints(const std::vector<MemberRecord>& members) {
  for (const MemberRecord& member : members) {
    if (!TakesRequests(member)) {
      continue;
    }
    for (const BackendServerRecord& server : member.backend_servers) {
      const auto found = m_service_positions.find(server.service);
      if (found == m_service_positions.end() ||
          server.state != BackendServerState::kServing) {
        continue;
      }
      m_services[found->second].endpoints.push_back(
          {.id = server.id,
           .owner = member.node,
           .domain = member.domain,
           .region = member.region,
           .mesh_address = member.mesh_address,
           .slots = server.slots});
    }
  }
}

std::vector<RouteTarget> RoutingSnapshot::TargetsOf(
    const RoutingRuleObject& rule) const {
  std::vector<RouteTarget> targets;
  const auto add = [&](const ServiceName& service, std::uint32_t weight) {
    const auto found = m_service_positions.find(service);
    if (found != m_service_positions.end() && weight > 0) {
      targets.push_back({.service = found->second, .weight = weight});
    }
  };
  if (rule.split.empty()) {
    add(rule.service, 1);
  }
  for (const WeightedService& part : rule.split) {
    add(part.service, part.weight);
  }
  return targets;
}

void RoutingSnapshot::AddRoutes(const CompiledConfig& config,
                                const ProxyIdentity& proxy) {
  for (const RoutingRuleObject& rule : config.routing_rules) {
    const SelectorObject* selector =
        FindByName(config.selectors, rule.selector);
    const RankObject* rank = FindByName(config.ranks, rule.rank);
    std::vector<RouteTarget> targets = TargetsOf(rule);
    if (selector == nullptr || rank == nullptr || targets.empty() ||
        !Chooses(*selector, proxy.labels)) {
      continue;
    }
    m_routes.push_back({.rule = rule.name,
                        .path_prefix = rule.path_prefix,
                        .methods = rule.methods,
                        .host = rule.host,
                        .targets = std::move(targets),
                        .priority = rank->priority,
                        .idempotent = rule.idempotent,
                        .deadline = rule.deadline,
                        .target_latency = rule.target_latency,
                        .max_attempts = rule.max_attempts});
  }
  std::ranges::stable_sort(
      m_routes, std::ranges::greater{},
      [](const Route& route) { return route.path_prefix.size(); });
  for (std::size_t i = 0; i < m_routes.size(); ++i) {
    m_routes_of_host[m_routes[i].host].push_back(i);
  }
}

const Route* RoutingSnapshot::FindRouteOfHost(const std::string& host,
                                              const RouteQuery& query) const {
  const auto found = m_routes_of_host.find(host);
  if (found == m_routes_of_host.end()) {
    return nullptr;
  }
  for (const std::size_t position : found->second) {
    const Route& route = m_routes[position];
    if (TakesMethod(route, query.method) &&
        MatchesWholeSegments(query.path, route.path_prefix)) {
      return &route;
    }
  }
  return nullptr;
}

bool RoutingSnapshot::HasBackendServer(const Route& route) const {
  return std::ranges::any_of(route.targets, [this](const RouteTarget& target) {
    return !m_services[target.service].endpoints.empty();
  });
}

RouteLookup RoutingSnapshot::FindRoute(const RouteQuery& query) const {
  const Route* route = FindRouteOfHost(HostName(query.host), query);
  if (route == nullptr) {
    route = FindRouteOfHost("", query);
  }
  if (route == nullptr) {
    return {.failure = LookupFailure::kNoRoute};
  }
  return {.route = route,
          .failure = HasBackendServer(*route)
                         ? LookupFailure::kNone
                         : LookupFailure::kNoBackendServer};
}

}  // namespace banyantrail
