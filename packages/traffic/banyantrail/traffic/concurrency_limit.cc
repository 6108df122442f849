#include "banyantrail/traffic/concurrency_limit.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace banyantrail {

namespace {

constexpr milliseconds kWindowLength{100};
constexpr std::size_t kMinWindowSamples = 10;
/// Number of standard errors by which the growth of latency must exceed the
/// tolerance.
constexpr double kSignificanceStdErrors = 4;
/// Bounds on the factor by which one window may lower the limit.
constexpr double kMinDecreaseFactor = 0.5;
constexpr double kMaxDecreaseFactor = 0.95;
constexpr double kShedDecreaseFactor = 0.9;
constexpr double kSlowStartGrowthFactor = 2;
/// Weight of a new sample in the moving mean and variance of a rank.
constexpr double kSampleWeight = 0.02;
constexpr seconds kEpochLength{1};
constexpr std::size_t kMinEpochSamples = 30;
/// After a longer time without samples, a rank starts a new window and epoch.
constexpr seconds kMaxSampleGap{5};
/// Lower bound on the variance of a rank's log latency, so that a rank with
/// nearly constant latency does not get an unlimited weight.
constexpr double kMinLogVariance = 0.01;
constexpr double kMinLatencySeconds = 1e-6;
/// Number of first responses that a slow start compares later ones with.
constexpr std::size_t kSlowStartBaselineSamples = 3;
/// Ratio of a latency to the first ones above which the response is late.
/// Single responses vary, so it exceeds the tolerance for the mean of a window.
constexpr double kLateResponseFactor = 2;
constexpr double kFailureDecreaseFactor = 0.5;
constexpr std::uint32_t kFailuresBeforeSlowStart = 3;
constexpr seconds kMinCeilingHold{1};
constexpr seconds kMaxCeilingHold{60};

}  // namespace

