#include "banyantrail/traffic/service_time.h"

#include <algorithm>
#include <cmath>

namespace banyantrail {

namespace {

/// Weight of a new sample in the moving averages.
constexpr double kSampleWeight = 0.1;
constexpr double kMinSeconds = 1e-6;

Duration FromSeconds(double value) {
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(value));
}

}  // namespace

void ServiceTimeEstimate::Record(Duration service_time, TimePoint now) {
  const double sample = std::max(
      std::chrono::duration<double>(service_time).count(), kMinSeconds);
  const double log_sample = std::log(sample);
  const bool restart = !IsFresh(now);
  m_last_sample = now;
  if (restart) {
    m_has_sample = true;
    m_mean_seconds = sample;
    m_log_mean = log_sample;
    m_log_variance = 0;
    return;
  }
  const double deviation = log_sample - m_log_mean;
  m_mean_seconds += kSampleWeight * (sample - m_mean_seconds);
  m_log_mean += kSampleWeight * deviation;
  m_log_variance = (1 - kSampleWeight) *
                   (m_log_variance + kSampleWeight * deviation * deviation);
}

std::optional<Duration> ServiceTimeEstimate::Mean(TimePoint now) const {
  if (!IsFresh(now)) {
    return std::nullopt;
  }
  return FromSeconds(m_mean_seconds);
}

std::optional<Duration> ServiceTimeEstimate::UpperEstimate(
    TimePoint now) const {
  if (!IsFresh(now)) {
    return std::nullopt;
  }
  return FromSeconds(std::exp(m_log_mean + std::sqrt(m_log_variance)));
}

bool ServiceTimeEstimate::IsFresh(TimePoint now) const {
  return m_has_sample && now - m_last_sample <= kServiceTimeMaxAge;
}

}  // namespace banyantrail
