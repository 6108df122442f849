#include "banyantrail/traffic/team_queue.h"

#include <algorithm>
#include <cmath>
#include <iterator>

namespace banyantrail::detail {
namespace {

/// Number of known teams from which idle ones are forgotten.
constexpr std::size_t kMaxKnownTeams = 256;
/// Lower bound on the expected cost of a request, so that each one moves its
/// team's start tag.
constexpr double kMinCostSeconds = 1e-4;

}  // namespace

void TeamQueue::Insert(const QueuedRequest& request) {
  Team& team = FindOrAdd(request.team);
  if (team.queue.empty()) {
    team.start = std::max(team.start, m_virtual_time);
    team.queued_cost = 0;
  }
  team.queue.insert(request.key);
  team.queued_cost += request.cost;
  m_by_urgency.insert(request.key);
}

void TeamQueue::Erase(const QueuedRequest& request) {
  Team& team = m_teams.at(request.team);
  team.queue.erase(request.key);
  team.queued_cost = std::max(team.queued_cost - request.cost, 0.0);
  m_by_urgency.erase(request.key);
}

void TeamQueue::Clear() {
  m_by_urgency.clear();
  for (auto& [hash, team] : m_teams) {
    team.queue.clear();
    team.queued_cost = 0;
  }
}

const QueueKey& TeamQueue::Next() const {
  return *NextTeam()->second.queue.begin();
}

bool TeamQueue::WouldBeNext(const QueuedRequest& request) const {
  if (m_by_urgency.empty()) {
    return true;
  }
  const auto next = NextTeam();
  if (next->first == request.team) {
    return request.key < *next->second.queue.begin();
  }
  return Backlog(request.team) == 0 &&
         StartOf(request.team) < next->second.start;
}

std::size_t TeamQueue::CountAhead(const QueuedRequest& request) const {
  std::size_t ahead = 0;
  const auto own = m_teams.find(request.team);
  double own_cost = request.cost;
  if (own != m_teams.end() && !own->second.queue.empty()) {
    const std::set<QueueKey>& queue = own->second.queue;
    ahead = static_cast<std::size_t>(
        std::distance(queue.begin(), queue.lower_bound(request.key)));
    own_cost = own->second.queued_cost / static_cast<double>(queue.size());
  }
  const double start =
      StartOf(request.team) + static_cast<double>(ahead) * own_cost;
  for (const auto& [hash, team] : m_teams) {
    if (hash == request.team || team.queue.empty() || team.start > start) {
      continue;
    }
    const auto queued = static_cast<double>(team.queue.size());
    const double cost = std::max(team.queued_cost / queued, kMinCostSeconds);
    ahead += static_cast<std::size_t>(
        std::min(queued, std::floor((start - team.start) / cost) + 1));
  }
  return ahead;
}

void TeamQueue::OnAdmitted(TeamHash team, double cost) {
  Team& state = FindOrAdd(team);
  state.start = std::max(state.start, state.queue.empty() ? m_virtual_time : 0);
  m_virtual_time = std::max(m_virtual_time, state.start);
  state.start += std::max(cost, kMinCostSeconds);
  ++state.in_flight;
  ++m_in_flight;
}

void TeamQueue::OnReleased(TeamHash team, double cost, double slot_seconds) {
  const auto found = m_teams.find(team);
  if (found == m_teams.end() || found->second.in_flight == 0) {
    return;
  }
  found->second.start += slot_seconds - std::max(cost, kMinCostSeconds);
  --found->second.in_flight;
  --m_in_flight;
  if (m_in_flight == 0 && m_by_urgency.empty()) {
    m_teams.clear();
    m_virtual_time = 0;
  }
}

TeamHash TeamQueue::LargestBacklog(TeamHash newcomer) const {
  TeamHash largest = newcomer;
  std::size_t most = Backlog(newcomer) + 1;
  for (const auto& [hash, team] : m_teams) {
    if (team.queue.size() > most) {
      largest = hash;
      most = team.queue.size();
    }
  }
  return largest;
}

std::size_t TeamQueue::Backlog(TeamHash team) const {
  const auto found = m_teams.find(team);
  return found == m_teams.end() ? 0 : found->second.queue.size();
}

const QueueKey& TeamQueue::LeastUrgent(TeamHash team) const {
  return *m_teams.at(team).queue.rbegin();
}

TeamQueue::Team& TeamQueue::FindOrAdd(TeamHash team) {
  if (m_teams.size() >= kMaxKnownTeams && !m_teams.contains(team)) {
    ForgetIdleTeams();
  }
  return m_teams[team];
}

/// Bounds the state when names change all the time. A forgotten team begins
/// again at the virtual time.
void TeamQueue::ForgetIdleTeams() {
  std::erase_if(m_teams, [](const auto& item) {
    const Team& team = item.second;
    return team.queue.empty() && team.in_flight == 0;
  });
}

/// The start tag of the team's next request.
double TeamQueue::StartOf(TeamHash team) const {
  const auto found = m_teams.find(team);
  if (found == m_teams.end()) {
    return m_virtual_time;
  }
  const Team& state = found->second;
  return state.queue.empty() ? std::max(state.start, m_virtual_time)
                             : state.start;
}

/// Of teams with the same start tag the one with the most urgent request.
TeamQueue::TeamMap::const_iterator TeamQueue::NextTeam() const {
  auto next = m_teams.end();
  for (auto it = m_teams.begin(); it != m_teams.end(); ++it) {
    const Team& team = it->second;
    if (team.queue.empty()) {
      continue;
    }
    if (next == m_teams.end() || team.start < next->second.start ||
        (team.start == next->second.start &&
         *team.queue.begin() < *next->second.queue.begin())) {
      next = it;
    }
  }
  return next;
}

}  // namespace banyantrail::detail
