#pragma once

#include <cstdint>
#include <map>
#include <vector>

#include "banyantrail/core/ids.h"
#include "banyantrail/traffic/routing_snapshot.h"

namespace banyantrail {

/// Distributes the requests of a route among its services in proportion to
/// their weights, by smooth weighted round robin. After any number of requests,
/// the count of each service differs from its exact share by less than one, so
/// that the proportion also holds over short periods. Requests for a service
/// without free capacity are not moved to another service.
class TrafficSplitter {
 public:
  /// Returns the service for the next request of the route, as an index into
  /// RoutingSnapshot::services(). The route must have at least one target.
  std::size_t Next(const Route& route);

  /// Discards the state of routes that are not in the snapshot.
  void Retain(const RoutingSnapshot& snapshot);

 private:
  struct RouteState {
    std::vector<RouteTarget> targets;
    /// Current weight of each target; the target with the highest one is next.
    std::vector<std::int64_t> current_weights;
  };

  std::map<RuleName, RouteState> m_states;
};

}  // namespace banyantrail
