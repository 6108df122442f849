#pragma once

#include <cstddef>
#include <set>

#include "banyantrail/core/clock.h"
#include "banyantrail/core/ids.h"

namespace banyantrail {

/// Whether a node that started without a release may serve callers.
enum class ServingState {
  /// The node is still learning the greatest revision and must not serve yet.
  kLearning,
  kReady,
  /// The time limit for learning has passed. The node serves the newest release
  /// it has and reports that it may be older than the greatest revision.
  kDegraded,
};

/// Keeps a restarted node from serving an older revision than it served before
/// the restart, or than the greatest one it can learn of within a time limit.
/// Performs no I/O.
class StartupGate {
 public:
  struct Options {
    /// Maximum time spent learning before the node serves the newest release it
    /// has.
    Duration max_wait = seconds(3);
    /// Number of peers that have to answer; all known peers if there are fewer.
    std::size_t min_peers = 3;
    /// How long a node that has read the platform waits for a first peer. The
    /// platform may show an older copy of what the peers have, and a node that
    /// has just started does not know whether it has any.
    Duration peer_wait = milliseconds(500);
  };

  StartupGate(Options options, TimePoint start)
      : m_options(options),
        m_peer_deadline(start + options.peer_wait),
        m_deadline(start + options.max_wait) {}

  /// According to its peers, this node had applied `revision` before it
  /// restarted.
  void OnPreviouslyApplied(Revision revision);

  /// `peer` holds `revision`.
  void OnPeerRevision(const NodeId& peer, Revision revision);

  /// The platform was read; its newest revision is `revision`.
  void OnPlatformHead(Revision revision);

  /// Sets the number of peers that the node knows.
  void OnPeerCount(std::size_t count) { m_peer_count = count; }

  /// The greatest revision that the node has learned of.
  Revision known_revision() const { return m_known_revision; }

  /// Returns the state at `now`. kReady is final: a node that falls behind
  /// later continues to serve.
  ServingState Update(Revision applied, TimePoint now);

 private:
  bool HasEnoughAnswers(TimePoint now) const;

  Options m_options;
  TimePoint m_peer_deadline;
  TimePoint m_deadline;
  Revision m_known_revision;
  bool m_platform_read = false;
  std::size_t m_peer_count = 0;
  std::set<NodeId> m_answered;
  ServingState m_state = ServingState::kLearning;
};

}  // namespace banyantrail
