#include "banyantrail/traffic/quota_spender.h"

#include <algorithm>
#include <utility>

namespace banyantrail {
namespace {

/// Time to wait when no holder is known.
constexpr Duration kUnknownRetryAfter = milliseconds(500);

/// Minimum time between a refusal and the next message to the same holder.
constexpr Duration kMinPause = milliseconds(10);

/// A holder may have tokens sooner than it expected, because nodes that it
/// refused before have not returned.
constexpr Duration kMaxPause = seconds(1);
constexpr Duration kMaxForeignPause = seconds(5);

/// A pause after a refusal by another domain is doubled, by this time at most.
constexpr Duration kMaxExtraPause = milliseconds(250);

}  // namespace

void QuotaSpender::SetShare(const QuotaShare& share, TimePoint now) {
  m_fixed_part.SetShare(share, now);
}

QuotaChanges QuotaSpender::SetHolders(const std::vector<NodeId>& holders,
                                      TimePoint now) {
  std::vector<Holder> next;
  next.reserve(holders.size());
  for (const NodeId& node : holders) {
    const Holder* known = FindHolder(node);
    next.push_back(known == nullptr ? Holder{.node = node} : *known);
  }
  m_holders = std::move(next);
  if (m_ask && FindHolder(m_ask->holder) == nullptr) {
    // Its reply would come too late for the requests that wait.
    m_late_asks.push_back(*m_ask);
    m_ask.reset();
  }
  return Decide(now);
}

void QuotaSpender::ForgetRefusals() {
  for (Holder& holder : m_holders) {
    holder.blocked_until = TimePoint::min();
    holder.token_at = TimePoint::min();
  }
  m_last_promise = TimePoint::min();
}

QuotaChanges QuotaSpender::Offer(const QuotaRequest& request, TimePoint now) {
  m_waiting.push_back(request);
  ++m_offered_since_ask;
  return Decide(now);
}

QuotaChanges QuotaSpender::OnReply(std::uint64_t sequence,
                                   const QuotaGrant& grant,
                                   TimePoint now) {
  std::optional<PendingAsk> ask;
  const auto late =
      std::ranges::find(m_late_asks, sequence, &PendingAsk::sequence);
  if (m_ask && m_ask->sequence == sequence) {
    ask = std::exchange(m_ask, std::nullopt);
  } else if (late != m_late_asks.end()) {
    ask = *late;
    m_late_asks.erase(late);
  } else {
    // The transport may deliver a reply twice.
    return Decide(now);
  }
  const Duration pause = PauseAfter(*ask, grant);
  Holder* holder = FindHolder(ask->holder);
  if (holder != nullptr) {
    holder->blocked_until = now + pause;
    holder->token_at = now + std::max(pause, grant.retry_after);
    holder->is_silent = false;
  }
  if (grant.granted > 0) {
    m_batches.push_back({.expires = ask->sent + m_options.token_lifetime,
                         .tokens = grant.granted});
  } else {
    m_token_interval = pause;
  }
  return Decide(now);
}

/// How long a holder is not asked after its reply. The holders of other domains
/// are asked less often: most of their tokens are for their own domains, and in
/// a flood each node would ask each of them.
Duration QuotaSpender::PauseAfter(const PendingAsk& ask,
                                  const QuotaGrant& grant) const {
  const bool is_own =
      !m_holders.empty() && m_holders.front().node == ask.holder;
  const Duration longest = is_own ? kMaxPause : kMaxForeignPause;
  if (grant.granted > 0) {
    return std::min(grant.retry_after, longest);
  }
  const Duration extra =
      is_own ? Duration::zero() : std::min(grant.retry_after, kMaxExtraPause);
  return std::clamp(grant.retry_after + extra, kMinPause, longest);
}

QuotaChanges QuotaSpender::Expire(TimePoint now) {
  return Decide(now);
}

QuotaChanges QuotaSpender::GiveBack(TimePoint now) {
  m_batches.push_back({.expires = now + m_options.token_lifetime, .tokens = 1});
  return Decide(now);
}

QuotaChanges QuotaSpender::Release() {
  QuotaChanges changes;
  for (const QuotaRequest& request : m_waiting) {
    changes.granted.push_back(request.id);
  }
  m_waiting.clear();
  return changes;
}

std::optional<TimePoint> QuotaSpender::NextWakeup() const {
  if (m_waiting.empty()) {
    return std::nullopt;
  }
  TimePoint wakeup =
      std::ranges::min_element(m_waiting, {}, &QuotaRequest::give_up)->give_up;
  wakeup = std::min(
      wakeup, m_ask ? m_ask->sent + m_options.ask_timeout : EarliestHolder());
  return wakeup;
}

QuotaChanges QuotaSpender::Decide(TimePoint now) {
  QuotaChanges changes;
  CheckAskTimeout(now);
  GrantWaiting(now, changes);
  if (!m_waiting.empty() && !m_ask) {
    Ask(now, changes);
  }
  RefuseWaiting(now, changes);
  return changes;
}

/// Marks a holder as silent whose reply is overdue.
void QuotaSpender::CheckAskTimeout(TimePoint now) {
  std::erase_if(m_late_asks, [&](const PendingAsk& ask) {
    return ask.sent + m_options.token_lifetime <= now;
  });
  if (!m_ask || now < m_ask->sent + m_options.ask_timeout) {
    return;
  }
  ++m_silences;
  if (Holder* holder = FindHolder(m_ask->holder); holder != nullptr) {
    holder->blocked_until = now + m_options.silent_pause;
    holder->token_at = holder->blocked_until;
    holder->is_silent = true;
  }
  m_late_asks.push_back(*m_ask);
  m_ask.reset();
}

/// The fixed part comes first, because it costs no messages.
bool QuotaSpender::TakeToken(TimePoint now) {
  if (m_fixed_part.Take(1, now) == 1) {
    return true;
  }
  std::erase_if(m_batches, [now](const Batch& batch) {
    return batch.expires <= now || batch.tokens == 0;
  });
  if (m_batches.empty()) {
    return false;
  }
  --m_batches.front().tokens;
  return true;
}

void QuotaSpender::GrantWaiting(TimePoint now, QuotaChanges& changes) {
  while (!m_waiting.empty() && TakeToken(now)) {
    changes.granted.push_back(m_waiting.front().id);
    m_waiting.pop_front();
  }
  if (m_waiting.empty() && !m_batches.empty()) {
    // Tokens are left, so nobody has to wait for one.
    m_last_promise = TimePoint::min();
  }
}

void QuotaSpender::Ask(TimePoint now, QuotaChanges& changes) {
  const Holder* holder = HolderToAsk(now);
  if (holder == nullptr) {
    return;
  }
  m_ask = {.sequence = ++m_last_sequence, .holder = holder->node, .sent = now};
  changes.ask = {.holder = holder->node,
                 .sequence = m_last_sequence,
                 .tokens = static_cast<std::uint32_t>(m_waiting.size()),
                 .prefetch = Prefetch(now)};
  m_last_ask = now;
  m_offered_since_ask = 0;
}

/// The number of requests that are expected within the time of a batch, by
/// those since the last ask.
std::uint32_t QuotaSpender::Prefetch(TimePoint now) const {
  if (m_last_ask == TimePoint::min()) {
    return 0;
  }
  const auto elapsed = std::max(now - m_last_ask, m_options.batch_time);
  const auto expected = static_cast<std::uint32_t>(
      m_offered_since_ask * m_options.batch_time / elapsed);
  return std::min(expected, m_options.max_prefetch);
}

/// Refuses the requests that cannot get a token before they give up.
void QuotaSpender::RefuseWaiting(TimePoint now, QuotaChanges& changes) {
  const TimePoint next_ask = m_ask ? now : EarliestHolder();
  std::deque<QuotaRequest> waiting;
  for (const QuotaRequest& request : m_waiting) {
    if (request.give_up > now && request.give_up > next_ask) {
      waiting.push_back(request);
    } else {
      changes.refused.push_back({.id = request.id,
                                 .retry_after = NextRetryAfter(now),
                                 .cause = Cause()});
    }
  }
  m_waiting = std::move(waiting);
}

QuotaSpender::Holder* QuotaSpender::FindHolder(const NodeId& node) {
  const auto found = std::ranges::find(m_holders, node, &Holder::node);
  return found == m_holders.end() ? nullptr : &*found;
}

QuotaSpender::Holder* QuotaSpender::HolderToAsk(TimePoint now) {
  const auto found = std::ranges::find_if(
      m_holders, [now](const Holder& h) { return h.blocked_until <= now; });
  return found == m_holders.end() ? nullptr : &*found;
}

TimePoint QuotaSpender::EarliestHolder() const {
  const auto earliest =
      std::ranges::min_element(m_holders, {}, &Holder::blocked_until);
  return earliest == m_holders.end() ? TimePoint::max()
                                     : earliest->blocked_until;
}

/// Callers that are refused one after another are told times that are as far
/// apart as the tokens of this node.
Duration QuotaSpender::NextRetryAfter(TimePoint now) {
  const auto first = std::ranges::min_element(m_holders, {}, &Holder::token_at);
  const TimePoint earliest = first == m_holders.end()
                                 ? now + kUnknownRetryAfter
                                 : std::max(first->token_at, now);
  const TimePoint after_last = m_last_promise == TimePoint::min()
                                   ? earliest
                                   : m_last_promise + m_token_interval;
  const TimePoint latest = now + m_options.max_retry_after;
  m_last_promise =
      std::clamp(std::max(earliest, after_last), now + milliseconds(1), latest);
  return m_last_promise - now;
}

QuotaRefusalCause QuotaSpender::Cause() const {
  const bool has_response = std::ranges::any_of(m_holders, [](const Holder& h) {
    return !h.is_silent && h.blocked_until != TimePoint::min();
  });
  return has_response ? QuotaRefusalCause::kLimit
                      : QuotaRefusalCause::kNoResponse;
}

}  // namespace banyantrail
