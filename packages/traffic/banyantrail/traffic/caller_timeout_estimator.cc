#include "banyantrail/traffic/caller_timeout_estimator.h"

#include <algorithm>

namespace banyantrail {

Duration CallerTimeoutEstimator::RecordDeadline(const RuleName& rule,
                                                Duration deadline,
                                                TimePoint now) {
  constexpr Duration kPeriodLength = seconds(10);
  // Shorter differences are taken for the time spent on connecting.
  constexpr Duration kMaxConnectTime = milliseconds(20);
  Entry& entry = m_entries[rule];
  if (now - entry.period_start >= kPeriodLength) {
    const bool is_adjacent = now - entry.period_start < 2 * kPeriodLength;
    entry.longest[1] = is_adjacent ? entry.longest[0] : Duration{};
    entry.longest[0] = Duration{};
    entry.period_start = now;
  }
  entry.longest[0] = std::max(entry.longest[0], deadline);
  const Duration timeout = std::max(entry.longest[0], entry.longest[1]);
  const Duration waited = timeout - deadline;
  return waited > kMaxConnectTime ? waited : Duration{};
}

}  // namespace banyantrail
