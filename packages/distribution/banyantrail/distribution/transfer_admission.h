#pragma once

#include <cstddef>
#include <map>

#include "banyantrail/core/clock.h"
#include "banyantrail/core/ids.h"

namespace banyantrail {

/// Limits the number of whole releases that a node sends concurrently, so that
/// many nodes starting without a release do not overload one peer. Performs no
/// I/O.
class TransferAdmission {
 public:
  struct Options {
    std::size_t max_transfers = 4;
    /// An unacknowledged transfer no longer counts after this time.
    Duration timeout = seconds(2);
    /// Disabled only in tests that show the effect of the limit.
    bool enabled = true;
  };

  explicit TransferAdmission(Options options) : m_options(options) {}

  /// Whether a transfer to `to` may start now. It then counts as active until
  /// Finish or the timeout. A repeated request of an admitted peer is admitted
  /// and restarts the timeout.
  bool Admit(const NodeId& to, TimePoint now) {
    std::erase_if(m_deadlines,
                  [now](const auto& entry) { return entry.second <= now; });
    const bool full = m_deadlines.size() >= m_options.max_transfers;
    if (m_options.enabled && full && m_deadlines.count(to) == 0) {
      return false;
    }
    m_deadlines[to] = now + m_options.timeout;
    return true;
  }

  /// The transfer to `to` was acknowledged, or the peer is unreachable.
  void Finish(const NodeId& to) { m_deadlines.erase(to); }

  std::size_t active() const { return m_deadlines.size(); }

 private:
  Options m_options;
  std::map<NodeId, TimePoint> m_deadlines;
};

}  // namespace banyantrail
