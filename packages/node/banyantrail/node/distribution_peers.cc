#include "banyantrail/node/distribution_peers.h"

#include <algorithm>
#include <map>

#include "banyantrail/distribution/relay_lease.h"

namespace banyantrail {
namespace {

constexpr std::size_t kEntryPointsPerDomain = 3;

bool IsLive(const MemberRecord& record) {
  return record.state == MemberState::kAlive ||
         record.state == MemberState::kSuspect;
}

}  // namespace

DistributionPeers PeersOf(const MembershipView& view) {
  std::map<DomainId, std::vector<NodeId>> live;
  for (const MemberRecord& record : view.members) {
    if (IsLive(record)) {
      live[record.domain].push_back(record.node);
    }
  }
  DistributionPeers peers;
  peers.relays = RelayCandidates(view.own.domain, live[view.own.domain]);
  for (auto& [domain, nodes] : live) {
    if (domain == view.own.domain) {
      std::erase(nodes, view.own.node);
      peers.own_domain = std::move(nodes);
      continue;
    }
    // Relays are preferred because they are the most likely to be stable. Other
    // members are added in case all relays are down.
    std::vector<NodeId> entry_points = RelayCandidates(domain, nodes);
    for (const NodeId& node : nodes) {
      const bool is_new = std::find(entry_points.begin(), entry_points.end(),
                                    node) == entry_points.end();
      if (entry_points.size() < kEntryPointsPerDomain && is_new) {
        entry_points.push_back(node);
      }
    }
    peers.foreign_domains.push_back(
        {.domain = domain, .nodes = std::move(entry_points)});
  }
  return peers;
}

}  // namespace banyantrail
