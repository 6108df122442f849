#pragma once

#include <array>
#include <map>

#include "banyantrail/core/clock.h"
#include "banyantrail/core/ids.h"

namespace banyantrail {

/// Estimates the total time that callers of each routing rule are willing to
/// wait: the longest recent deadline. A caller that resends a refused request
/// sends only its remaining time as the deadline, so the difference is the time
/// that it has already waited.
class CallerTimeoutEstimator {
 public:
  /// Records the deadline of a request, relative to its arrival, and returns
  /// how long its caller has already waited.
  Duration RecordDeadline(const RuleName& rule,
                          Duration deadline,
                          TimePoint now);

 private:
  /// Longest deadlines of the current and the previous period.
  struct Entry {
    TimePoint period_start;
    std::array<Duration, 2> longest{};
  };

  std::map<RuleName, Entry> m_entries;
};

}  // namespace banyantrail
