#pragma once

#include <algorithm>
#include <cstddef>
#include <optional>

#include "banyantrail/core/clock.h"
#include "banyantrail/core/ids.h"

namespace banyantrail {

/// What a node has to do itself to learn of new configurations.
struct StoreDuty {
  enum class Kind {
    /// Another node watches the store.
    kRely,
    /// Read the configuration once: a revision that a watcher has confirmed did
    /// not arrive from peers.
    kCatchUp,
    /// Watch the store.
    kWatch,
  };

  Kind kind = Kind::kRely;
  /// The missing revision for kCatchUp, else 0.
  Revision revision;

  friend bool operator==(const StoreDuty&, const StoreDuty&) = default;
};

/// Decides whether a node has to watch the store itself, or may rely on another
/// node of its failure domain that watches it.
///
/// The watching node confirms the store's revision to the others at least once
/// per watch. A node that holds a recently confirmed revision would learn
/// nothing more from the store. When confirmations stop, the nodes take over
/// one by one in the order of their ranks, so that the loss of a watcher does
/// not cost a call of every node. A node that hears nothing at all from its
/// watchers, not even that the store fails, may be the only one with a path to
/// the store, and does not wait for more than one of them.
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
    Duration max_push_delay = milliseconds(700);
    /// How much longer a node waits for confirmations than the node before it
    /// in the order of precedence.
    Duration takeover_step = milliseconds(250);
  };

  /// `start` is when the node started; it waits for a first confirmation as if
  /// it had just received one.
  StoreFollower(Options options, TimePoint start)
      : m_options(options), m_confirmed_at(start) {}

  /// The message of a watching node, and the revision that this node has
  /// applied when it arrives.
  struct Confirmation {
    /// The newest revision in the store.
    Revision revision;
    /// Whether peers push the revision to this node.
    bool is_pushed = true;
    /// The revision that this node has applied.
    Revision applied;
  };

  /// Ignores a confirmation that says nothing to this node, see IsComparable.
  void OnConfirmation(const Confirmation& confirmation, TimePoint now);

  /// A watching node reported that the store does not respond to it.
  void OnStoreFailure(TimePoint now) { m_failure_reported_at = now; }

  /// A call of this node to the store failed, or succeeded.
  void OnOwnFailure(TimePoint now) {
    m_failing_since = m_failing_since.value_or(now);
  }
  void OnOwnSuccess() { m_failing_since.reset(); }

  /// The state of this node.
  struct NodeState {
    /// The revision that it has applied.
    Revision applied;
    /// Its position in the order of precedence of the domain's watchers; 0 for
    /// the node that watches while it can.
    std::size_t rank = 0;
  };

  StoreDuty Duty(const NodeState& node, TimePoint now) const;

  /// Whether another node has confirmed the store's revision recently.
  bool HasValidConfirmation(TimePoint now) const {
    return m_has_confirmation && now - m_confirmed_at <= m_options.max_age;
  }

  /// Whether another node watches the store for this one, or is the first to
  /// notice when a store that fails recovers. A confirmation from before this
  /// node's calls failed doesn't tell: its sender may have lost the store too.
  bool OtherNodeWatches(std::size_t rank, TimePoint now) const {
    constexpr std::size_t kNodesThatTry = 2;
    const bool is_since_failure =
        !m_failing_since || m_confirmed_at > *m_failing_since;
    return (HasValidConfirmation(now) && is_since_failure) ||
           (rank >= kNodesThatTry && HearsFailures(now));
  }

 private:
  Duration TakeoverDelay(std::size_t rank, TimePoint now) const;
  bool HearsFailures(TimePoint now) const {
    return m_failure_reported_at &&
           now - *m_failure_reported_at <= m_options.max_age;
  }

  Options m_options;
  bool m_has_confirmation = false;
  /// Time of the last confirmation, or the start of the node.
  TimePoint m_confirmed_at;
  std::optional<TimePoint> m_failure_reported_at;
  /// The first failed call of this node since one that succeeded.
  std::optional<TimePoint> m_failing_since;
  /// A confirmed revision that the node is waiting for, and the start of the
  /// wait. Newer confirmations do not extend the wait until it is applied.
  Revision m_awaited_revision;
  TimePoint m_awaited_since{};
  /// The newest revision that has to be read from the store.
  Revision m_store_only_revision;
};

}  // namespace banyantrail
