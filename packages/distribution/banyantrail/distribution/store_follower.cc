#include "banyantrail/distribution/store_follower.h"

#include <algorithm>

namespace banyantrail {

void StoreFollower::OnConfirmation(const Confirmation& confirmation,
                                   TimePoint now) {
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

bool StoreFollower::MustWatch(Revision applied, TimePoint now) const {
  if (!m_confirmed_at || now - *m_confirmed_at > m_options.max_age) {
    return true;
  }
  const bool wait_expired = now - m_awaited_since > m_options.max_push_delay;
  return applied < m_store_only_revision ||
         (applied < m_awaited_revision && wait_expired);
}

}  // namespace banyantrail
