#include "banyantrail/membership/update_disseminator.h"

#include <algorithm>
#include <utility>

#include "banyantrail/membership/dissemination_tree.h"
#include "banyantrail/membership/member_merge.h"

namespace banyantrail {
namespace {

bool IsDue(const std::optional<TimePoint>& last,
           Duration interval,
           TimePoint now) {
  return !last || now - *last >= interval;
}

std::vector<NodeId> ShuffledMembers(const std::set<NodeId>& members,
                                    const NodeId& self,
                                    Rng& rng) {
  std::vector<NodeId> shuffled(members.begin(), members.end());
  std::erase(shuffled, self);
  std::shuffle(shuffled.begin(), shuffled.end(), rng);
  return shuffled;
}

}  // namespace

UpdateDisseminator::UpdateDisseminator(Options options)
    : m_options(std::move(options)) {}

void UpdateDisseminator::Enqueue(const NodeId& node, DisseminationScope scope) {
  DisseminationScope& pending =
      m_pending.try_emplace(node, scope).first->second;
  pending = std::max(pending, scope);
  EnqueueGossip(node);
}

void UpdateDisseminator::EnqueueGossip(const NodeId& node) {
  if (m_options.gossip_rounds == 0) {
    return;
  }
  std::erase_if(m_gossip_queue, [&node](const GossipEntry& entry) {
    return entry.node == node;
  });
  m_gossip_queue.push_back(
      {.node = node, .rounds_left = m_options.gossip_rounds});
  if (m_gossip_queue.size() > m_options.max_gossip_entries) {
    m_gossip_queue.erase(m_gossip_queue.begin());
  }
}

std::vector<OutgoingMessage> UpdateDisseminator::Tick(
    const MembershipTable& table,
    TimePoint now,
    Rng& rng) {
  std::vector<OutgoingMessage> messages;
  if (IsDue(m_last_flush, m_options.batch_interval, now)) {
    messages = Flush(table, now, rng);
  }
  if (IsDue(m_last_gossip, m_options.gossip_interval, now)) {
    SendGossip(table, now, rng, messages);
  }
  return messages;
}

std::vector<OutgoingMessage> UpdateDisseminator::Flush(
    const MembershipTable& table,
    TimePoint now,
    Rng& rng) {
  std::vector<OutgoingMessage> messages;
  if (m_pending.empty()) {
    return messages;
  }
  m_last_flush = now;
  for (const DisseminationScope scope :
       {DisseminationScope::kOwnDomain, DisseminationScope::kFleet}) {
    std::vector<NodeId> nodes;
    for (const auto& [node, pending_scope] : m_pending) {
      if (pending_scope == scope) {
        nodes.push_back(node);
      }
    }
    SendDownTrees(RecordsOf(nodes, table), scope, table, rng, messages);
  }
  m_pending.clear();
  return messages;
}

std::vector<OutgoingMessage> UpdateDisseminator::Forward(
    const MembershipUpdateMessage& update) const {
  std::vector<OutgoingMessage> messages;
  SendToBranches(update.records, update.subtree, m_options.arity, messages);
  return messages;
}

std::vector<MemberRecord> UpdateDisseminator::RecordsOf(
    const std::vector<NodeId>& nodes,
    const MembershipTable& table) const {
  std::vector<MemberRecord> records;
  for (const NodeId& node : nodes) {
    const MemberRecord* record = table.Find(node);
    if (record != nullptr) {
      records.push_back(record->state == MemberState::kAlive
                            ? *record
                            : StateNoticeOf(*record));
    }
  }
  return records;
}

void UpdateDisseminator::SendDownTrees(
    const std::vector<MemberRecord>& records,
    DisseminationScope scope,
    const MembershipTable& table,
    Rng& rng,
    std::vector<OutgoingMessage>& messages) const {
  if (records.empty() || !m_options.uses_tree) {
    return;
  }
  const auto own = table.live_members().find(m_options.domain);
  if (own != table.live_members().end()) {
    SendToBranches(records, ShuffledMembers(own->second, m_options.self, rng),
                   m_options.arity, messages);
  }
  if (scope == DisseminationScope::kOwnDomain) {
    return;
  }
  for (const auto& [domain, members] : table.live_members()) {
    if (domain != m_options.domain) {
      SendToBranches(records, ShuffledMembers(members, m_options.self, rng),
                     m_options.entry_points_per_domain, messages);
    }
  }
}

void UpdateDisseminator::SendToBranches(
    const std::vector<MemberRecord>& records,
    const std::vector<NodeId>& members,
    std::size_t arity,
    std::vector<OutgoingMessage>& messages) const {
  const std::size_t step = m_options.max_records_per_message;
  for (TreeBranch& branch : SplitIntoBranches(members, arity)) {
    for (std::size_t begin = 0; begin < records.size(); begin += step) {
      const std::size_t end = std::min(begin + step, records.size());
      messages.push_back(
          {.to = branch.child,
           .message = MembershipUpdateMessage{
               .records = {records.begin() + static_cast<std::ptrdiff_t>(begin),
                           records.begin() + static_cast<std::ptrdiff_t>(end)},
               .subtree = branch.subtree}});
    }
  }
}

void UpdateDisseminator::SendGossip(const MembershipTable& table,
                                    TimePoint now,
                                    Rng& rng,
                                    std::vector<OutgoingMessage>& messages) {
  m_last_gossip = now;
  const auto domain = table.live_members().find(m_options.domain);
  if (m_gossip_queue.empty() || domain == table.live_members().end()) {
    return;
  }
  const std::vector<NodeId> members =
      ShuffledMembers(domain->second, m_options.self, rng);
  if (members.empty()) {
    m_gossip_queue.clear();
    return;
  }
  std::vector<NodeId> nodes;
  for (auto entry = m_gossip_queue.rbegin(); entry != m_gossip_queue.rend();
       ++entry) {
    if (nodes.size() == m_options.max_gossip_records) {
      break;
    }
    nodes.push_back(entry->node);
    --entry->rounds_left;
  }
  std::erase_if(m_gossip_queue, [](const GossipEntry& entry) {
    return entry.rounds_left == 0;
  });
  messages.push_back(
      {.to = members.front(),
       .message = MembershipUpdateMessage{.records = RecordsOf(nodes, table)}});
}

}  // namespace banyantrail
