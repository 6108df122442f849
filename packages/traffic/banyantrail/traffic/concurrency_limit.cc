#include "banyantrail/traffic/concurrency_limit.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace banyantrail {

namespace {

constexpr milliseconds kWindowLength{100};
constexpr std::size_t kMinWindowSamples = 10;
/// Standard errors by which a growth of latency must stand out.
constexpr double kSignificance = 4;
/// A single window cuts the limit to no less than this.
constexpr double kStrongestDecrease = 0.5;
constexpr double kWeakestDecrease = 0.95;
constexpr double kShedDecrease = 0.9;
constexpr double kSlowStartGrowth = 2;
constexpr double kVarianceWeight = 0.02;
/// Variance of log latency that even the steadiest rank is taken to have.
constexpr double kLeastVariance = 0.01;
constexpr double kShortestSeconds = 1e-6;
constexpr seconds kFirstCeilingHold{1};
constexpr seconds kLongestCeilingHold{60};

std::int64_t BucketNumber(TimePoint now) {
  return now.time_since_epoch() / detail::LatencyHistory::kBucketWidth;
}

}  // namespace

namespace detail {

void LatencyHistory::Add(double log_latency) {
  ++count;
  sum += log_latency;
  if (!has_mean) {
    has_mean = true;
    mean = log_latency;
    return;
  }
  const double difference = log_latency - mean;
  mean += kVarianceWeight * difference;
  variance = (1 - kVarianceWeight) *
             (variance + kVarianceWeight * difference * difference);
}

double LatencyHistory::WindowMean() const {
  return sum / static_cast<double>(count);
}

void LatencyHistory::CloseWindow(TimePoint now) {
  if (count == 0) {
    return;
  }
  const std::int64_t number = BucketNumber(now);
  Bucket& bucket = buckets.at(static_cast<std::size_t>(number) % kBuckets);
  if (bucket.number != number) {
    bucket = {.number = number, .least = WindowMean()};
  }
  bucket.least = std::min(bucket.least, WindowMean());
  count = 0;
  sum = 0;
}

bool LatencyHistory::HasBaseline(TimePoint now) const {
  const std::int64_t oldest =
      BucketNumber(now) - static_cast<std::int64_t>(kBuckets);
  return std::any_of(
      buckets.begin(), buckets.end(),
      [oldest](const Bucket& bucket) { return bucket.number > oldest; });
}

double LatencyHistory::Baseline(TimePoint now) const {
  const std::int64_t oldest =
      BucketNumber(now) - static_cast<std::int64_t>(kBuckets);
  double least = std::numeric_limits<double>::infinity();
  for (const Bucket& bucket : buckets) {
    if (bucket.number > oldest) {
      least = std::min(least, bucket.least);
    }
  }
  return least;
}

}  // namespace detail

ConcurrencyLimit::ConcurrencyLimit(ConcurrencyLimitOptions options,
                                   std::uint32_t announced_slots)
    : m_options(options) {
  Restart(announced_slots);
}

void ConcurrencyLimit::Restart(std::uint32_t announced_slots) {
  m_histories.clear();
  m_window_samples = 0;
  m_window_open = false;
  m_has_ceiling = false;
  m_last_decrease = TimePoint{};
  m_slots = std::max<double>(announced_slots, 1);
  m_in_slow_start = m_options.adaptive && m_options.slow_start;
  m_limit = m_slots;
  if (m_in_slow_start) {
    m_limit = std::min(std::ceil(m_slots * m_options.slow_start_fraction),
                       m_options.slow_start_bound);
  }
  m_limit = std::max(m_limit, m_options.floor);
}

void ConcurrencyLimit::SetAnnouncedSlots(std::uint32_t announced_slots) {
  const double slots = std::max<double>(announced_slots, 1);
  if (slots == m_slots) {
    return;
  }
  m_limit = std::max(m_limit * slots / m_slots, m_options.floor);
  m_slots = slots;
}

