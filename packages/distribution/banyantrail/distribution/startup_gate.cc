#include "banyantrail/distribution/startup_gate.h"

#include <algorithm>

namespace banyantrail {

void StartupGate::OnPreviouslyApplied(Revision revision) {
  m_known_revision = std::max(m_known_revision, revision);
}

void StartupGate::OnPeerRevision(const NodeId& peer, Revision revision) {
  m_known_revision = std::max(m_known_revision, revision);
  if (m_answered.size() < m_options.min_peers) {
    m_answered.insert(peer);
  }
}

void StartupGate::OnPlatformHead(Revision revision) {
  m_known_revision = std::max(m_known_revision, revision);
  m_platform_read = true;
}

bool StartupGate::HasEnoughAnswers(TimePoint now) const {
  if (m_platform_read) {
    return !m_answered.empty() || now >= m_peer_deadline;
  }
  const std::size_t required = std::min(m_options.min_peers, m_peer_count);
  return required > 0 && m_answered.size() >= required;
}

ServingState StartupGate::Update(Revision applied, TimePoint now) {
  if (m_state == ServingState::kReady) {
    return m_state;
  }
  if (applied.exists() && applied >= m_known_revision &&
      HasEnoughAnswers(now)) {
    m_state = ServingState::kReady;
  } else if (now >= m_deadline) {
    m_state = ServingState::kDegraded;
  }
  return m_state;
}

}  // namespace banyantrail
