#pragma once

#include <optional>

#include "banyantrail/core/clock.h"
#include "banyantrail/core/ids.h"

namespace banyantrail {

/// Decides whether a node has to watch the store itself, or may rest on the
/// node of its failure domain that does.
///
/// The watching node confirms at least once in each of its waits which revision
/// the store holds. A node that hears this recently, and that holds the
/// revision, would learn nothing more from the store. Once the confirmations
/// fail to come, for whatever reason, it watches on its own, so that a watcher
/// that is dead, frozen or cut off delays a configuration by `max_age` at most.
///
/// Pure: time comes in as a parameter.
class StoreFollower {
 public:
  struct Options {
    /// How long a confirmation counts. Longer than a watcher's wait, and short
    /// enough to read a change within the propagation bound after it.
    Duration max_age = milliseconds(1300);
    /// How long a confirmed revision may take to arrive from peers.
    Duration max_lag = milliseconds(400);
  };

  explicit StoreFollower(Options options) : m_options(options) {}

  /// What a watching node says, and what this node holds at that time.
  struct Confirmation {
    /// Of the store.
    Revision revision = 0;
    /// Off when the revision will not arrive from peers.
    bool comes_by_tree = true;
    /// What this node has applied.
    Revision applied = 0;
  };

  void OnConfirmation(const Confirmation& confirmation, TimePoint now);

  /// Whether the node, which holds `applied`, cannot rest on another one.
  bool MustWatch(Revision applied, TimePoint now) const;

 private:
  Options m_options;
  std::optional<TimePoint> m_confirmed_at;
  /// The oldest confirmed revision that the node lacked when last told, and
  /// since when. Newer ones that follow do not extend the wait for it.
  Revision m_missing = 0;
  TimePoint m_missing_since{};
  /// The newest revision that does not arrive from peers.
  Revision m_must_read = 0;
};

}  // namespace banyantrail
