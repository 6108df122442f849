#pragma once

#include <algorithm>

#include "banyantrail/core/clock.h"

namespace banyantrail {

/// Limits the rate of calls while allowing short bursts. Pure.
class TokenBucket {
 public:
  struct Options {
    /// Calls a second in the long run; greater than 0.
    double rate_per_second = 20;
    /// Calls that may come at once after a quiet time.
    double burst = 40;
  };

  TokenBucket(Options options, TimePoint now)
      : m_options(options), m_tokens(options.burst), m_updated(now) {}

  /// Takes one token, now or in advance, and returns how long the caller has
  /// to wait before it may go on.
  Duration Reserve(TimePoint now) {
    Refill(now);
    m_tokens -= 1;
    return WaitFor(m_tokens);
  }

  /// How long Reserve would make the caller wait.
  Duration ExpectedWait(TimePoint now) {
    Refill(now);
    return WaitFor(m_tokens - 1);
  }

 private:
  void Refill(TimePoint now) {
    const std::chrono::duration<double> elapsed = now - m_updated;
    m_tokens = std::min(m_options.burst,
                        m_tokens + elapsed.count() * m_options.rate_per_second);
    m_updated = now;
  }

  Duration WaitFor(double tokens) const {
    if (tokens >= 0) {
      return Duration::zero();
    }
    const std::chrono::duration<double> wait(-tokens /
                                             m_options.rate_per_second);
    return std::chrono::duration_cast<Duration>(wait);
  }

  Options m_options;
  double m_tokens;
  TimePoint m_updated;
};

}  // namespace banyantrail
