#pragma once

#include <array>
#include <map>

#include "banyantrail/core/clock.h"
#include "banyantrail/core/ids.h"

namespace banyantrail {

/// Learns how long callers of each route wait in all, from the deadlines that
/// they send. A caller that returns after a refusal sends what is left of its
/// time, so the difference is the time that it has already waited.
class FullDeadlines {
 public:
  /// Notes the deadline of a request and returns how long its caller has
  /// waited before it.
  Duration Waited(const RuleName& rule, Duration deadline, TimePoint now);

 private:
  /// Greatest deadlines of this period and of the one before.
  struct Entry {
    TimePoint period_start;
    std::array<Duration, 2> greatest{};
  };

  std::map<RuleName, Entry> m_entries;
};

}  // namespace banyantrail
