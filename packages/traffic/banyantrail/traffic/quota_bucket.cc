#include "banyantrail/traffic/quota_bucket.h"

#include <algorithm>

namespace banyantrail {
namespace {

/// Keeps a token from being missed by a rounding error.
constexpr double kEpsilon = 1e-6;

constexpr double kMaxWaitSeconds = 3600;

using FractionalSeconds = std::chrono::duration<double>;

}  // namespace

void QuotaBucket::SetShare(const QuotaShare& share, TimePoint now) {
  Refill(now);
  m_share = share;
  m_tokens = std::min(m_tokens, m_share.capacity);
}

std::uint32_t QuotaBucket::Take(std::uint32_t max, TimePoint now) {
  Refill(now);
  const auto whole = static_cast<std::uint32_t>(m_tokens + kEpsilon);
  const std::uint32_t taken = std::min(whole, max);
  m_tokens = std::max(m_tokens - taken, 0.0);
  return taken;
}

Duration QuotaBucket::TimeUntil(double tokens, TimePoint now) {
  Refill(now);
  const double missing = tokens - m_tokens;
  if (missing <= kEpsilon) {
    return Duration::zero();
  }
  const double wait = m_share.rate * kMaxWaitSeconds > missing
                          ? missing / m_share.rate +
                                FractionalSeconds(std::max(m_refilled_at - now,
                                                           Duration::zero()))
                                    .count()
                          : kMaxWaitSeconds;
  return std::chrono::ceil<milliseconds>(FractionalSeconds(wait));
}

void QuotaBucket::Refill(TimePoint now) {
  if (now <= m_refilled_at) {
    return;
  }
  const double elapsed = FractionalSeconds(now - m_refilled_at).count();
  m_tokens = std::min(m_tokens + elapsed * m_share.rate, m_share.capacity);
  m_refilled_at = now;
}

}  // namespace banyantrail
