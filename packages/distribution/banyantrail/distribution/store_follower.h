#pragma once

#include <optional>

#include "banyantrail/core/clock.h"
#include "banyantrail/core/ids.h"

namespace banyantrail {

/// Decides whether a node has to watch the store itself, or may rely on another
/// node of its failure domain that watches it.
///
/// The watching node confirms the store's revision to the others at least once
/// per watch. A node that holds a recently confirmed revision would learn
/// nothing more from the store. When confirmations stop for any reason, the
/// node watches the store itself, so a watcher that is dead, frozen or
/// partitioned delays a configuration by at most `max_age`.
///
/// Performs no I/O; time is a parameter.
class StoreFollower {
 public:
  struct Options {
    /// How long a confirmation is valid. Longer than one watch of the store,
    /// and short enough to still read a change within the propagation time
    /// limit after it has expired.
    Duration max_age = milliseconds(1300);
    /// How long a confirmed revision may take to arrive from peers before the
    /// node reads the store.
    Duration max_push_delay = milliseconds(400);
  };

  explicit StoreFollower(Options options) : m_options(options) {}

  /// The message of a watching node, and the revision that this node has
  /// applied when it arrives.
  struct Confirmation {
    /// The newest revision in the store.
    Revision revision = 0;
    /// Whether peers push the revision to this node.
    bool is_pushed = true;
    /// The revision that this node has applied.
    Revision applied = 0;
  };

  void OnConfirmation(const Confirmation& confirmation, TimePoint now);

  /// Whether the node, which has applied `applied`, has to watch the store
  /// itself.
  bool MustWatch(Revision applied, TimePoint now) const;

 private:
  Options m_options;
  std::optional<TimePoint> m_confirmed_at;
  /// A confirmed revision that the node is waiting for, and the start of the
  /// wait. Newer confirmations do not extend the wait until it is applied.
  Revision m_awaited_revision = 0;
  TimePoint m_awaited_since{};
  /// The newest revision that has to be read from the store.
  Revision m_store_only_revision = 0;
};

}  // namespace banyantrail
