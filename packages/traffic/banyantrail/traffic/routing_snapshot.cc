#include "banyantrail/traffic/routing_snapshot.h"

#include <algorithm>
#include <utility>

#include "banyantrail/config/host_name.h"
#include "banyantrail/config/selector_match.h"

namespace banyantrail {
namespace {

bool AcceptsRequests(const MemberRecord& member) {
  const bool is_reachable = member.state == MemberState::kAlive ||
                            member.state == MemberState::kSuspect;
  return is_reachable && !member.draining;
}

/// The longest proper prefix of `prefix` that consists of whole path segments,
/// with or without a trailing slash; empty if there is none.
std::string_view ShorterPrefix(std::string_view prefix) {
  if (prefix.ends_with('/')) {
    return prefix.substr(0, prefix.size() - 1);
  }
  return prefix.substr(0, prefix.rfind('/') + 1);
}

bool MatchesMethod(const Route& route, std::string_view method) {
  return route.methods.empty() ||
         std::ranges::find(route.methods, method) != route.methods.end();
}

template <typename Object, typename Name>
const Object* FindByName(const std::vector<Object>& objects, const Name& name) {
  const auto found = std::ranges::find(objects, name, &Object::name);
  return found == objects.end() ? nullptr : &*found;
}

}  // namespace

namespace {

std::vector<RouteTarget> TargetsOf(const detail::RouteTable& table,
                                   const RoutingRuleObject& rule) {
  std::vector<RouteTarget> targets;
  const auto add = [&](const ServiceName& service, std::uint32_t weight) {
    const auto found = table.service_indexes.find(service);
    if (found != table.service_indexes.end() && weight > 0) {
      targets.push_back({.service = found->second, .weight = weight});
    }
  };
  if (rule.split.empty()) {
    add(rule.service, 1);
  }
  for (const WeightedService& weighted : rule.split) {
    add(weighted.service, weighted.weight);
  }
  return targets;
}

void AddRoutes(const CompiledConfig& config,
               const ProxyIdentity& proxy,
               detail::RouteTable& table) {
  for (const RoutingRuleObject& rule : config.routing_rules) {
    const SelectorObject* selector =
        FindByName(config.selectors, rule.selector);
    const RankObject* rank = FindByName(config.ranks, rule.rank);
    std::vector<RouteTarget> targets = TargetsOf(table, rule);
    if (selector == nullptr || rank == nullptr || targets.empty() ||
        !SelectorMatches(*selector, proxy.labels)) {
      continue;
    }
    table.routes.push_back({.rule = rule.name,
                            .path_prefix = rule.path_prefix,
                            .methods = rule.methods,
                            .host = rule.host,
                            .targets = std::move(targets),
                            .priority = rank->priority,
                            .idempotent = rule.idempotent,
                            .deadline = rule.deadline,
                            .target_latency = rule.target_latency,
                            .max_attempts = rule.max_attempts,
                            .allow_anonymous = rule.allow_anonymous,
                            .disabled = rule.disabled});
  }
  std::ranges::stable_sort(
      table.routes, std::ranges::greater{},
      [](const Route& route) { return route.path_prefix.size(); });
  for (std::size_t i = 0; i < table.routes.size(); ++i) {
    const Route& route = table.routes[i];
    table.route_indexes[route.host][route.path_prefix].push_back(i);
  }
}

void AddTeams(const CompiledConfig& config, detail::RouteTable& table) {
  for (const TeamObject& team : config.teams) {
    RoutedTeam routed{.name = team.name,
                      .requests_per_s = team.requests_per_s,
                      .burst = team.burst,
                      .disabled = team.disabled};
    const RankObject* rank = FindByName(config.ranks, team.rank);
    if (rank != nullptr) {
      routed.priority = rank->priority;
    }
    for (const std::string& digest : team.key_digests) {
      table.team_indexes[digest] = table.teams.size();
    }
    table.teams.push_back(std::move(routed));
  }
}

}  // namespace

detail::RouteTable::RouteTable(const CompiledConfig& config,
                               const ProxyIdentity& proxy)
    : revision(config.revision), domain(proxy.domain), region(proxy.region) {
  for (const RankObject& rank : config.ranks) {
    ranks.push_back(
        {.priority = rank.priority, .share_percent = rank.share_percent});
  }
  for (const ServiceObject& service : config.services) {
    service_indexes[service.name] = services.size();
    services.push_back({.name = service.name});
  }
  AddRoutes(config, proxy, *this);
  AddTeams(config, *this);
  if (!config.caller_limits.empty()) {
    caller_limits = config.caller_limits.front();
  }
}

RoutingSnapshot::RoutingSnapshot(const CompiledConfig& config,
                                 const ProxyIdentity& proxy,
                                 const std::vector<MemberRecord>& members)
    : m_table(std::make_shared<const detail::RouteTable>(config, proxy)),
      m_services(m_table->services) {
  for (const MemberRecord& member : members) {
    AddEndpointsOf(member);
  }
  OrderEndpoints();
}

RoutingSnapshot::RoutingSnapshot(const CompiledConfig& config,
                                 const ProxyIdentity& proxy,
                                 const SharedMembers& members)
    : m_table(std::make_shared<const detail::RouteTable>(config, proxy)) {
  AddEndpoints(members);
}

RoutingSnapshot::RoutingSnapshot(const RoutingSnapshot& previous,
                                 const SharedMembers& members)
    : m_table(previous.m_table) {
  AddEndpoints(members);
}

void RoutingSnapshot::AddEndpoints(const SharedMembers& members) {
  m_services = m_table->services;
  for (const auto& member : members) {
    AddEndpointsOf(*member);
  }
  OrderEndpoints();
}

void RoutingSnapshot::AddEndpointsOf(const MemberRecord& member) {
  if (!AcceptsRequests(member)) {
    return;
  }
  for (const BackendServerRecord& server : member.backend_servers) {
    const auto found = m_table->service_indexes.find(server.service);
    if (found == m_table->service_indexes.end() ||
        server.state != BackendServerState::kServing) {
      continue;
    }
    m_services[found->second].endpoints.push_back(
        {.id = server.id,
         .owner = member.node,
         .domain = member.domain,
         .region = member.region,
         .mesh_address = member.mesh_address,
         .slots = server.slots,
         .mesh_version = member.mesh_version,
         .version = server.version});
  }
}

void RoutingSnapshot::OrderEndpoints() {
  for (RoutedService& service : m_services) {
    std::ranges::stable_sort(
        service.endpoints, {}, [this](const ServiceEndpoint& endpoint) {
          return ProximityOf(endpoint, m_table->domain, m_table->region);
        });
  }
}

std::size_t ProximityOf(const ServiceEndpoint& endpoint,
                        const DomainId& domain,
                        const RegionId& region) {
  if (endpoint.domain == domain) {
    return 0;
  }
  return endpoint.region == region ? 1 : 2;
}

const Route* RoutingSnapshot::FindRouteForPrefix(
    std::string_view host,
    std::string_view prefix,
    std::string_view method) const {
  const auto by_prefix = m_table->route_indexes.find(host);
  if (by_prefix == m_table->route_indexes.end()) {
    return nullptr;
  }
  const auto found = by_prefix->second.find(prefix);
  if (found == by_prefix->second.end()) {
    return nullptr;
  }
  const auto index = std::ranges::find_if(
      found->second, [this, method](std::size_t candidate) {
        return MatchesMethod(m_table->routes[candidate], method);
      });
  return index == found->second.end() ? nullptr : &m_table->routes[*index];
}

const Route* RoutingSnapshot::FindRouteForHost(std::string_view host,
                                               const RouteQuery& query) const {
  std::string_view prefix = query.path;
  while (!prefix.empty()) {
    const Route* route = FindRouteForPrefix(host, prefix, query.method);
    if (route != nullptr) {
      return route;
    }
    prefix = ShorterPrefix(prefix);
  }
  return nullptr;
}

bool RoutingSnapshot::HasBackendServer(const Route& route) const {
  return std::ranges::any_of(route.targets, [this](const RouteTarget& target) {
    return !m_services[target.service].endpoints.empty();
  });
}

const RoutedTeam* RoutingSnapshot::FindTeam(std::string_view key_digest) const {
  const auto found = m_table->team_indexes.find(key_digest);
  return found == m_table->team_indexes.end() ? nullptr
                                              : &m_table->teams[found->second];
}

RouteLookup RoutingSnapshot::FindRoute(const RouteQuery& query) const {
  const Route* route = FindRouteForHost(NormalizedHost(query.host), query);
  if (route == nullptr) {
    route = FindRouteForHost("", query);
  }
  if (route == nullptr) {
    return {.failure = LookupFailure::kNoRoute};
  }
  if (route->disabled) {
    return {.route = route, .failure = LookupFailure::kRouteDisabled};
  }
  return {.route = route,
          .failure = HasBackendServer(*route)
                         ? LookupFailure::kNone
                         : LookupFailure::kNoBackendServer};
}

}  // namespace banyantrail
