#include "banyantrail/traffic/traffic_splitter.h"

#include <algorithm>
#include <set>

namespace banyantrail {

std::size_t TrafficSplitter::Next(const Route& route) {
  if (route.targets.size() == 1) {
    return route.targets.front().service;
  }
  RouteState& state = m_states[route.rule];
  if (state.targets != route.targets) {
    state.targets = route.targets;
    state.current_weights.assign(route.targets.size(), 0);
  }
  std::int64_t sum = 0;
  for (std::size_t i = 0; i < state.targets.size(); ++i) {
    state.current_weights[i] += state.targets[i].weight;
    sum += state.targets[i].weight;
  }
  const auto next = std::ranges::max_element(state.current_weights);
  *next -= sum;
  return state.targets[next - state.current_weights.begin()].service;
}

void TrafficSplitter::Retain(const RoutingSnapshot& snapshot) {
  std::set<RuleName> retained;
  for (const Route& route : snapshot.routes()) {
    if (route.targets.size() > 1) {
      retained.insert(route.rule);
    }
  }
  std::erase_if(m_states, [&](const auto& entry) {
    return !retained.contains(entry.first);
  });
}

}  // namespace banyantrail
