#pragma once

#include <algorithm>

#include "banyantrail/core/clock.h"

namespace banyantrail::standins {

/// A token bucket that allows bursts of up to one second's worth of tokens.
class TokenBucket {
 public:
  TokenBucket(double per_second, TimePoint now)
      : m_per_second(per_second), m_tokens(per_second), m_refilled_at(now) {}

  /// Takes a token; false if there is none.
  bool TryTake(TimePoint now) {
    const std::chrono::duration<double> elapsed = now - m_refilled_at;
    m_tokens = std::min(
        m_per_second, m_tokens + std::max(0.0, elapsed.count()) * m_per_second);
    m_refilled_at = now;
    if (m_tokens < 1) {
      return false;
    }
    m_tokens -= 1;
    return true;
  }

 private:
  double m_per_second;
  double m_tokens;
  TimePoint m_refilled_at;
};

}  // namespace banyantrail::standins
