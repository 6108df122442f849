#pragma once

#include <map>
#include <memory>
#include <optional>
#include <vector>

#include "banyantrail/core/clock.h"
#include "banyantrail/core/ids.h"
#include "banyantrail/wire/peer_messages.h"

namespace banyantrail {

/// A delta on its way to a child of the dissemination tree.
struct PendingPush {
  /// Kept whole, so that it can go to the subtree as it is.
  std::shared_ptr<const ReleaseDeltaMessage> delta;
  /// What the child has to forward the delta to.
  std::vector<NodeId> subtree;
  TimePoint deadline;

  friend bool operator==(const PendingPush&, const PendingPush&) = default;
};

/// Remembers pushes until the child acknowledges them, so that the subtree of a
/// child that fails can be pushed to directly. Pure.
class PushTracker {
 public:
  /// Adds a push. A later revision takes the place of an earlier one to the
  /// same child; the same revision adds to its subtree.
  void Add(const NodeId& child, PendingPush push);

  /// The child has received `revision`.
  void Acknowledge(const NodeId& child, Revision revision);

  /// Removes and returns the pushes whose deadline has passed.
  std::vector<PendingPush> TakeOverdue(TimePoint now);

  /// Removes and returns the push to a child that cannot be reached.
  std::optional<PendingPush> Take(const NodeId& child);

  std::size_t size() const { return m_pushes.size(); }

 private:
  std::map<NodeId, PendingPush> m_pushes;
};

}  // namespace banyantrail
