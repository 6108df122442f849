#include "banyantrail/distribution/startup_gate.h"

#include <algorithm>

namespace banyantrail {

void StartupGate::OnFloor(Revision revision) {
  m_floor = std::max(m_floor, revision);
}

void StartupGate::OnPeerRevision(const NodeId& peer, Revision revision) {
  m_floor = std::max(m_floor, revision);
  if (m_answered.size() < m_options.min_answers) {
    m_answered.insert(peer);
  }
}

void StartupGate::OnPlatformHead(Revision revision) {
  m_floor = std::max(m_floor, revision);
  m_platform_read = true;
}

bool StartupGate::HeardEnough() const {
  if (m_platform_read) {
    return true;
  }
  const std::size_t wanted = std::min(m_options.min_answers, m_peer_count);
  return wanted > 0 && m_answered.size() >= wanted;
}

ServingState StartupGate::Update(Revision applied, TimePoint now) {
  if (m_state == ServingState::kReady) {
    return m_state;
  }
  if (applied > 0 && applied >= m_floor && HeardEnough()) {
    m_state = ServingState::kReady;
  } else if (now >= m_deadline) {
    m_state = ServingState::kDegraded;
  }
  return m_state;
}

}  // namespace banyantrail
