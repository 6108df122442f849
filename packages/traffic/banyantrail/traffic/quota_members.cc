#include "banyantrail/traffic/quota_members.h"

#include <algorithm>
#include <set>

#include "banyantrail/core/digest.h"
#include "banyantrail/wire/request_metadata.h"

namespace banyantrail {
namespace {

bool IsReachable(const MemberRecord& member) {
  return member.state == MemberState::kAlive ||
         member.state == MemberState::kSuspect;
}

const NodeId& HolderAmong(const std::vector<NodeId>& nodes,
                          std::uint64_t seed) {
  return *std::ranges::max_element(nodes, {}, [seed](const NodeId& node) {
    return Hash64(node.str(), seed);
  });
}

}  // namespace

void QuotaMembers::Update(const SharedMembers& members,
                          bool is_isolated,
                          TimePoint now) {
  m_is_isolated = is_isolated;
  m_candidates.clear();
  std::size_t reachable = 0;
  for (const auto& member : members) {
    if (member->state == MemberState::kLeft) {
      m_known.erase(member->node);
      continue;
    }
    m_regions[member->domain] = member->region;
    m_known[member->node] = {.domain = member->domain, .last_seen = now};
    if (!IsReachable(*member)) {
      continue;
    }
    if (member->domain == m_options.domain) {
      ++reachable;
    }
    if (!member->draining && member->mesh_version >= kQuotaMeshVersion) {
      m_candidates[member->domain].push_back(member->node);
    }
  }
  std::erase_if(m_known, [&](const auto& entry) {
    return entry.second.last_seen + m_options.retention < now;
  });
  Count();
  m_fleet.reachable_domain_nodes = is_isolated ? 1 : reachable;
}

void QuotaMembers::Count() {
  std::set<DomainId> domains = {m_options.domain};
  m_fleet.nodes = std::max<std::size_t>(m_known.size(), 1);
  m_fleet.domain_nodes = 0;
  for (const auto& [node, known] : m_known) {
    domains.insert(known.domain);
    m_fleet.domain_nodes += known.domain == m_options.domain ? 1 : 0;
  }
  m_fleet.domains = domains.size();
}

std::vector<NodeId> QuotaMembers::HoldersOf(const TeamName& team) const {
  const std::uint64_t seed = Hash64(team.str());
  std::vector<NodeId> holders;
  if (m_is_isolated) {
    holders.push_back(m_options.self);
  }
  const auto own = m_candidates.find(m_options.domain);
  if (own != m_candidates.end()) {
    holders.push_back(HolderAmong(own->second, seed));
  }
  const auto own_region = m_regions.find(m_options.domain);
  std::vector<NodeId> near;
  std::vector<NodeId> far;
  for (const auto& [domain, nodes] : m_candidates) {
    if (domain == m_options.domain) {
      continue;
    }
    const bool is_near = own_region != m_regions.end() &&
                         m_regions.at(domain) == own_region->second;
    (is_near ? near : far).push_back(HolderAmong(nodes, seed));
  }
  // Nodes that all asked the same domain first would drain its bucket.
  const std::uint64_t turn = Hash64(m_options.self.str(), seed);
  for (std::vector<NodeId>* group : {&near, &far}) {
    if (!group->empty()) {
      const auto first = static_cast<std::ptrdiff_t>(turn % group->size());
      std::rotate(group->begin(), group->begin() + first, group->end());
      holders.insert(holders.end(), group->begin(), group->end());
    }
  }
  return holders;
}

}  // namespace banyantrail
