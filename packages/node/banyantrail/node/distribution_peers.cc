#include "banyantrail/node/distribution_peers.h"

#include <algorithm>
#include <map>

#include "banyantrail/distribution/relay_lease.h"

namespace banyantrail {
namespace {

constexpr std::size_t kContactsPerDomain = 3;

bool IsLive(const MemberRecord& record) {
  return record.state == MemberState::kAlive ||
         record.state == MemberState::kSuspect;
}

}  // namespace

DistributionPeers SelectDistributionPeers(const MembershipView& view) {
  std::map<DomainId, std::vector<NodeId>> live;
  for (const auto& record : view.members) {
    if (IsLive(*record)) {
      live[record->domain].push_back(record->node);
    }
  }
  DistributionPeers peers;
  peers.relays = RelayCandidates(view.self.domain, live[view.self.domain]);
  for (auto& [domain, nodes] : live) {
    if (domain == view.self.domain) {
      std::erase(nodes, view.self.node);
      peers.own_domain = std::move(nodes);
      continue;
    }
    // Relays are preferred because they are the most likely to be stable. Other
    // members are added in case all relays are down.
    std::vector<NodeId> contacts = RelayCandidates(domain, nodes);
    for (const NodeId& node : nodes) {
      const bool is_new =
          std::find(contacts.begin(), contacts.end(), node) == contacts.end();
      if (contacts.size() < kContactsPerDomain && is_new) {
        contacts.push_back(node);
      }
    }
    peers.foreign_domains.push_back(
        {.domain = domain, .nodes = std::move(contacts)});
  }
  return peers;
}

}  // namespace banyantrail
