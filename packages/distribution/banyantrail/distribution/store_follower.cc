#include "banyantrail/distribution/store_follower.h"

namespace banyantrail {

void StoreFollower::OnConfirmation(Revision revision, TimePoint now) {
  m_confirmed_at = now;
  if (revision > m_confirmed) {
    m_confirmed = revision;
    m_first_heard = now;
  }
}

bool StoreFollower::MustWatch(Revision applied, TimePoint now) const {
  if (!m_confirmed_at || now - *m_confirmed_at > m_options.max_age) {
    return true;
  }
  return applied < m_confirmed && now - m_first_heard > m_options.max_lag;
}

}  // namespace banyantrail