void ConcurrencyLimit::OnLatency(std::uint8_t rank_priority,
                                 Duration latency,
                                 std::size_t in_flight,
                                 TimePoint now) {
  if (!m_options.adaptive) {
    return;
  }
  // Requests admitted before the last decrease tell of the old limit.
  if (now - latency < m_last_decrease) {
    return;
  }
  if (!m_window_open) {
    m_window_open = true;
    m_window_start = now;
  }
  const double latency_seconds = std::max(
      std::chrono::duration<double>(latency).count(), kShortestSeconds);
  m_histories[rank_priority].Add(std::log(latency_seconds));
  ++m_window_samples;
  m_saturated |= static_cast<double>(in_flight) >= std::floor(m_limit);
  if (WindowIsFull(now)) {
    CloseWindow(now);
  }
}

void ConcurrencyLimit::OnShed(std::size_t in_flight, TimePoint now) {
  if (!m_options.adaptive) {
    return;
  }
  const double proven =
      std::max(static_cast<double>(in_flight) - 1, m_options.floor);
  const bool confirmed = m_has_ceiling && proven >= m_proven_ceiling;
  if (confirmed) {
    m_ceiling_hold =
        std::min<Duration>(2 * m_ceiling_hold, kLongestCeilingHold);
  } else {
    m_ceiling_hold = kFirstCeilingHold;
    m_proven_ceiling = proven;
  }
  m_has_ceiling = true;
  m_ceiling = m_proven_ceiling;
  m_ceiling_until = now + m_ceiling_hold;
  m_limit = std::min(m_limit, m_ceiling);
  m_in_slow_start = false;
  if (!confirmed && now - m_last_decrease >= kWindowLength) {
    Decrease(kShedDecrease, now);
  }
}

bool ConcurrencyLimit::WindowIsFull(TimePoint now) const {
  return m_window_samples >= kMinWindowSamples &&
         now - m_window_start >= kWindowLength;
}

void ConcurrencyLimit::CloseWindow(TimePoint now) {
  const Overload overload = MeasureOverload(now);
  const double tolerance = std::log(m_options.latency_tolerance);
  const double certain = overload.excess - kSignificance * overload.error;
  const bool saturated = m_saturated;
  for (auto& [priority, history] : m_histories) {
    history.CloseWindow(now);
  }
  m_window_samples = 0;
  m_window_open = false;
  m_saturated = false;
  RaiseCeiling(now);
  if (certain > tolerance) {
    m_in_slow_start = false;
    Decrease(std::exp(tolerance - overload.excess), now);
  } else if (saturated && certain <= tolerance / 2) {
    Increase();
  }
}

ConcurrencyLimit::Overload ConcurrencyLimit::MeasureOverload(
    TimePoint now) const {
  double weights = 0;
  double weighted_excess = 0;
  for (const auto& [priority, history] : m_histories) {
    if (history.count == 0 || !history.HasBaseline(now)) {
      continue;
    }
    // Ranks with steady latency say more than uploads of any size.
    const double weight = static_cast<double>(history.count) /
                          std::max(history.variance, kLeastVariance);
    weights += weight;
    weighted_excess += weight * (history.WindowMean() - history.Baseline(now));
  }
  if (weights == 0) {
    return {};
  }
  return {.excess = weighted_excess / weights, .error = 1 / std::sqrt(weights)};
}

void ConcurrencyLimit::Increase() {
  double target = m_limit + 1;
  if (m_in_slow_start) {
    target = std::min(m_limit * kSlowStartGrowth, m_slots);
    m_in_slow_start = target < m_slots;
  }
  m_limit = std::max(m_limit, std::min(target, MaxLimit()));
}

void ConcurrencyLimit::Decrease(double factor, TimePoint now) {
  const double bounded =
      std::clamp(factor, kStrongestDecrease, kWeakestDecrease);
  m_limit = std::max(m_limit * bounded, m_options.floor);
  m_last_decrease = now;
}

void ConcurrencyLimit::RaiseCeiling(TimePoint now) {
  if (!m_has_ceiling || now < m_ceiling_until || m_limit < m_ceiling) {
    return;
  }
  m_proven_ceiling = m_ceiling;
  m_ceiling += 1;
  m_ceiling_until = now + m_ceiling_hold;
}

double ConcurrencyLimit::MaxLimit() const {
  const double bound = m_slots * m_options.max_slots_factor;
  return m_has_ceiling ? std::min(bound, m_ceiling) : bound;
}

}  // namespace banyantrail
