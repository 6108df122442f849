#include "banyantrail/traffic/team_queue.h"

#include <CppUTest/TestHarness.h>

#include <cstdlib>
#include <map>
#include <vector>

#include "banyantrail/core/random.h"

using banyantrail::milliseconds;
using banyantrail::RequestId;
using banyantrail::Rng;
using banyantrail::TeamHash;
using banyantrail::TimePoint;
using banyantrail::detail::QueuedRequest;
using banyantrail::detail::TeamQueue;

TEST_GROUP(TeamQueue) {
  TeamQueue queue;
  std::uint64_t arrivals = 0;

  QueuedRequest Request(TeamHash team, int deadline_ms, double cost = 0.1) {
    ++arrivals;
    return {.team = team,
            .key = {.urgency = TimePoint{} + milliseconds(deadline_ms),
                    .arrival = arrivals,
                    .request = arrivals},
            .cost = cost};
  }

  QueuedRequest Insert(TeamHash team, int deadline_ms, double cost = 0.1) {
    const QueuedRequest request = Request(team, deadline_ms, cost);
    queue.Insert(request);
    return request;
  }

  /// Serves all requests and returns their positions.
  std::map<RequestId, int> Serve(
      const std::map<RequestId, QueuedRequest>& requests) {
    std::map<RequestId, int> positions;
    while (!queue.empty()) {
      const QueuedRequest request = requests.at(queue.Next().request);
      positions.emplace(request.key.request,
                        static_cast<int>(positions.size()));
      queue.Erase(request);
      queue.OnAdmitted(request.team, request.cost);
    }
    return positions;
  }
};

// Guards against an estimate in order of urgency, by which a request of a team
// without backlog would wait behind the whole flood.
TEST(TeamQueue, RequestOfATeamWithoutBacklogHasFewAhead) {
  constexpr int kFlood = 40;
  for (int i = 0; i < kFlood; ++i) {
    Insert(1, i);
  }
  CHECK(queue.CountAhead(Request(2, 1000)) <= 1);
  LONGS_EQUAL(kFlood, queue.CountAhead(Request(1, 1000)));
}

// The estimate and the order may differ by the teams whose tags are equal.
TEST(TeamQueue, CountsWhatTheOrderServesFirst) {
  constexpr int kSeeds = 200;
  constexpr int kTeams = 5;
  constexpr int kRequests = 40;
  for (int seed = 0; seed < kSeeds; ++seed) {
    Rng rng(static_cast<Rng::result_type>(seed));
    queue = {};
    std::map<RequestId, QueuedRequest> requests;
    std::uniform_int_distribution<int> team(1, kTeams);
    std::uniform_int_distribution<int> deadline(0, 1000);
    for (int i = 0; i < kRequests; ++i) {
      const int picked = team(rng);
      const QueuedRequest request =
          Insert(static_cast<TeamHash>(picked), deadline(rng), 0.05 * picked);
      requests[request.key.request] = request;
    }
    const int picked = team(rng);
    const QueuedRequest last =
        Request(static_cast<TeamHash>(picked), deadline(rng), 0.05 * picked);
    const auto ahead = static_cast<int>(queue.CountAhead(last));
    queue.Insert(last);
    requests[last.key.request] = last;
    CHECK(std::abs(Serve(requests).at(last.key.request) - ahead) <= kTeams);
  }
}

// A team must not save up the share that it did not use, and must not owe what
// it used while it was alone.
TEST(TeamQueue, UnusedShareIsNeitherSavedNorOwed) {
  // Keeps the queue from being idle.
  queue.OnAdmitted(3, 0.1);
  for (int i = 0; i < 100; ++i) {
    queue.OnAdmitted(1, 0.1);
    queue.OnReleased(1, 0.1, 0.1);
  }
  std::map<RequestId, QueuedRequest> requests;
  std::vector<RequestId> of_first;
  for (int i = 0; i < 10; ++i) {
    for (const TeamHash team : {TeamHash{1}, TeamHash{2}}) {
      const QueuedRequest request = Insert(team, i);
      requests[request.key.request] = request;
      if (team == 1) {
        of_first.push_back(request.key.request);
      }
    }
  }
  const std::map<RequestId, int> positions = Serve(requests);
  for (int i = 0; i < 10; ++i) {
    const int position = positions.at(of_first[static_cast<std::size_t>(i)]);
    CHECK(std::abs(position - 2 * i) <= 2);
  }
}

// The expected time may be far off; the real one is charged.
TEST(TeamQueue, LongerRequestsAreChargedAtTheirEnd) {
  Insert(1, 0);
  Insert(2, 1000);
  queue.OnAdmitted(1, 0.1);
  queue.OnAdmitted(2, 0.1);
  queue.OnReleased(1, 0.1, 5.0);
  queue.OnReleased(2, 0.1, 0.1);
  LONGS_EQUAL(2, queue.Next().request);
}

// A team that used a slot for long while nobody waited owes nothing afterwards.
TEST(TeamQueue, IdleTimeEndsAllDebts) {
  queue.OnAdmitted(1, 0.1);
  queue.OnReleased(1, 0.1, 5.0);
  Insert(1, 0);
  Insert(2, 1000);
  LONGS_EQUAL(1, queue.Next().request);
}

// Guards against memory that grows with each new name, while the queue is never
// idle.
TEST(TeamQueue, ManyTeamsAreForgotten) {
  queue.OnAdmitted(0, 0.1);
  for (TeamHash team = 1; team <= 10'000; ++team) {
    queue.OnAdmitted(team, 0.1);
    queue.OnReleased(team, 0.1, 0.1);
  }
  CHECK(queue.known_teams() <= 300);
}
