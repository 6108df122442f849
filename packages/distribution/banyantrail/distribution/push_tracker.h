#pragma once

#include <map>
#include <memory>
#include <optional>
#include <vector>

#include "banyantrail/core/clock.h"
#include "banyantrail/core/ids.h"
#include "banyantrail/wire/peer_messages.h"

namespace banyantrail {

/// A delta sent to a child in the dissemination tree and not yet acknowledged.
struct PendingPush {
  /// Kept so that it can be sent to the subtree unchanged.
  std::shared_ptr<const ReleaseDeltaMessage> delta;
  /// The nodes that the child has to forward the delta to.
  std::vector<NodeId> subtree;
  TimePoint deadline;

  friend bool operator==(const PendingPush&, const PendingPush&) = default;
};

/// Keeps pushes until the child acknowledges them, so that the delta can be
/// pushed directly to the subtree of a child that fails. Performs no I/O.
class PushTracker {
 public:
  /// Adds a push. It replaces a pending push of another revision to the same
  /// child; the subtrees of two pushes of the same revision are merged.
  void Add(const NodeId& child, PendingPush push);

  /// `child` has received `revision`.
  void Acknowledge(const NodeId& child, Revision revision);

  /// Removes and returns the pushes whose deadline has passed.
  std::vector<PendingPush> TakeOverdue(TimePoint now);

  /// Removes and returns the push to a child that is unreachable.
  std::optional<PendingPush> Take(const NodeId& child);

  std::size_t size() const { return m_pushes.size(); }

 private:
  std::map<NodeId, PendingPush> m_pushes;
};

}  // namespace banyantrail
