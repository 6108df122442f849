#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "banyantrail/config/release.h"
#include "banyantrail/core/clock.h"
#include "banyantrail/core/ids.h"
#include "banyantrail/core/ip_endpoint.h"
#include "banyantrail/core/labels.h"
#include "banyantrail/wire/member_record.h"

namespace banyantrail {

/// A backend server that accepts requests, and its owner node.
struct ServiceEndpoint {
  BackendServerId id;
  NodeId owner;
  DomainId domain;
  RegionId region;
  /// Mesh listener of the owner node.
  IpEndpoint mesh_address;
  std::uint32_t slots = 0;
  /// Version of the messages that the owner node understands, see kMeshVersion.
  std::uint32_t mesh_version = 0;
  /// Version of the service that the backend server runs; empty if unknown.
  std::string version;

  friend bool operator==(const ServiceEndpoint&,
                         const ServiceEndpoint&) = default;
};

/// Distance of an endpoint from a node: 0 within the node's failure domain, 1
/// in another one of its region, 2 in another region.
std::size_t ProximityOf(const ServiceEndpoint& endpoint,
                        const DomainId& domain,
                        const RegionId& region);

/// A service with the backend servers that accept new requests.
struct RoutedService {
  ServiceName name;
  /// Ordered by their distance from this proxy.
  std::vector<ServiceEndpoint> endpoints;

  friend bool operator==(const RoutedService&, const RoutedService&) = default;
};

/// A service that a route sends requests to.
struct RouteTarget {
  /// Index into RoutingSnapshot::services().
  std::size_t service = 0;
  std::uint32_t weight = 1;

  friend bool operator==(const RouteTarget&, const RouteTarget&) = default;
};

/// A routing rule that applies to this proxy, with resolved references.
struct Route {
  RuleName rule;
  std::string path_prefix;
  /// Empty to match every method.
  std::vector<std::string> methods;
  /// In lower case; empty to match every host.
  std::string host;
  /// Services that share the requests in proportion to their weights.
  std::vector<RouteTarget> targets;
  std::uint8_t priority = 0;
  bool idempotent = false;
  Duration deadline{};
  /// 0 if not declared.
  Duration target_latency{};
  /// 0 if not declared.
  std::uint32_t max_attempts = 0;
  bool allow_anonymous = false;
  bool disabled = false;

  friend bool operator==(const Route&, const Route&) = default;
};

/// A team as requests refer to it.
struct RoutedTeam {
  TeamName name;
  /// Takes precedence over the priority of the route. Empty if not declared.
  std::optional<std::uint8_t> priority;
  /// Limit over all nodes; 0 is no limit.
  double requests_per_s = 0;
  std::uint32_t burst = 0;
  bool disabled = false;

  friend bool operator==(const RoutedTeam&, const RoutedTeam&) = default;
};

/// The priority and the guaranteed share of a rank.
struct RoutedRank {
  std::uint8_t priority = 0;
  std::uint8_t share_percent = 0;

  friend bool operator==(const RoutedRank&, const RoutedRank&) = default;
};

/// Labels and location of a proxy, which its snapshot is compiled for.
struct ProxyIdentity {
  Labels labels;
  RegionId region;
  DomainId domain;

  friend bool operator==(const ProxyIdentity&, const ProxyIdentity&) = default;
};

/// Why no route was found.
enum class LookupFailure {
  kNone,
  /// No routing rule of this proxy matches.
  kNoRoute,
  /// A routing rule matches, but its services have no backend server.
  kNoBackendServer,
  /// The matching routing rule is disabled.
  kRouteDisabled,
};

struct RouteLookup {
  /// Null if no routing rule matches.
  const Route* route = nullptr;
  LookupFailure failure = LookupFailure::kNone;
};

/// The parts of a request that determine its route.
struct RouteQuery {
  std::string_view method;
  /// Without the query.
  std::string_view path;
  /// Value of the Host header, including any port.
  std::string_view host = {};
};

namespace detail {

/// Transparent hash for lookup by std::string_view.
struct StringHash {
  using is_transparent = void;
  std::size_t operator()(std::string_view text) const {
    return std::hash<std::string_view>{}(text);
  }
};

template <typename Value>
using StringMap =
    std::unordered_map<std::string, Value, StringHash, std::equal_to<>>;

/// The part of a snapshot that depends only on the configuration. Shared by
/// snapshots that differ only in their backend servers.
struct RouteTable {
  RouteTable(const CompiledConfig& config, const ProxyIdentity& proxy);

  Revision revision;
  DomainId domain;
  RegionId region;
  std::vector<RoutedRank> ranks;
  /// Without endpoints.
  std::vector<RoutedService> services;
  std::map<ServiceName, std::size_t> service_indexes;
  /// Longest prefix first.
  std::vector<Route> routes;
  /// Indexes into `routes` by host and path prefix, in ascending order.
  StringMap<StringMap<std::vector<std::size_t>>> route_indexes;
  std::optional<CallerLimitsObject> caller_limits;
  std::vector<RoutedTeam> teams;
  /// Indexes into `teams` by the SHA-256 of their keys.
  StringMap<std::size_t> team_indexes;
};

}  // namespace detail

/// Routing data for request handling, compiled from one revision of the
/// configuration and one view of the membership. Immutable: a request uses the
/// same snapshot from start to end, and routing rules, services and backend
/// servers are replaced together.
class RoutingSnapshot {
 public:
  /// Compiles the routing rules whose selectors match the proxy, and the
  /// serving backend servers of nodes that are alive or suspect and not
  /// draining.
  RoutingSnapshot(const CompiledConfig& config,
                  const ProxyIdentity& proxy,
                  const std::vector<MemberRecord>& members);

  /// Members that other objects share.
  using SharedMembers = std::vector<std::shared_ptr<const MemberRecord>>;

  RoutingSnapshot(const CompiledConfig& config,
                  const ProxyIdentity& proxy,
                  const SharedMembers& members);

  /// Combines the configuration of `previous` with the backend servers of
  /// `members`.
  RoutingSnapshot(const RoutingSnapshot& previous,
                  const SharedMembers& members);

  /// Finds the route that matches the method and has the longest matching
  /// prefix of whole path segments. Routes for the request's host take
  /// precedence over those for every host.
  RouteLookup FindRoute(const RouteQuery& query) const;

  Revision revision() const { return m_table->revision; }
  const std::vector<Route>& routes() const { return m_table->routes; }
  const std::vector<RoutedService>& services() const { return m_services; }
  const std::vector<RoutedRank>& ranks() const { return m_table->ranks; }
  /// Limits on the requests of callers; empty if not declared.
  const std::optional<CallerLimitsObject>& caller_limits() const {
    return m_table->caller_limits;
  }
  /// The declared teams. If there are any, requests need a team's key.
  const std::vector<RoutedTeam>& teams() const { return m_table->teams; }
  /// The team that has the key with this SHA-256 in lower-case hexadecimal;
  /// null if there is none.
  const RoutedTeam* FindTeam(std::string_view key_digest) const;

 private:
  void AddEndpoints(const SharedMembers& members);
  void AddEndpointsOf(const MemberRecord& member);
  void OrderEndpoints();
  const Route* FindRouteForHost(std::string_view host,
                                const RouteQuery& query) const;
  const Route* FindRouteForPrefix(std::string_view host,
                                  std::string_view prefix,
                                  std::string_view method) const;
  bool HasBackendServer(const Route& route) const;

  std::shared_ptr<const detail::RouteTable> m_table;
  std::vector<RoutedService> m_services;
};

}  // namespace banyantrail
