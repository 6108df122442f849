#pragma once

#include <algorithm>

#include "banyantrail/core/clock.h"

namespace banyantrail {

/// Limits the rate of calls while allowing short bursts. Reads no clock and
/// does not sleep: the current time is passed in.
class TokenBucket {
 public:
  struct Options {
    /// Sustained rate; greater than 0.
    double rate_per_second = 20;
    /// Capacity of the bucket: calls that may be made at once after idling.
    double burst = 40;
  };

  TokenBucket(Options options, TimePoint now)
      : m_options(options), m_tokens(options.burst), m_last_refill(now) {}

  /// Takes one token, if need be on credit, and returns how long the caller
  /// must wait before proceeding.
  Duration Reserve(TimePoint now) {
    Refill(now);
    m_tokens -= 1;
    return RefillTime(m_tokens);
  }

  /// The wait that Reserve would return, without taking a token.
  Duration ExpectedWait(TimePoint now) {
    Refill(now);
    return RefillTime(m_tokens - 1);
  }

 private:
  void Refill(TimePoint now) {
    const std::chrono::duration<double> elapsed = now - m_last_refill;
    m_tokens = std::min(m_options.burst,
                        m_tokens + elapsed.count() * m_options.rate_per_second);
    m_last_refill = now;
  }

  Duration RefillTime(double tokens) const {
    if (tokens >= 0) {
      return Duration::zero();
    }
    const std::chrono::duration<double> wait(-tokens /
                                             m_options.rate_per_second);
    return std::chrono::duration_cast<Duration>(wait);
  }

  Options m_options;
  double m_tokens;
  TimePoint m_last_refill;
};

}  // namespace banyantrail
