#include "banyantrail/traffic/routing_snapshot.h"

#include <algorithm>

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

void RoutingSnapshot::AddRoutes(const CompiledConfig& config,
                                const ProxyIdentity& proxy) {
  for (const RoutingRuleObject& rule : config.routing_rules) {
    const SelectorObject* selector =
        FindByName(config.selectors, rule.selector);
    const RankObject* rank = FindByName(config.ranks, rule.rank);
    const auto service = m_service_positions.find(rule.service);
    if (selector == nullptr || rank == nullptr ||
        service == m_service_positions.end() ||
        !Chooses(*selector, proxy.labels)) {
      continue;
    }
    m_routes.push_back({.rule = rule.name,
                        .path_prefix = rule.path_prefix,
                        .methods = rule.methods,
                        .service = service->second,
                        .priority = rank->priority,
                        .idempotent = rule.idempotent,
                        .deadline = rule.deadline});
  }
  std::ranges::stable_sort(
      m_routes, std::ranges::greater{},
      [](const Route& route) { return route.path_prefix.size(); });
}

RouteLookup RoutingSnapshot::FindRoute(std::string_view method,
                                       std::string_view path) const {
  for (const Route& route : m_routes) {
    if (!TakesMethod(route, method) ||
        !MatchesWholeSegments(path, route.path_prefix)) {
      continue;
    }
    const RoutedService& service = m_services[route.service];
    if (service.endpoints.empty()) {
      return {.failure = LookupFailure::kNoBackendServer};
    }
    return {.route = &route, .service = &service};
  }
  return {.failure = LookupFailure::kNoRoute};
}

}  // namespace banyantrail
