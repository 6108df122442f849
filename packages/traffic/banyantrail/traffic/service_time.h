#pragma once

#include <optional>

#include "banyantrail/core/clock.h"

namespace banyantrail {

/// How long an estimate is used after its last sample. Past it the estimate
/// says nothing, so that a slow episode cannot keep a rank out for good.
inline constexpr seconds kServiceTimeMaxAge{10};

/// Running estimate of how long requests of one rank hold a slot. Kept on a
/// logarithmic scale as well, because uploads differ by orders of magnitude.
class ServiceTimeEstimate {
 public:
  void Record(Duration service_time, TimePoint now);

  /// Mean of recent samples; empty without a recent sample.
  std::optional<Duration> Mean(TimePoint now) const;

  /// A service time that most requests of the rank stay within: one standard
  /// deviation above the mean on the logarithmic scale.
  std::optional<Duration> Likely(TimePoint now) const;

 private:
  bool IsFresh(TimePoint now) const;

  bool m_has_sample = false;
  TimePoint m_last_sample;
  double m_mean_seconds = 0;
  double m_log_mean = 0;
  double m_log_variance = 0;
};

}  // namespace banyantrail
