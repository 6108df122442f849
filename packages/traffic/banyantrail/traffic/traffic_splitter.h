#pragma once

#include <cstdint>
#include <map>
#include <vector>

#include "banyantrail/core/ids.h"
#include "banyantrail/traffic/routing_snapshot.h"

namespace banyantrail {

/// Divides the requests of a route among its services in proportion to their
/// weights. Smooth weighted round robin: after any number of requests, the
/// count of each service is less than one request off its share, so that the
/// proportion holds over short times too. A service without room keeps its
/// share; its requests are not moved to another.
class TrafficSplitter {
 public:
  /// The service for the next request of the route, as a position in
  /// RoutingSnapshot::services. The route must have a target.
  std::size_t Next(const Route& route);

  /// Forgets routes that the snapshot no longer has.
  void Retain(const RoutingSnapshot& snapshot);

 private:
  struct State {
    std::vector<RouteTarget> targets;
    /// Credit of each target; the greatest is served next.
    std::vector<std::int64_t> credits;
  };

  std::map<RuleName, State> m_states;
};

}  // namespace banyantrail
