#include "banyantrail/distribution/release_requester.h"

#include <algorithm>

namespace banyantrail {

void ReleaseRequester::OnPeerAhead(const NodeId& peer,
                                   Revision revision,
                                   TimePoint not_before) {
  if (revision <= m_applied) {
    return;
  }
  if (m_peers_ahead.empty() && !m_outstanding) {
    m_not_before = std::max(m_not_before, not_before);
  }
  Revision& peer_revision = m_peers_ahead[peer];
  peer_revision = std::max(peer_revision, revision);
  m_target_revision = std::max(m_target_revision, revision);
}

void ReleaseRequester::PreferPeer(const NodeId& peer,
                                  Revision revision,
                                  TimePoint now) {
  OnPeerAhead(peer, revision, now);
  m_preferred = peer;
  if (!m_outstanding && m_backoff.attempts() == 0) {
    m_not_before = now;
  }
}

void ReleaseRequester::ForgetPeer(const NodeId& peer, TimePoint now, Rng& rng) {
  m_peers_ahead.erase(peer);
  if (m_preferred == peer) {
    m_preferred.reset();
  }
  OnRequestFailed(peer, now, rng);
}

void ReleaseRequester::OnBusy(const NodeId& peer,
                              Duration wait,
                              TimePoint now,
                              Rng& rng) {
  m_busy_until[peer] = now + std::min(wait, m_options.backoff.max);
  OnRequestFailed(peer, now, rng);
}

void ReleaseRequester::OnApplied(Revision revision) {
  m_applied = std::max(m_applied, revision);
  std::erase_if(m_peers_ahead, [this](const auto& entry) {
    return entry.second <= m_applied;
  });
  m_busy_until.clear();
  m_preferred.reset();
  m_outstanding.reset();
  m_backoff.Reset();
}

void ReleaseRequester::Abandon(Revision revision) {
  std::erase_if(m_peers_ahead, [revision](const auto& entry) {
    return entry.second <= revision;
  });
  m_target_revision = m_applied;
  for (const auto& [peer, peer_revision] : m_peers_ahead) {
    m_target_revision = std::max(m_target_revision, peer_revision);
  }
  m_preferred.reset();
  m_outstanding.reset();
}

void ReleaseRequester::OnRequestFailed(const NodeId& peer,
                                       TimePoint now,
                                       Rng& rng) {
  if (m_outstanding && m_outstanding->peer == peer) {
    m_outstanding.reset();
    m_not_before = now + m_backoff.Next(rng);
  }
  if (m_peers_ahead.empty() &&
      m_backoff.attempts() >= m_options.abandon_after_attempts) {
    Abandon(m_target_revision);
  }
}

void ReleaseRequester::ExpireOutstanding(TimePoint now, Rng& rng) {
  if (m_outstanding && m_outstanding->deadline <= now) {
    ++m_timeouts;
    const NodeId peer = m_outstanding->peer;
    ForgetPeer(peer, now, rng);
  }
}

std::optional<NodeId> ReleaseRequester::ChoosePeer(
    const std::vector<NodeId>& fallback_peers,
    TimePoint now,
    Rng& rng) {
  std::erase_if(m_busy_until,
                [now](const auto& entry) { return entry.second <= now; });
  std::vector<NodeId> candidates;
  for (const auto& [peer, revision] : m_peers_ahead) {
    if (m_busy_until.count(peer) == 0) {
      candidates.push_back(peer);
    }
  }
  const bool preferred_is_available = m_preferred &&
                                      m_peers_ahead.count(*m_preferred) > 0 &&
                                      m_busy_until.count(*m_preferred) == 0;
  if (preferred_is_available) {
    return m_preferred;
  }
  if (candidates.empty()) {
    std::copy_if(fallback_peers.begin(), fallback_peers.end(),
                 std::back_inserter(candidates), [this](const NodeId& peer) {
                   return m_busy_until.count(peer) == 0;
                 });
  }
  if (candidates.empty()) {
    return std::nullopt;
  }
  return candidates[UniformIndex(rng, candidates.size())];
}

std::optional<NodeId> ReleaseRequester::NextRequest(
    const std::vector<NodeId>& fallback_peers,
    TimePoint now,
    Rng& rng) {
  ExpireOutstanding(now, rng);
  const bool should_request =
      m_options.enabled && m_target_revision > m_applied;
  if (!should_request || m_outstanding || now < m_not_before) {
    return std::nullopt;
  }
  std::optional<NodeId> peer = ChoosePeer(fallback_peers, now, rng);
  if (peer) {
    m_outstanding = {.peer = *peer, .deadline = now + m_options.timeout};
  }
  return peer;
}

}  // namespace banyantrail
