#include "banyantrail/traffic/rank_state.h"

#include <algorithm>

namespace banyantrail::detail {

double ToSeconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

Duration FromSeconds(double value) {
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(value));
}

double SecondsSinceEpoch(TimePoint time) {
  return ToSeconds(time.time_since_epoch());
}

std::optional<Duration> SlotHoldTime(const RankState& rank, TimePoint now) {
  std::optional<Duration> hold = rank.service_time.Mean(now);
  if (rank.in_flight > 0) {
    const double mean_start =
        rank.admitted_at_sum / static_cast<double>(rank.in_flight);
    const Duration age = FromSeconds(SecondsSinceEpoch(now) - mean_start);
    hold = std::max(hold.value_or(Duration{}), age);
  }
  return hold;
}

double ExpectedSlotSeconds(const RankState& rank, TimePoint now) {
  return ToSeconds(rank.service_time.Mean(now).value_or(kDefaultServiceTime));
}

}  // namespace banyantrail::detail
