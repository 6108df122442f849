#pragma once

#include <optional>

#include "banyantrail/core/clock.h"
#include "banyantrail/core/random.h"
#include "banyantrail/traffic/load_table.h"

namespace banyantrail {

/// A refused request, as far as it affects when its caller should return.
struct RefusedCaller {
  /// Time until the caller's deadline.
  Duration time_left{};
  /// Load of the backend server whose owner node refused the request last.
  std::optional<ReportedLoad> load;
  /// How long requests of this kind take.
  std::optional<Duration> service_time;
};

/// Chooses the delay for "Retry-After". The load pattern: a burst of a few
/// seconds at about twice the capacity, whose refused callers return once. If
/// they all returned after a short fixed delay, they would meet the queue that
/// refused them.
///
/// The delay is at least the time that the reported queue takes to drain, and
/// spread evenly up to a third of the caller's time left, so that there is time
/// for the second attempt.
Duration ChooseRetryAfter(const RefusedCaller& caller, Rng& rng);

}  // namespace banyantrail
