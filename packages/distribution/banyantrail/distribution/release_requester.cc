#include "banyantrail/distribution/release_requester.h"

#include <algorithm>

namespace banyantrail {

void ReleaseRequester::LearnPeer(const NodeId& peer,
                                 Revision revision,
                                 TimePoint not_before) {
  if (revision <= m_applied) {
    return;
  }
  if (m_ahead.empty() && !m_outstanding) {
    m_not_before = std::max(m_not_before, not_before);
  }
  Revision& known = m_ahead[peer];
  known = std::max(known, revision);
  m_target = std::max(m_target, revision);
}

void ReleaseRequester::PreferPeer(const NodeId& peer,
                                  Revision revision,
                                  TimePoint now) {
  LearnPeer(peer, revision, now);
  m_preferred = peer;
  if (!m_outstanding && m_backoff.attempts() == 0) {
    m_not_before = now;
  }
}

void ReleaseRequester::ForgetPeer(const NodeId& peer, TimePoint now, Rng& rng) {
  m_ahead.erase(peer);
  if (m_preferred == peer) {
    m_preferred.reset();
  }
  Fail(peer, now, rng);
}

void ReleaseRequester::OnBusy(const NodeId& peer,
                              Duration wait,
                              TimePoint now,
                              Rng& rng) {
  m_busy_until[peer] = now + std::min(wait, m_options.backoff.max);
  Fail(peer, now, rng);
}

void ReleaseRequester::OnApplied(Revision revision) {
  m_applied = std::max(m_applied, revision);
  std::erase_if(
      m_ahead, [this](const auto& entry) { return entry.second <= m_applied; });
  m_busy_until.clear();
  m_preferred.reset();
  m_outstanding.reset();
  m_backoff.Reset();
}

void ReleaseRequester::Abandon(Revision revision) {
  std::erase_if(m_ahead, [revision](const auto& entry) {
    return entry.second <= revision;
  });
  m_target = m_applied;
  for (const auto& [peer, known] : m_ahead) {
    m_target = std::max(m_target, known);
  }
  m_preferred.reset();
  m_outstanding.reset();
}

void ReleaseRequester::Fail(const NodeId& peer, TimePoint now, Rng& rng) {
  if (m_outstanding && m_outstanding->peer == peer) {
    m_outstanding.reset();
    m_not_before = now + m_backoff.Next(rng);
  }
  if (m_ahead.empty() && m_backoff.attempts() >= m_options.max_blind_attempts) {
    Abandon(m_target);
  }
}

void ReleaseRequester::ExpireOutstanding(TimePoint now, Rng& rng) {
  if (m_outstanding && m_outstanding->deadline <= now) {
    ++m_timeouts;
    const NodeId peer = m_outstanding->peer;
    ForgetPeer(peer, now, rng);
  }
}

std::optional<NodeId> ReleaseRequester::Choose(
    const std::vector<NodeId>& others,
    TimePoint now,
    Rng& rng) {
  std::erase_if(m_busy_until,
                [now](const auto& entry) { return entry.second <= now; });
  std::vector<NodeId> candidates;
  for (const auto& [peer, revision] : m_ahead) {
    if (m_busy_until.count(peer) == 0) {
      candidates.push_back(peer);
    }
  }
  const bool preferred_is_free = m_preferred &&
                                 m_ahead.count(*m_preferred) > 0 &&
                                 m_busy_until.count(*m_preferred) == 0;
  if (preferred_is_free) {
    return m_preferred;
  }
  if (candidates.empty()) {
    std::copy_if(
        others.begin(), others.end(), std::back_inserter(candidates),
        [this](const NodeId& peer) { return m_busy_until.count(peer) == 0; });
  }
  if (candidates.empty()) {
    return std::nullopt;
  }
  return candidates[UniformIndex(rng, candidates.size())];
}

std::optional<NodeId> ReleaseRequester::NextRequest(
    const std::vector<NodeId>& others,
    TimePoint now,
    Rng& rng) {
  ExpireOutstanding(now, rng);
  const bool wanted = m_options.enabled && m_target > m_applied;
  if (!wanted || m_outstanding || now < m_not_before) {
    return std::nullopt;
  }
  std::optional<NodeId> peer = Choose(others, now, rng);
  if (peer) {
    m_outstanding = {.peer = *peer, .deadline = now + m_options.timeout};
  }
  return peer;
}

}  // namespace banyantrail
