#include "banyantrail/distribution/push_tracker.h"

#include <utility>

namespace banyantrail {

void PushTracker::Add(const NodeId& child, PendingPush push) {
  const auto [entry, inserted] = m_pushes.try_emplace(child, push);
  if (inserted) {
    return;
  }
  PendingPush& pending = entry->second;
  if (pending.delta->to_revision == push.delta->to_revision) {
    push.subtree.insert(push.subtree.end(), pending.subtree.begin(),
                        pending.subtree.end());
  }
  pending = std::move(push);
}

void PushTracker::Acknowledge(const NodeId& child, Revision revision) {
  const auto found = m_pushes.find(child);
  if (found != m_pushes.end() && found->second.delta->to_revision <= revision) {
    m_pushes.erase(found);
  }
}

std::vector<PendingPush> PushTracker::TakeOverdue(TimePoint now) {
  std::vector<PendingPush> overdue;
  for (auto entry = m_pushes.begin(); entry != m_pushes.end();) {
    if (entry->second.deadline > now) {
      ++entry;
      continue;
    }
    overdue.push_back(std::move(entry->second));
    entry = m_pushes.erase(entry);
  }
  return overdue;
}

std::optional<PendingPush> PushTracker::Take(const NodeId& child) {
  const auto found = m_pushes.find(child);
  if (found == m_pushes.end()) {
    return std::nullopt;
  }
  PendingPush push = std::move(found->second);
  m_pushes.erase(found);
  return push;
}

}  // namespace banyantrail
