#pragma once

#include <algorithm>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>

#include "banyantrail/core/clock.h"

namespace banyantrail {

/// Token bucket per kind of log line. Suppressed lines are counted, and the
/// count is reported with the next line of the same kind.
class LineBudget {
 public:
  struct Options {
    double lines_per_second = 10;
    /// Capacity of each bucket: the number of lines that may be written at once
    /// after a period without any.
    double burst = 40;
  };

  explicit LineBudget(Options options) : m_options(options) {}

  /// Returns nullopt if the line must be suppressed, otherwise the number of
  /// lines of this kind suppressed since the last one written.
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
