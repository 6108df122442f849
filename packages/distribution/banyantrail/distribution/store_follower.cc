#include "banyantrail/distribution/store_follower.h"

#include <algorithm>

namespace banyantrail {

void StoreFollower::OnConfirmation(const Confirmation& confirmation,
                                   TimePoint now) {
  m_confirmed_at = now;
  const bool is_new = confirmation.revision > m_missing;
  if (is_new && confirmation.applied >= m_missing) {
    m_missing = confirmation.revision;
    m_missing_since = now;
  }
  if (!confirmation.comes_by_tree) {
    m_must_read = std::max(m_must_read, confirmation.revision);
  }
}

bool StoreFollower::MustWatch(Revision applied, TimePoint now) const {
  if (!m_confirmed_at || now - *m_confirmed_at > m_options.max_age) {
    return true;
  }
  const bool has_waited = now - m_missing_since > m_options.max_lag;
  return applied < m_must_read || (applied < m_missing && has_waited);
}

}  // namespace banyantrail
