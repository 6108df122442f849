#pragma once

#include <cstddef>
#include <set>

#include "banyantrail/core/clock.h"
#include "banyantrail/core/ids.h"

namespace banyantrail {

/// Whether a node that started empty may serve callers.
enum class ServingState {
  /// Still learning which revision is the greatest; must not serve yet.
  kLearning,
  kReady,
  /// The bound has passed. The node serves the best it has and reports that it
  /// may be below the greatest revision.
  kDegraded,
};

/// Keeps a restarted node from serving below what it had served, and below the
/// greatest revision that it can learn of within a bound. Pure.
class StartupGate {
 public:
  struct Options {
    /// How long the node learns at most before it serves the best it has.
    Duration bound = seconds(3);
    /// Peers to hear from; fewer if fewer are known.
    std::size_t min_answers = 3;
  };

  StartupGate(Options options, TimePoint start)
      : m_options(options), m_deadline(start + options.bound) {}

  /// The node's own earlier record, as peers remember it, named `revision`.
  void OnFloor(Revision revision);

  /// A peer holds `revision`.
  void OnPeerRevision(const NodeId& peer, Revision revision);

  /// The platform was read and its newest revision is `revision`.
  void OnPlatformHead(Revision revision);

  /// How many peers the node knows.
  void OnPeerCount(std::size_t count) { m_peer_count = count; }

  /// The greatest revision heard of.
  Revision floor() const { return m_floor; }

  /// Ready is final: a node that falls behind later goes on serving.
  ServingState Update(Revision applied, TimePoint now);

 private:
  bool HeardEnough() const;

  Options m_options;
  TimePoint m_deadline;
  Revision m_floor = 0;
  bool m_platform_read = false;
  std::size_t m_peer_count = 0;
  std::set<NodeId> m_answered;
  ServingState m_state = ServingState::kLearning;
};

}  // namespace banyantrail
