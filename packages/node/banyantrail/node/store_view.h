#pragma once

#include <cstdint>
#include <optional>

#include "banyantrail/core/revision.h"

namespace banyantrail {

/// What a node knows from its own reads of the configuration that the store
/// shows as its newest, for operators.
class StoreView {
 public:
  /// A read has returned `shown`, or a revision that does not exist if the
  /// store has no configuration, while the node had applied `applied`.
  void OnRead(const Revision& shown, const Revision& applied) {
    m_shown = shown;
    m_was_behind = shown < applied;
  }

  /// The node has ceased to read the store, which may show another
  /// configuration from now on.
  void Forget() {
    m_shown.reset();
    m_was_behind = false;
  }

  /// Unknown while another node watches the store for this one.
  const std::optional<Revision>& shown() const { return m_shown; }

  /// The era of the store; 0 if unknown.
  std::uint64_t era() const { return m_shown ? m_shown->era : 0; }

  /// Whether the store shows something older than `applied`, which is in force.
  /// A configuration that peers push may be applied before the own watch
  /// returns it, so a revision applied after the read counts only if the store
  /// is known to lack it.
  bool IsBehind(const Revision& applied) const {
    return m_was_behind || (m_shown && Lacks(*m_shown, applied));
  }

 private:
  std::optional<Revision> m_shown;
  /// Whether the last read showed an older revision than the one then applied.
  bool m_was_behind = false;
};

}  // namespace banyantrail
