#include "banyantrail/membership/failure_detector.h"

#include <algorithm>
#include <utility>

#include "banyantrail/core/digest.h"
#include "banyantrail/membership/member_merge.h"

namespace banyantrail {
namespace {

/// In a domain with fewer live members, silence of the own domain does not show
/// which node is isolated, so answers from other domains count as contact too.
constexpr std::size_t kMinSelfSufficientDomainSize = 3;

/// With fewer live members in the fleet, no third one could answer, so silence
/// does not show which node is isolated.
constexpr std::size_t kMinFleetSizeToDetectIsolation = 3;

std::size_t LiveMemberCount(const MembershipTable& table) {
  std::size_t count = 0;
  for (const auto& [domain, members] : table.live_members()) {
    count += members.size();
  }
  return count;
}

/// Position on the ring, ordered by node id when hashes are equal.
std::pair<std::uint64_t, NodeId> RingPosition(const NodeId& node) {
  return {Hash64(node.str()), node};
}

}  // namespace

FailureDetector::FailureDetector(Options options)
    : m_options(std::move(options)) {}

FailureDetector::Actions FailureDetector::Tick(const MembershipTable& table,
                                               TimePoint now,
                                               Rng& rng) {
  Actions actions;
  if (!m_last_contact) {
    m_last_contact = now;
  }
  ExpireRecentDeaths(now);
  if (m_live_members_version != table.live_members_version()) {
    RefreshDomain(table);
  }
  RefreshProbedMembers(now);
  UpdateIsolation(now, actions);
  for (auto& [node, member] : m_probed) {
    AdvanceProbe(node, member, table, now, rng, actions);
  }
  ConfirmDeaths(now, actions);
  ExpireForwardedProbes(now, actions);
  return actions;
}

FailureDetector::Actions FailureDetector::OnProbe(const NodeId& from,
                                                  const ProbeMessage& probe,
                                                  TimePoint now) {
  Actions actions;
  if (probe.target.empty() || probe.target == m_options.self) {
    actions.acks.push_back(
        {.to = from,
         .message = {.probe_id = probe.probe_id, .target = m_options.self}});
    return actions;
  }
  const std::uint64_t forwarded_id = m_next_probe_id++;
  m_forwarded_probes.emplace(
      forwarded_id,
      ForwardedProbe{.requester = from,
                     .requester_probe_id = probe.probe_id,
                     .target = probe.target,
                     .deadline = now + m_options.forwarded_probe_timeout});
  actions.probes.push_back(
      {.to = probe.target, .message = {.probe_id = forwarded_id}});
  return actions;
}

FailureDetector::Actions FailureDetector::OnAck(const NodeId& from,
                                                const ProbeAckMessage& ack,
                                                TimePoint now) {
  Actions actions;
  if (m_counts_other_domains || m_domain_members.contains(from)) {
    m_last_contact = now;
  }
  if (m_poll && m_poll->probe_id == ack.probe_id) {
    m_poll->answered.insert(from);
  }
  const auto forwarded = m_forwarded_probes.find(ack.probe_id);
  if (forwarded != m_forwarded_probes.end() &&
      forwarded->second.target == ack.target) {
    actions.acks.push_back(
        {.to = forwarded->second.requester,
         .message = {.probe_id = forwarded->second.requester_probe_id,
                     .target = ack.target}});
    m_forwarded_probes.erase(forwarded);
    return actions;
  }
  const auto probed = m_probed.find(ack.target);
  if (probed != m_probed.end() && probed->second.probe_id == ack.probe_id) {
    ProbedMember& member = probed->second;
    member.is_failing = false;
    member.is_unreachable = false;
    if (member.phase != Phase::kIdle) {
      member.phase = Phase::kIdle;
      member.phase_end = now + m_options.probe_interval;
    }
  }
  return actions;
}

void FailureDetector::OnPeerUnreachable(const NodeId& node, TimePoint now) {
  const auto probed = m_probed.find(node);
  if (probed != m_probed.end() && probed->second.phase != Phase::kIndirect) {
    probed->second.phase_end = now;
  }
}

void FailureDetector::OnRecordChanged(const MemberRecord& record,
                                      TimePoint now) {
  if (record.domain != m_options.domain) {
    m_suspicions.erase(record.node);
    m_recent_deaths.erase(record.node);
    return;
  }
  switch (record.state) {
    case MemberState::kAlive:
      m_suspicions.erase(record.node);
      m_recent_deaths.erase(record.node);
      break;
    case MemberState::kSuspect: {
      Suspicion& suspicion = m_suspicions[record.node];
      if (suspicion.incarnation != record.incarnation) {
        suspicion = {.incarnation = record.incarnation, .since = now};
      }
      break;
    }
    case MemberState::kDead:
      m_suspicions.erase(record.node);
      m_recent_deaths[record.node] = now;
      break;
    case MemberState::kLeft:
      m_suspicions.erase(record.node);
      m_recent_deaths.erase(record.node);
      break;
  }
}

void FailureDetector::RefreshDomain(const MembershipTable& table) {
  m_live_members_version = table.live_members_version();
  m_fleet_size = LiveMemberCount(table);
  const auto domain = table.live_members().find(m_options.domain);
  m_domain_members = domain == table.live_members().end() ? std::set<NodeId>{}
                                                          : domain->second;
  std::vector<std::pair<std::uint64_t, NodeId>> ring;
  for (const NodeId& node : m_domain_members) {
    if (node != m_options.self) {
      ring.push_back(RingPosition(node));
    }
  }
  std::sort(ring.begin(), ring.end());
  const auto first =
      std::upper_bound(ring.begin(), ring.end(), RingPosition(m_options.self));
  std::rotate(ring.begin(), first, ring.end());
  m_ring.clear();
  for (auto& [hash, node] : ring) {
    m_ring.push_back(std::move(node));
  }
}

void FailureDetector::RefreshProbedMembers(TimePoint now) {
  std::set<NodeId> to_probe;
  std::size_t responsive = 0;
  for (const NodeId& node : m_ring) {
    if (responsive == m_options.successor_count) {
      break;
    }
    to_probe.insert(node);
    const auto probed = m_probed.find(node);
    const bool is_failing =
        probed != m_probed.end() && probed->second.is_failing;
    responsive += is_failing || m_suspicions.contains(node) ? 0 : 1;
  }
  std::erase_if(m_probed, [&to_probe](const auto& entry) {
    return !to_probe.contains(entry.first);
  });
  for (const NodeId& node : to_probe) {
    m_probed.try_emplace(node, ProbedMember{.phase_end = now});
  }
}

void FailureDetector::UpdateIsolation(TimePoint now, Actions& actions) {
  m_counts_other_domains =
      m_domain_members.size() < kMinSelfSufficientDomainSize;
  if (!m_options.defers_deaths_when_isolated) {
    return;
  }
  m_can_detect_isolation = m_domain_members.size() > 1 &&
                           m_fleet_size >= kMinFleetSizeToDetectIsolation;
  UpdatePoll(now, actions);
  const bool was_isolated = m_is_isolated;
  m_is_isolated = HasLostContact(now) || m_is_minority;
  if (was_isolated && !m_is_isolated) {
    RestartTimers(now);
  }
}

void FailureDetector::UpdatePoll(TimePoint now, Actions& actions) {
  if (!HasSignificantLoss()) {
    m_poll.reset();
    m_has_majority = true;
    m_is_minority = false;
    return;
  }
  if (!m_poll || now - m_poll->started >= m_options.poll_interval) {
    StartPoll(now, actions);
  }
  // The node counts itself as reached.
  m_has_majority = 2 * (m_poll->answered.size() + 1) >= RecentDomainSize();
  if (m_has_majority) {
    m_is_minority = false;
  } else if (now - m_poll->started >= m_options.direct_timeout) {
    m_is_minority = true;
  }
}

void FailureDetector::StartPoll(TimePoint now, Actions& actions) {
  m_poll = Poll{.probe_id = m_next_probe_id++, .started = now};
  for (const NodeId& node : m_domain_members) {
    if (node != m_options.self) {
      actions.probes.push_back(
          {.to = node, .message = {.probe_id = m_poll->probe_id}});
    }
  }
}

bool FailureDetector::HasLostContact(TimePoint now) const {
  return m_can_detect_isolation &&
         now - *m_last_contact >=
             m_options.direct_timeout + m_options.indirect_timeout;
}

bool FailureDetector::HasSignificantLoss() const {
  std::set<NodeId> lost;
  for (const auto& [node, suspicion] : m_suspicions) {
    lost.insert(node);
  }
  for (const auto& [node, member] : m_probed) {
    if (member.is_unreachable) {
      lost.insert(node);
    }
  }
  return !lost.empty() &&
         m_options.poll_loss_divisor * (lost.size() + m_recent_deaths.size()) >=
             RecentDomainSize();
}

std::size_t FailureDetector::RecentDomainSize() const {
  return m_domain_members.size() + m_recent_deaths.size();
}

void FailureDetector::RestartTimers(TimePoint now) {
  for (auto& [node, suspicion] : m_suspicions) {
    suspicion.since = now;
  }
  for (auto& [node, member] : m_probed) {
    member = ProbedMember{.phase_end = now};
  }
}

void FailureDetector::AdvanceProbe(const NodeId& node,
                                   ProbedMember& member,
                                   const MembershipTable& table,
                                   TimePoint now,
                                   Rng& rng,
                                   Actions& actions) {
  if (now < member.phase_end) {
    return;
  }
  switch (member.phase) {
    case Phase::kIdle:
      StartProbe(node, member, now, actions);
      break;
    case Phase::kDirect:
      member.is_failing = true;
      member.phase = Phase::kIndirect;
      member.phase_end = now + m_options.indirect_timeout;
      SendIndirectProbes(node, member, table, rng, actions);
      break;
    case Phase::kIndirect:
      member.is_unreachable = true;
      Suspect(node, table, now, actions);
      StartProbe(node, member, now, actions);
      break;
  }
}

void FailureDetector::StartProbe(const NodeId& node,
                                 ProbedMember& member,
                                 TimePoint now,
                                 Actions& actions) {
  member.phase = Phase::kDirect;
  member.probe_id = m_next_probe_id++;
  member.phase_end = now + m_options.direct_timeout;
  actions.probes.push_back(
      {.to = node, .message = {.probe_id = member.probe_id}});
}

void FailureDetector::SendIndirectProbes(const NodeId& node,
                                         const ProbedMember& member,
                                         const MembershipTable& table,
                                         Rng& rng,
                                         Actions& actions) {
  if (!m_options.uses_indirect_probes) {
    return;
  }
  for (NodeId& intermediary : ChooseIntermediaries(node, table, rng)) {
    actions.probes.push_back(
        {.to = std::move(intermediary),
         .message = {.probe_id = member.probe_id, .target = node}});
  }
}

std::vector<NodeId> FailureDetector::ChooseIntermediaries(
    const NodeId& target,
    const MembershipTable& table,
    Rng& rng) const {
  std::vector<NodeId> intermediaries;
  for (const bool in_own_domain : {true, false}) {
    std::vector<NodeId> candidates;
    for (const auto& [domain, members] : table.live_members()) {
      if ((domain == m_options.domain) == in_own_domain) {
        candidates.insert(candidates.end(), members.begin(), members.end());
      }
    }
    std::erase_if(candidates, [&](const NodeId& node) {
      const auto probed = m_probed.find(node);
      return node == m_options.self || node == target ||
             m_suspicions.contains(node) ||
             (probed != m_probed.end() && probed->second.is_failing);
    });
    const std::size_t count =
        m_options.intermediary_count - intermediaries.size();
    std::sample(candidates.begin(), candidates.end(),
                std::back_inserter(intermediaries), count, rng);
  }
  return intermediaries;
}

void FailureDetector::Suspect(const NodeId& node,
                              const MembershipTable& table,
                              TimePoint now,
                              Actions& actions) {
  if (HasLostContact(now)) {
    return;
  }
  const MemberRecord* record = table.Find(node);
  Suspicion& suspicion = m_suspicions[node];
  if (suspicion.incarnation != record->incarnation) {
    suspicion = {.incarnation = record->incarnation, .since = now};
  }
  if (!suspicion.raised_locally) {
    suspicion.raised_locally = true;
    actions.suspected.push_back(node);
  }
}

void FailureDetector::ConfirmDeaths(TimePoint now, Actions& actions) {
  if (m_is_isolated || !m_has_majority) {
    return;
  }
  for (const auto& [node, suspicion] : m_suspicions) {
    const Duration wait =
        m_options.suspicion_timeout + (suspicion.raised_locally
                                           ? Duration::zero()
                                           : m_options.remote_suspicion_slack);
    if (now - suspicion.since >= wait) {
      actions.dead.push_back(
          {.node = node, .found_locally = suspicion.raised_locally});
    }
  }
}

void FailureDetector::ExpireForwardedProbes(TimePoint now, Actions& actions) {
  std::erase_if(m_forwarded_probes, [&](const auto& entry) {
    const ForwardedProbe& forwarded = entry.second;
    if (now < forwarded.deadline) {
      return false;
    }
    actions.acks.push_back(
        {.to = forwarded.requester,
         .message = {.probe_id = forwarded.requester_probe_id}});
    return true;
  });
}

void FailureDetector::ExpireRecentDeaths(TimePoint now) {
  std::erase_if(m_recent_deaths, [&](const auto& entry) {
    return now - entry.second >= m_options.recent_death_window;
  });
}

}  // namespace banyantrail
