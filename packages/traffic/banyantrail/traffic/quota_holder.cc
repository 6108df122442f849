#include "banyantrail/traffic/quota_holder.h"

#include <algorithm>

namespace banyantrail {
namespace {

/// A node that is refused returns when the bucket has this many tokens for it
/// and for each node ahead of it, within kMaxBatchWait: one message for each
/// token would take a large part of a tenth of a core at the holder of a team
/// that floods 71 nodes.
constexpr double kTokensPerReturn = 4;
constexpr Duration kMaxBatchWait = milliseconds(250);

constexpr Duration kMinRetryAfter = milliseconds(10);
/// Within this time the limit may be raised.
constexpr Duration kMaxRetryAfter = seconds(5);

constexpr Duration kCleanupInterval = milliseconds(250);

}  // namespace

void QuotaHolder::SetShare(const QuotaShare& share, TimePoint now) {
  m_bucket.SetShare(share, now);
}

QuotaGrant QuotaHolder::Lend(const QuotaAsk& ask, TimePoint now) {
  ForgetReturned(now);
  m_returns.erase(ask.from);
  const std::uint32_t granted = m_bucket.Take(ask.tokens + ask.prefetch, now);
  if (granted > 0 && granted >= ask.tokens) {
    return {.granted = granted};
  }
  const Duration retry_after = RetryAfter(ask.from, now);
  m_returns[ask.from] = now + retry_after;
  return {.granted = granted, .retry_after = retry_after};
}

/// When the bucket has tokens for this node after those for the nodes that were
/// refused before it.
Duration QuotaHolder::RetryAfter(const NodeId& from, TimePoint now) {
  const auto ahead = std::ranges::count_if(m_returns, [&](const auto& entry) {
    return entry.first != from && entry.second > now;
  });
  const double place = static_cast<double>(ahead) + 1;
  const Duration one_token = m_bucket.TimeUntil(place, now);
  const Duration batch = m_bucket.TimeUntil(kTokensPerReturn * place, now);
  const Duration wait = std::max(one_token, std::min(batch, kMaxBatchWait));
  return std::clamp(wait, kMinRetryAfter, kMaxRetryAfter);
}

void QuotaHolder::ForgetReturned(TimePoint now) {
  if (now < m_next_cleanup) {
    return;
  }
  m_next_cleanup = now + kCleanupInterval;
  std::erase_if(m_returns,
                [now](const auto& entry) { return entry.second <= now; });
}

}  // namespace banyantrail
