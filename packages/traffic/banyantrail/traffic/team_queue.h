#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <tuple>

#include "banyantrail/core/clock.h"

namespace banyantrail {

/// Identifies a request within one node process.
using RequestId = std::uint64_t;

/// Hash of a team's name; 0 stands for all requests without a team.
using TeamHash = std::uint64_t;

namespace detail {

/// Stands for a team that has neither queued nor used anything.
inline constexpr TeamHash kUnknownTeam = ~TeamHash{0};

/// Order of service within a team, and within a band without teams.
struct QueueKey {
  /// The deadline of the request in its band; constant if requests are served
  /// in order of arrival.
  TimePoint urgency;
  std::uint64_t arrival = 0;
  RequestId request = 0;

  friend bool operator==(const QueueKey&, const QueueKey&) = default;
  friend bool operator<(const QueueKey& a, const QueueKey& b) {
    return std::tie(a.urgency, a.arrival, a.request) <
           std::tie(b.urgency, b.arrival, b.request);
  }
};

/// A request as its band's queue sees it.
struct QueuedRequest {
  TeamHash team = 0;
  QueueKey key;
  /// Expected slot-seconds.
  double cost = 0;
};

/// The queued requests of one band, in the order of start-time fair queueing
/// between teams.
///
/// Each team has a start tag, which grows by the slot-seconds that it uses; the
/// team with the lowest tag is served next, with its most urgent request. A
/// team that begins to wait starts at the virtual time, which is the highest
/// start tag that was served: unused shares are neither saved nor owed. When
/// nothing is queued or in flight, all tags are forgotten. With one team the
/// order is that of the keys.
class TeamQueue {
 public:
  bool empty() const { return m_by_urgency.empty(); }
  std::size_t size() const { return m_by_urgency.size(); }
  /// Number of teams whose state is kept.
  std::size_t known_teams() const { return m_teams.size(); }

  /// All requests, the most urgent one first. Must not be empty.
  const std::set<QueueKey>& by_urgency() const { return m_by_urgency; }
  const QueueKey& MostUrgent() const { return *m_by_urgency.begin(); }

  void Insert(const QueuedRequest& request);
  void Erase(const QueuedRequest& request);
  /// Removes all requests; what the teams have used stays known.
  void Clear();

  /// The request that is served next. Must not be empty.
  const QueueKey& Next() const;
  /// Whether the request would be served next if it were inserted.
  bool WouldBeNext(const QueuedRequest& request) const;
  /// Number of requests that are served before this one.
  std::size_t CountAhead(const QueuedRequest& request) const;

  /// A slot was granted to a request that is not or no longer queued: charges
  /// its expected cost to the team.
  void OnAdmitted(TeamHash team, double cost);
  /// An admitted request used `slot_seconds`, and not the expected cost.
  void OnReleased(TeamHash team, double cost, double slot_seconds);

  /// The team that has most requests queued, counting one more of `newcomer`;
  /// that of the newcomer if several have as many.
  TeamHash LargestBacklog(TeamHash newcomer) const;
  /// Queued requests of the team.
  std::size_t Backlog(TeamHash team) const;
  /// The request of the team that it would serve last. The team must have one.
  const QueueKey& LeastUrgent(TeamHash team) const;

 private:
  struct Team {
    std::set<QueueKey> queue;
    /// Sum of the expected costs of the queued requests.
    double queued_cost = 0;
    /// Start tag of the team's next request, in slot-seconds.
    double start = 0;
    std::size_t in_flight = 0;
  };
  using TeamMap = std::map<TeamHash, Team>;

  Team& FindOrAdd(TeamHash team);
  void ForgetIdleTeams();
  double StartOf(TeamHash team) const;
  TeamMap::const_iterator NextTeam() const;

  std::set<QueueKey> m_by_urgency;
  TeamMap m_teams;
  double m_virtual_time = 0;
  std::size_t m_in_flight = 0;
};

}  // namespace detail
}  // namespace banyantrail
