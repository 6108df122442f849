#pragma once

#include <cstddef>
#include <map>

#include "banyantrail/core/clock.h"
#include "banyantrail/core/ids.h"

namespace banyantrail {

/// Bounds the whole releases that a node sends at the same time, so that a herd
/// of empty nodes does not exhaust the first peer it asks. Pure.
class TransferAdmission {
 public:
  struct Options {
    std::size_t max_transfers = 4;
    /// After this time an unacknowledged transfer frees its place.
    Duration timeout = seconds(2);
    /// Off only to show in tests what the bound is for.
    bool enabled = true;
  };

  explicit TransferAdmission(Options options) : m_options(options) {}

  /// Whether a transfer to `to` may start now; it then holds a place until
  /// Finish or the timeout. A peer that asks again keeps its place.
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

  /// The transfer to `to` is acknowledged, or its connection is gone.
  void Finish(const NodeId& to) { m_deadlines.erase(to); }

  std::size_t active() const { return m_deadlines.size(); }

 private:
  Options m_options;
  std::map<NodeId, TimePoint> m_deadlines;
};

}  // namespace banyantrail
