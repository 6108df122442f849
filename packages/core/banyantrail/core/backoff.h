#pragma once

#include <algorithm>
#include <cstdint>

#include "banyantrail/core/clock.h"
#include "banyantrail/core/random.h"

namespace banyantrail {

struct BackoffOptions {
  /// Upper bound of the first delay.
  Duration initial = milliseconds(50);
  /// Upper bound of every delay.
  Duration max = seconds(5);
};

/// Exponential backoff with jitter. Each delay is uniformly distributed between
/// half of a bound and the bound, and the bound doubles after each delay. The
/// jitter keeps clients that failed at the same time from retrying at the same
/// time.
class Backoff {
 public:
  explicit Backoff(BackoffOptions options)
      : m_options(options), m_bound(options.initial) {}

  /// Returns the delay before the next attempt.
  Duration Next(Rng& rng) {
    const Duration bound = std::min(m_bound, m_options.max);
    m_bound = bound > m_options.max / 2 ? m_options.max : 2 * bound;
    ++m_attempts;
    const Duration half = bound / 2;
    std::uniform_int_distribution<Duration::rep> jitter(0, half.count());
    return half + Duration(jitter(rng));
  }

  /// Resets the bound after a success.
  void Reset() {
    m_bound = m_options.initial;
    m_attempts = 0;
  }

  /// Number of delays returned since the last reset.
  std::uint32_t attempts() const { return m_attempts; }

 private:
  BackoffOptions m_options;
  Duration m_bound;
  std::uint32_t m_attempts = 0;
};

}  // namespace banyantrail
