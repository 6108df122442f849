#include "banyantrail/distribution/store_follower.h"

namespace banyantrail {

void StoreFollower::OnConfirmation(const Confirmation& confirmation,
                                   TimePoint now) {
  if (!IsComparable(confirmation.revision, confirmation.applied)) {
    return;
  }
  m_has_confirmation = true;
  m_confirmed_at = now;
  const bool is_new = confirmation.revision > m_awaited_revision;
  if (is_new && confirmation.applied >= m_awaited_revision) {
    m_awaited_revision = confirmation.revision;
    m_awaited_since = now;
  }
  if (!confirmation.is_pushed) {
    m_store_only_revision =
        std::max(m_store_only_revision, confirmation.revision);
  }
}

/// How long this node waits for a confirmation before it watches the store.
Duration StoreFollower::TakeoverDelay(std::size_t rank, TimePoint now) const {
  constexpr std::size_t kMaxRankInSilence = 2;
  constexpr std::size_t kMaxRank = 16;
  const std::size_t last_rank =
      HearsFailures(now) ? kMaxRank : kMaxRankInSilence;
  const std::size_t steps = std::clamp<std::size_t>(rank, 1, last_rank) - 1;
  return m_options.max_age + steps * m_options.takeover_step;
}

StoreDuty StoreFollower::Duty(const NodeState& node, TimePoint now) const {
  const bool is_primary = node.rank == 0;
  if (is_primary || now - m_confirmed_at > TakeoverDelay(node.rank, now)) {
    return {.kind = StoreDuty::Kind::kWatch};
  }
  if (node.applied < m_store_only_revision) {
    return {.kind = StoreDuty::Kind::kCatchUp,
            .revision = m_store_only_revision};
  }
  const bool wait_expired = now - m_awaited_since > m_options.max_push_delay;
  if (node.applied < m_awaited_revision && wait_expired) {
    return {.kind = StoreDuty::Kind::kCatchUp, .revision = m_awaited_revision};
  }
  return {};
}

}  // namespace banyantrail