namespace detail {

void LatencyHistory::Add(Duration latency, TimePoint now) {
  const double value = std::log(std::max(
      std::chrono::duration<double>(latency).count(), kMinLatencySeconds));
  const bool restarted = !m_has_sample || now - m_last_sample > kMaxSampleGap;
  m_has_sample = true;
  m_last_sample = now;
  if (restarted) {
    m_mean = value;
    IgnoreInFlight(now);
    return;
  }
  if (now < m_ignore_until) {
    return;
  }
  const double deviation = value - m_mean;
  m_mean += kSampleWeight * deviation;
  m_variance = (1 - kSampleWeight) *
               (m_variance + kSampleWeight * deviation * deviation);
  if (m_epoch.count == 0) {
    m_epoch_start = now;
  }
  for (MeanAccumulator* accumulator : {&m_window, &m_epoch}) {
    ++accumulator->count;
    accumulator->sum += value;
  }
}

void LatencyHistory::IgnoreInFlight(TimePoint now) {
  m_window = {};
  m_epoch = {};
  const std::chrono::duration<double> latency(std::exp(m_mean));
  m_ignore_until = now + std::chrono::duration_cast<Duration>(2 * latency);
}

void LatencyHistory::CloseWindow(TimePoint now) {
  m_window = {};
  const bool first = !m_has_baseline && m_epoch.count >= kMinWindowSamples;
  const bool full =
      m_epoch.count >= kMinEpochSamples && now - m_epoch_start >= kEpochLength;
  if (first || full) {
    CloseEpoch(now);
  }
}

void LatencyHistory::CloseEpoch(TimePoint now) {
  const std::int64_t number = now.time_since_epoch() / kBucketWidth;
  Bucket& bucket = m_buckets.at(static_cast<std::size_t>(number) % kBuckets);
  if (bucket.number != number) {
    bucket = {.number = number, .min_mean = m_epoch.Mean()};
  }
  bucket.min_mean = std::min(bucket.min_mean, m_epoch.Mean());
  m_epoch = {};
  m_has_baseline = true;
}

bool LatencyHistory::IsComparable(TimePoint now) const {
  return m_window.count > 0 && std::isfinite(Baseline(now));
}

double LatencyHistory::Excess(TimePoint now) const {
  return m_window.Mean() - Baseline(now);
}

double LatencyHistory::Weight() const {
  return static_cast<double>(m_window.count) /
         std::max(m_variance, kMinLogVariance);
}

double LatencyHistory::Baseline(TimePoint now) const {
  const std::int64_t oldest = now.time_since_epoch() / kBucketWidth -
                              static_cast<std::int64_t>(kBuckets);
  double baseline = std::numeric_limits<double>::infinity();
  for (const Bucket& bucket : m_buckets) {
    if (bucket.number > oldest) {
      baseline = std::min(baseline, bucket.min_mean);
    }
  }
  return baseline;
}

bool SlowStartBaseline::IsInTime(std::uint8_t rank_priority, Duration latency) {
  const double value = std::log(std::max(
      std::chrono::duration<double>(latency).count(), kMinLatencySeconds));
  Rank& rank = m_ranks[rank_priority];
  if (rank.count < kSlowStartBaselineSamples) {
    ++rank.count;
    rank.log_sum += value;
    return true;
  }
  const double baseline = rank.log_sum / static_cast<double>(rank.count);
  return value <= baseline + std::log(kLateResponseFactor);
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
  m_consecutive_failures = 0;
  m_announced_slots = std::max<double>(announced_slots, 1);
  m_limit = m_announced_slots;
  BeginSlowStart();
}

bool ConcurrencyLimit::UsesSlowStart() const {
  return m_options.slow_start &&
         (m_options.adaptive || m_options.per_response_slow_start);
}

void ConcurrencyLimit::BeginSlowStart() {
  m_slow_start_baseline.Reset();
  m_in_slow_start = UsesSlowStart();
  if (m_in_slow_start) {
    const double start =
        std::min(std::ceil(m_announced_slots * m_options.slow_start_fraction),
                 m_options.max_slow_start_limit);
    m_limit = std::min(m_limit, start);
  }
  m_limit = std::max(m_limit, m_options.floor);
}

/// Each response in time makes room for one more request, so the limit doubles
/// in the time of one response; each late one takes it back.
void ConcurrencyLimit::AdvanceSlowStart(std::uint8_t rank_priority,
                                        Duration latency,
                                        std::size_t in_flight) {
  // The limit may have grown since the request was sent.
  constexpr std::size_t kGrowthPerResponseTime = 2;
  const bool is_used =
      static_cast<double>(kGrowthPerResponseTime * in_flight) >= m_limit;
  if (!m_slow_start_baseline.IsInTime(rank_priority, latency)) {
    m_limit = std::max(m_limit - 1, m_options.floor);
  } else if (is_used) {
    m_limit = std::max(m_limit,
                       std::min({m_limit + 1, m_announced_slots, MaxLimit()}));
    m_in_slow_start = m_limit < m_announced_slots;
  }
}

/// A backend server that fails some requests still works, and a lower limit
/// would not help it. One that fails several in a row has probably stopped.
void ConcurrencyLimit::OnFailure() {
  if (!m_options.per_response_slow_start) {
    return;
  }
  ++m_consecutive_failures;
  if (m_consecutive_failures < kFailuresBeforeSlowStart) {
    return;
  }
  if (m_in_slow_start) {
    m_limit = std::max(m_limit * kFailureDecreaseFactor, m_options.floor);
  } else {
    BeginSlowStart();
  }
}

void ConcurrencyLimit::SetAnnouncedSlots(std::uint32_t announced_slots) {
  const double slots = std::max<double>(announced_slots, 1);
  if (slots == m_announced_slots) {
    return;
  }
  m_limit = std::max(m_limit * slots / m_announced_slots, m_options.floor);
  m_announced_slots = slots;
}

void ConcurrencyLimit::OnLatency(std::uint8_t rank_priority,
                                 Duration latency,
                                 std::size_t in_flight,
                                 TimePoint now) {
  m_consecutive_failures = 0;
  if (m_in_slow_start && m_options.per_response_slow_start) {
    AdvanceSlowStart(rank_priority, latency, in_flight);
  }
  if (!m_options.adaptive) {
    return;
  }
  if (!m_window_open) {
    m_window_open = true;
    m_window_start = now;
  }
  m_histories[rank_priority].Add(latency, now);
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
  const double known_good =
      std::max(static_cast<double>(in_flight) - 1, m_options.floor);
  const bool confirmed = m_has_ceiling && known_good >= m_known_good_limit;
  if (confirmed) {
    m_ceiling_hold = std::min<Duration>(2 * m_ceiling_hold, kMaxCeilingHold);
  } else {
    m_ceiling_hold = kMinCeilingHold;
    m_known_good_limit = known_good;
  }
  m_has_ceiling = true;
  m_ceiling = m_known_good_limit;
  m_ceiling_until = now + m_ceiling_hold;
  m_limit = std::min(m_limit, m_ceiling);
  m_in_slow_start = false;
  if (!confirmed && now - m_last_decrease >= kWindowLength) {
    Decrease(kShedDecreaseFactor, now);
  }
}

bool ConcurrencyLimit::WindowIsFull(TimePoint now) const {
  return m_window_samples >= kMinWindowSamples &&
         now - m_window_start >= kWindowLength;
}

void ConcurrencyLimit::CloseWindow(TimePoint now) {
  const Overload overload = MeasureOverload(now);
  const double tolerance = std::log(m_options.latency_tolerance);
  const double excess_lower_bound =
      overload.excess - kSignificanceStdErrors * overload.error;
  const bool saturated = m_saturated;
  for (auto& [priority, history] : m_histories) {
    history.CloseWindow(now);
  }
  m_window_samples = 0;
  m_window_open = false;
  m_saturated = false;
  RaiseCeiling(now);
  if (excess_lower_bound > tolerance) {
    m_in_slow_start = false;
    Decrease(std::exp(tolerance - overload.excess), now);
  } else if (saturated && excess_lower_bound <= tolerance / 2) {
    Increase();
  }
}

ConcurrencyLimit::Overload ConcurrencyLimit::MeasureOverload(
    TimePoint now) const {
  double weights = 0;
  double weighted_excess = 0;
  for (const auto& [priority, history] : m_histories) {
    if (history.IsComparable(now)) {
      // Ranks with steady latency get more weight than ranks whose requests
      // vary widely in size, such as uploads.
      weights += history.Weight();
      weighted_excess += history.Weight() * history.Excess(now);
    }
  }
  if (weights == 0) {
    return {};
  }
  return {.excess = weighted_excess / weights, .error = 1 / std::sqrt(weights)};
}

void ConcurrencyLimit::Increase() {
  double target = m_limit + 1;
  if (m_in_slow_start && m_options.per_response_slow_start) {
    return;
  }
  if (m_in_slow_start) {
    target = std::min(m_limit * kSlowStartGrowthFactor, m_announced_slots);
    m_in_slow_start = target < m_announced_slots;
  }
  m_limit = std::max(m_limit, std::min(target, MaxLimit()));
}

void ConcurrencyLimit::Decrease(double factor, TimePoint now) {
  const double bounded =
      std::clamp(factor, kMinDecreaseFactor, kMaxDecreaseFactor);
  m_limit = std::max(m_limit * bounded, m_options.floor);
  m_last_decrease = now;
  for (auto& [priority, history] : m_histories) {
    history.IgnoreInFlight(now);
  }
}

void ConcurrencyLimit::RaiseCeiling(TimePoint now) {
  if (!m_has_ceiling || now < m_ceiling_until || m_limit < m_ceiling) {
    return;
  }
  m_known_good_limit = m_ceiling;
  m_ceiling += 1;
  m_ceiling_until = now + m_ceiling_hold;
}

double ConcurrencyLimit::MaxLimit() const {
  const double bound = m_announced_slots * m_options.max_slots_factor;
  return m_has_ceiling ? std::min(bound, m_ceiling) : bound;
}

}  // namespace banyantrail
