#include "banyantrail/traffic/full_deadlines.h"

#include <algorithm>

namespace banyantrail {

Duration FullDeadlines::Waited(const RuleName& rule,
                               Duration deadline,
                               TimePoint now) {
  constexpr Duration kPeriod = seconds(10);
  // Shorter differences are taken for the time spent on connecting.
  constexpr Duration kConnectTime = milliseconds(20);
  Entry& entry = m_entries[rule];
  if (now - entry.period_start >= kPeriod) {
    const bool is_next = now - entry.period_start < 2 * kPeriod;
    entry.greatest[1] = is_next ? entry.greatest[0] : Duration{};
    entry.greatest[0] = Duration{};
    entry.period_start = now;
  }
  entry.greatest[0] = std::max(entry.greatest[0], deadline);
  const Duration full = std::max(entry.greatest[0], entry.greatest[1]);
  const Duration waited = full - deadline;
  return waited > kConnectTime ? waited : Duration{};
}

}  // namespace banyantrail
