#include "banyantrail/traffic/quota_holder.h"

#include <algorithm>

namespace banyantrail {
namespace {

/// A node that has not asked for this long holds no unspent tokens: they have
/// expired there, see QuotaSpender::Options::token_lifetime.
constexpr Duration kAskerLifetime = seconds(1);

/// Limits the messages of one node whose requests exceed the limit.
constexpr Duration kMinRetryAfter = milliseconds(10);
/// Within this time a lent token may be returned or a limit be raised.
constexpr Duration kMaxRetryAfter = seconds(5);

constexpr Duration kCleanupInterval = milliseconds(250);

}  // namespace

void QuotaHolder::SetShare(const QuotaShare& share,
                           double max_unspent,
                           TimePoint now) {
  m_bucket.SetShare(share, now);
  m_max_unspent = max_unspent;
}

QuotaGrant QuotaHolder::Lend(const QuotaAsk& ask, TimePoint now) {
  ForgetAskers(now);
  m_askers[ask.from] = {.asked_at = now};
  const std::uint32_t wanted = ask.tokens + PrefetchFor(ask);
  const std::uint32_t granted = m_bucket.Take(wanted, now);
  if (granted > 0) {
    return {.granted = granted};
  }
  const Duration retry_after = RetryAfter(ask.from, now);
  m_askers[ask.from].returns_at = now + retry_after;
  return {.retry_after = retry_after};
}

/// Divides the permitted unspent tokens between the nodes that ask.
std::uint32_t QuotaHolder::PrefetchFor(const QuotaAsk& ask) const {
  const double part = m_max_unspent / static_cast<double>(m_askers.size());
  return std::min(ask.prefetch, static_cast<std::uint32_t>(part));
}

/// When the bucket has a token for this node after those for the nodes that
/// were refused before it.
Duration QuotaHolder::RetryAfter(const NodeId& from, TimePoint now) {
  const auto ahead = std::ranges::count_if(m_askers, [&](const auto& entry) {
    return entry.first != from && entry.second.returns_at > now;
  });
  const Duration wait = m_bucket.TimeUntil(static_cast<double>(ahead) + 1, now);
  return std::clamp(wait, kMinRetryAfter, kMaxRetryAfter);
}

void QuotaHolder::ForgetAskers(TimePoint now) {
  if (now < m_next_cleanup) {
    return;
  }
  m_next_cleanup = now + kCleanupInterval;
  std::erase_if(m_askers, [now](const auto& entry) {
    return entry.second.asked_at + kAskerLifetime < now &&
           entry.second.returns_at < now;
  });
}

}  // namespace banyantrail
