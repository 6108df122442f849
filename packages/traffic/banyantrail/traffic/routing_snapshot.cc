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

/// The longest prefix of whole segments that is shorter than `prefix`, with or
/// without its closing slash; empty when there is none.
std::string_view ShorterPrefix(std::string_view prefix) {
  if (prefix.ends_with('/')) {
    return prefix.substr(0, prefix.size() - 1);
  }
  return prefix.substr(0, prefix.rfind('/') + 1);
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

namespace {

std::vector<RouteTarget> TargetsOf(const detail::RouteTable& table,
                                   const RoutingRuleObject& rule) {
  std::vector<RouteTarget> targets;
  const auto add = [&](const ServiceName& service, std::uint32_t weight) {
    const auto found = table.service_positions.find(service);
    if (found != table.service_positions.end() && weight > 0) {
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
                            .max_attempts = rule.max_attempts});
  }
  std::ranges::stable_sort(
      table.routes, std::ranges::greater{},
      [](const Route& route) { return route.path_prefix.size(); });
  for (std::size_t i = 0; i < table.routes.size(); ++i) {
    const Route& route = table.routes[i];
    table.positions[route.host][route.path_prefix].push_back(i);
  }
}

}  // namespace

detail::RouteTable::RouteTable(const CompiledConfig& config,
                               const ProxyIdentity& proxy)
    : revision(config.revision) {
  for (const RankObject& rank : config.ranks) {
    ranks.push_back(
        {.priority = rank.priority, .share_percent = rank.share_percent});
  }
  for (const ServiceObject& service : config.services) {
    service_positions[service.name] = services.size();
    services.push_back({.name = service.name});
  }
  AddRoutes(config, proxy, *this);
  if (!config.caller_limits.empty()) {
    caller_limits = config.caller_limits.front();
  }
}

RoutingSnapshot::RoutingSnapshot(const CompiledConfig& config,
                                 const ProxyIdentity& proxy,
                                 const std::vector<MemberRecord>& members)
    : m_table(std::make_shared<const detail::RouteTable>(config, proxy)) {
  AddEndpoints(members);
}

RoutingSnapshot::RoutingSnapshot(const RoutingSnapshot& previous,
                                 const std::vector<MemberRecord>& members)
    : m_table(previous.m_table) {
  AddEndpoints(members);
}

void RoutingSnapshot::AddEndpoints(const std::vector<MemberRecord>& members) {
  m_services = m_table->services;
  for (const MemberRecord& member : members) {
    if (!TakesRequests(member)) {
      continue;
    }
    for (const BackendServerRecord& server : member.backend_servers) {
      const auto found = m_table->service_positions.find(server.service);
      if (found == m_table->service_positions.end() ||
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

const Route* RoutingSnapshot::FindRouteOfPrefix(std::string_view host,
                                                std::string_view prefix,
                                                std::string_view method) const {
  const auto of_host = m_table->positions.find(host);
  if (of_host == m_table->positions.end()) {
    return nullptr;
  }
  const auto found = of_host->second.find(prefix);
  if (found == of_host->second.end()) {
    return nullptr;
  }
  const auto position = std::ranges::find_if(
      found->second, [this, method](std::size_t candidate) {
        return TakesMethod(m_table->routes[candidate], method);
      });
  return position == found->second.end() ? nullptr
                                         : &m_table->routes[*position];
}

const Route* RoutingSnapshot::FindRouteOfHost(std::string_view host,
                                              const RouteQuery& query) const {
  std::string_view prefix = query.path;
  while (!prefix.empty()) {
    const Route* route = FindRouteOfPrefix(host, prefix, query.method);
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
