#pragma once

#include <algorithm>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>

#include "banyantrail/core/clock.h"

namespace banyantrail {

/// Bounds how many log lines of each kind are written. What is left out is
/// counted and told with the next line of the kind.
class LineBudget {
 public:
  struct Options {
    double lines_per_second = 10;
    /// Lines that a quiet kind may write at once.
    double burst = 40;
  };

  explicit LineBudget(Options options) : m_options(options) {}

  /// Whether a line of the kind may be written now; if so, how many were left
  /// out before it.
  std::optional<std::uint64_t> Take(const std::string& kind, TimePoint now) {
    auto [entry, is_new] = m_kinds.try_emplace(kind);
    Kind& state = entry->second;
    if (is_new) {
      state.lines = m_options.burst;
    } else {
      const std::chrono::duration<double> elapsed = now - state.since;
      state.lines =
          std::min(state.lines + m_options.lines_per_second * elapsed.count(),
                   m_options.burst);
    }
    state.since = now;
    if (state.lines < 1) {
      ++state.left_out;
      return std::nullopt;
    }
    state.lines -= 1;
    return std::exchange(state.left_out, 0);
  }

 private:
  struct Kind {
    double lines = 0;
    TimePoint since;
    std::uint64_t left_out = 0;
  };

  Options m_options;
  std::map<std::string, Kind> m_kinds;
};

}  // namespace banyantrail
