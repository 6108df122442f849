#pragma once

#include <optional>

#include "banyantrail/core/clock.h"

namespace banyantrail {

/// How long an estimate is valid after its last sample. It expires so that a
/// period of slow responses cannot make a rank's requests be refused forever.
inline constexpr seconds kServiceTimeMaxAge{10};

/// Moving estimate of how long requests hold a slot. Also kept on a logarithmic
/// scale, because the service times of uploads differ by orders of magnitude.
class ServiceTimeEstimate {
 public:
  void Record(Duration service_time, TimePoint now);

  /// Mean of recent samples; empty without a recent sample.
  std::optional<Duration> Mean(TimePoint now) const;

  /// A service time that most requests do not exceed: one standard deviation
  /// above the mean on the logarithmic scale. Empty without a recent sample.
  std::optional<Duration> UpperEstimate(TimePoint now) const;

 private:
  bool IsFresh(TimePoint now) const;

  bool m_has_sample = false;
  TimePoint m_last_sample;
  double m_mean_seconds = 0;
  double m_log_mean = 0;
  double m_log_variance = 0;
};

}  // namespace banyantrail
