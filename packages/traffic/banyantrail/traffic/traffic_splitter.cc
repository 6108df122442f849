#include "banyantrail/traffic/traffic_splitter.h"

#include <algorithm>
#include <set>

namespace banyantrail {

std::size_t TrafficSplitter::Next(const Route& route) {
  if (route.targets.size() == 1) {
    return route.targets.front().service;
  }
  State& state = m_states[route.rule];
  if (state.targets != route.targets) {
    state.targets = route.targets;
    state.credits.assign(route.targets.size(), 0);
  }
  std::int64_t sum = 0;
  for (std::size_t i = 0; i < state.targets.size(); ++i) {
    state.credits[i] += state.targets[i].weight;
    sum += state.targets[i].weight;
  }
  const auto next = std::ranges::max_element(state.credits);
  *next -= sum;
  return state.targets[next - state.credits.begin()].service;
}

void TrafficSplitter::Retain(const RoutingSnapshot& snapshot) {
  std::set<RuleName> known;
  for (const Route& route : snapshot.routes()) {
    if (route.targets.size() > 1) {
      known.insert(route.rule);
    }
  }
  std::erase_if(m_states, [&](const auto& entry) {
    return !known.contains(entry.first);
  });
}

}  // namespace banyantrail
