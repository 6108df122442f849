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

/// A backend server that requests can go to, and the node that owns it.
struct ServiceEndpoint {
  BackendServerId id;
  NodeId owner;
  DomainId domain;
  RegionId region;
  /// Mesh listener of the owner node.
  IpEndpoint mesh_address;
  std::uint32_t slots = 0;

  friend bool operator==(const ServiceEndpoint&,
                         const ServiceEndpoint&) = default;
};

/// A service with the backend servers that can take new requests.
struct RoutedService {
  ServiceName name;
  std::vector<ServiceEndpoint> endpoints;

  friend bool operator==(const RoutedService&, const RoutedService&) = default;
};

/// A service of a route.
struct RouteTarget {
  /// Position in RoutingSnapshot::services.
  std::size_t service = 0;
  std::uint32_t weight = 1;

  friend bool operator==(const RouteTarget&, const RouteTarget&) = default;
};

/// A routing rule that applies to this proxy, with its references resolved.
struct Route {
  RuleName rule;
  std::string path_prefix;
  /// Empty for every method.
  std::vector<std::string> methods;
  /// In lower case; empty for every host.
  std::string host;
  /// Services that take the requests, in proportion to their weights.
  std::vector<RouteTarget> targets;
  std::uint8_t priority = 0;
  bool idempotent = false;
  Duration deadline{};
  /// 0 when not declared.
  Duration target_latency{};
  /// 0 when not declared.
  std::uint32_t max_attempts = 0;

  friend bool operator==(const Route&, const Route&) = default;
};

/// The priority and the guaranteed share of a rank.
struct RoutedRank {
  std::uint8_t priority = 0;
  std::uint8_t share_percent = 0;

  friend bool operator==(const RoutedRank&, const RoutedRank&) = default;
};

/// What a proxy is and where it stands, for the compilation of its snapshot.
struct ProxyIdentity {
  Labels labels;
  RegionId region;
  DomainId domain;

  friend bool operator==(const ProxyIdentity&, const ProxyIdentity&) = default;
};

/// Why no route was found.
enum class LookupFailure {
  kNone,
  /// No rule of this proxy matches.
  kNoRoute,
  /// A rule matches, but no backend server of its services is there.
  kNoBackendServer,
};

struct RouteLookup {
  /// Null when no rule matches.
  const Route* route = nullptr;
  LookupFailure failure = LookupFailure::kNone;
};

/// The parts of a request that choose its route.
struct RouteQuery {
  std::string_view method;
  /// Ends before any query.
  std::string_view path;
  /// As sent, a port included.
  std::string_view host = {};
};

namespace detail {

/// Lets views of a text be looked up among texts.
struct TextHash {
  using is_transparent = void;
  std::size_t operator()(std::string_view text) const {
    return std::hash<std::string_view>{}(text);
  }
};

template <typename Value>
using TextMap =
    std::unordered_map<std::string, Value, TextHash, std::equal_to<>>;

/// The part of a snapshot that follows from the configuration alone. Shared by
/// snapshots that differ in their backend servers only.
struct RouteTable {
  RouteTable(const CompiledConfig& config, const ProxyIdentity& proxy);

  Revision revision;
  std::vector<RoutedRank> ranks;
  /// Without endpoints.
  std::vector<RoutedService> services;
  std::map<ServiceName, std::size_t> service_positions;
  /// Longest prefix first.
  std::vector<Route> routes;
  /// Positions in `routes` by host and path prefix, in the same order.
  TextMap<TextMap<std::vector<std::size_t>>> positions;
  std::optional<CallerLimitsObject> caller_limits;
};

}  // namespace detail

/// Everything that the request path needs, compiled from one revision and one
/// view of the membership. Immutable: a request keeps the snapshot that it
/// began with, and rules, services and backend servers change in one swap.
class RoutingSnapshot {
 public:
  /// Takes the rules whose selectors choose the proxy, and the backend servers
  /// that serve on nodes that are alive and do not drain.
  RoutingSnapshot(const CompiledConfig& config,
                  const ProxyIdentity& proxy,
                  const std::vector<MemberRecord>& members);

  /// The configuration of `previous` with other backend servers.
  RoutingSnapshot(const RoutingSnapshot& previous,
                  const std::vector<MemberRecord>& members);

  /// The rule with the longest prefix of whole path segments that takes the
  /// method; rules of the request's host go before those of every host.
  RouteLookup FindRoute(const RouteQuery& query) const;

  Revision revision() const { return m_table->revision; }
  const std::vector<Route>& routes() const { return m_table->routes; }
  const std::vector<RoutedService>& services() const { return m_services; }
  const std::vector<RoutedRank>& ranks() const { return m_table->ranks; }
  /// What callers may send; empty when not declared.
  const std::optional<CallerLimitsObject>& caller_limits() const {
    return m_table->caller_limits;
  }

 private:
  void AddEndpoints(const std::vector<MemberRecord>& members);
  const Route* FindRouteOfHost(std::string_view host,
                               const RouteQuery& query) const;
  const Route* FindRouteOfPrefix(std::string_view host,
                                 std::string_view prefix,
                                 std::string_view method) const;
  bool HasBackendServer(const Route& route) const;

  std::shared_ptr<const detail::RouteTable> m_table;
  std::vector<RoutedService> m_services;
};

}  // namespace banyantrail
