// Fair queueing between teams at one backend server: one team sends far more
// than usual, and the others must not notice.

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <cmath>
#include <functional>
#include <map>
#include <numeric>
#include <optional>
#include <queue>
#include <vector>

#include "banyantrail/core/random.h"
#include "banyantrail/traffic/admission.h"

using banyantrail::AdmissionChanges;
using banyantrail::AdmissionOptions;
using banyantrail::AdmissionQueue;
using banyantrail::Admitted;
using banyantrail::milliseconds;
using banyantrail::OfferResult;
using banyantrail::Queued;
using banyantrail::RefusalReason;
using banyantrail::Refused;
using banyantrail::RequestId;
using banyantrail::Rng;
using banyantrail::seconds;
using banyantrail::TeamHash;
using banyantrail::TimePoint;

namespace {

constexpr std::size_t kTeams = 78;
constexpr double kSkew = 1.2;
constexpr double kFloodFactor = 7.5;
constexpr std::uint32_t kSlots = 12;
constexpr milliseconds kDeadline{1500};
constexpr milliseconds kTarget{800};
constexpr int kRunMs = 60'000;
constexpr int kMaxRetries = 10;

TimePoint At(int ms) {
  return TimePoint{} + seconds(1000) + milliseconds(ms);
}

AdmissionOptions Options(std::uint32_t slots = kSlots) {
  AdmissionOptions options{.announced_slots = slots,
                           .ranks = {{.priority = 0, .share_percent = 100}}};
  options.limit.adaptive = false;
  return options;
}

/// Requests per second of each team, as parts of the sum of the usual rates.
std::vector<double> UsualRates() {
  std::vector<double> rates(kTeams);
  double sum = 0;
  for (std::size_t i = 0; i < kTeams; ++i) {
    rates[i] = std::pow(static_cast<double>(i + 1), -kSkew);
    sum += rates[i];
  }
  for (double& rate : rates) {
    rate /= sum;
  }
  return rates;
}

struct Load {
  /// Rates by team, in the unit of `capacity`.
  std::vector<double> rates = UsualRates();
  double capacity = 1;
  /// If false, all requests are offered without a team.
  bool with_teams = true;
  /// Team whose refused requests are offered again in the next millisecond, up
  /// to kMaxRetries times.
  std::optional<std::size_t> immediate_retries = std::nullopt;
};

struct Served {
  std::vector<double> offered = std::vector<double>(kTeams);
  std::vector<double> served = std::vector<double>(kTeams);
  /// Refused after waiting in the queue.
  double refused_late = 0;

  double Fraction(std::size_t team) const {
    return offered[team] > 0 ? served[team] / offered[team] : 1;
  }
  double FractionOfAll() const { return Sum(served) / Sum(offered); }
  double SumWithout(std::size_t team) const {
    return Sum(served) - served[team];
  }
  static double Sum(const std::vector<double>& values) {
    return std::accumulate(values.begin(), values.end(), 0.0);
  }
};

class Replay {
 public:
  explicit Replay(Load load) : m_load(std::move(load)) {}

  Served Run() {
    const double slot_ms_per_ms = kSlots / m_load.capacity;
    for (int ms = 0; ms < kRunMs; ++ms) {
      Complete(ms);
      Apply(m_queue.Expire(At(ms)), ms);
      std::vector<Sender> retries;
      retries.swap(m_retries);
      for (const Sender& sender : retries) {
        Offer(sender, ms);
      }
      for (std::size_t team = 0; team < kTeams; ++team) {
        const double mean = m_load.rates[team] * slot_ms_per_ms / kMeanMs;
        for (int n = std::poisson_distribution<int>(mean)(m_rng); n > 0; --n) {
          ++m_result.offered[team];
          Offer({.team = team}, ms);
        }
      }
    }
    return m_result;
  }

 private:
  static constexpr double kMeanMs = 180;

  struct Sender {
    std::size_t team = 0;
    int retries = 0;
  };

  struct Completion {
    int at = 0;
    RequestId request = 0;
    int service_ms = 0;
    bool operator>(const Completion& other) const { return at > other.at; }
  };

  void Offer(const Sender& sender, int ms) {
    const RequestId id = ++m_last;
    m_senders[id] = sender;
    const OfferResult result =
        m_queue.Offer({.id = id,
                       .deadline = At(ms) + kDeadline,
                       .target = At(ms) + kTarget,
                       .kind = 1,
                       .team = m_load.with_teams ? sender.team + 1 : 0},
                      At(ms));
    if (std::holds_alternative<Admitted>(result)) {
      Start(id, ms);
    } else if (std::holds_alternative<Refused>(result)) {
      OnRefused(id);
    }
  }

  void OnRefused(RequestId id) {
    const Sender& sender = m_senders.at(id);
    if (m_load.immediate_retries == sender.team &&
        sender.retries < kMaxRetries) {
      m_retries.push_back({sender.team, sender.retries + 1});
    }
  }

  void Start(RequestId id, int ms) {
    const int service_ms = std::uniform_int_distribution<int>(
        static_cast<int>(kMeanMs) - 80, static_cast<int>(kMeanMs) + 80)(m_rng);
    m_completions.push({ms + service_ms, id, service_ms});
  }

  void Apply(const AdmissionChanges& changes, int ms) {
    for (const RequestId id : changes.admitted) {
      Start(id, ms);
    }
    for (const auto& refused : changes.refused) {
      ++m_result.refused_late;
      OnRefused(refused.request);
    }
  }

  void Complete(int ms) {
    while (!m_completions.empty() && m_completions.top().at <= ms) {
      const Completion done = m_completions.top();
      m_completions.pop();
      ++m_result.served[m_senders.at(done.request).team];
      Apply(m_queue.Release(done.request,
                            {.latency = milliseconds(done.service_ms)}, At(ms)),
            ms);
    }
  }

  Load m_load;
  AdmissionQueue m_queue{Options()};
  std::priority_queue<Completion, std::vector<Completion>, std::greater<>>
      m_completions;
  std::map<RequestId, Sender> m_senders;
  std::vector<Sender> m_retries;
  RequestId m_last = 0;
  Rng m_rng{20261206};
  Served m_result;
};

/// The usual load with one team at a multiple of its rate.
Load Flood(std::size_t team, double capacity) {
  Load load{.capacity = capacity};
  load.rates[team] *= kFloodFactor;
  return load;
}

constexpr double kOverload = 0.8;

/// 0.8 of the sum of the rates with the flood.
double CapacityWithFlood(std::size_t team) {
  return kOverload * Served::Sum(Flood(team, 1).rates);
}

/// Compares the teams other than the flooding one with and without the flood.
void CheckFlood(std::size_t team, double capacity, bool bounds_every_team) {
  const Served usual = Replay({.capacity = capacity}).Run();
  const Served flood = Replay(Flood(team, capacity)).Run();
  CHECK(flood.SumWithout(team) >= 0.9 * usual.SumWithout(team));
  for (std::size_t i = 0; i < kTeams; ++i) {
    if (i != team || bounds_every_team) {
      CHECK(flood.Fraction(i) >= 0.25 * flood.FractionOfAll());
    }
  }
}

}  // namespace

TEST_GROUP(TeamFlood) {
  AdmissionQueue queue{Options(1)};
  RequestId last = 0;

  OfferResult Offer(TeamHash team, int deadline_ms) {
    return queue.Offer(
        {.id = ++last, .deadline = At(deadline_ms), .team = team}, At(0));
  }
};

TEST(TeamFlood, OtherTeamsKeepTheirServiceWhenOneFloods) {
  for (const std::size_t team : {std::size_t{0}, std::size_t{9}, kTeams - 1}) {
    CheckFlood(team, CapacityWithFlood(team), true);
  }
}

// The capacity is below the usual load, so that even without the flood the
// largest teams get less than they ask for.
TEST(TeamFlood, OtherTeamsKeepTheirServiceOnAnOverloadedBackendServer) {
  for (const std::size_t team : {std::size_t{0}, std::size_t{9}, kTeams - 1}) {
    CheckFlood(team, kOverload, false);
  }
}

// Checks that the load pattern needs the teams: in order of urgency alone the
// others lose more than a tenth.
TEST(TeamFlood, WithoutTeamsTheOthersLoseTheirService) {
  Load load = Flood(0, kOverload);
  load.with_teams = false;
  const Served usual =
      Replay({.capacity = kOverload, .with_teams = false}).Run();
  CHECK(Replay(load).Run().SumWithout(0) < 0.6 * usual.SumWithout(0));
}

TEST(TeamFlood, ShareOfAnIdleTeamIsUsed) {
  Load load{.capacity = kOverload};
  std::fill(load.rates.begin() + 1, load.rates.end(), 0.0);
  load.rates[0] = 1;
  const Served alone = Replay(load).Run();
  load.with_teams = false;
  const Served without_teams = Replay(load).Run();
  DOUBLES_EQUAL(without_teams.served[0], alone.served[0], 0);
  CHECK(alone.served[0] >= 0.95 * kOverload * alone.offered[0]);
}

TEST(TeamFlood, ImmediateRetriesGainNothing) {
  Load load = Flood(0, kOverload);
  const Served patient = Replay(load).Run();
  load.immediate_retries = 0;
  const Served retrying = Replay(load).Run();
  CHECK(retrying.served[0] <= 1.05 * patient.served[0]);
  CHECK(retrying.SumWithout(0) >= 0.95 * patient.SumWithout(0));
}

TEST(TeamFlood, FullQueueRefusesTheLeastUrgentRequestOfTheLargestBacklog) {
  Offer(1, 5000);
  for (const int deadline_ms : {5000, 7000, 6000, 5500}) {
    CHECK(Offer(1, deadline_ms) == OfferResult(Queued{}));
  }
  const RequestId least_urgent = 3;
  CHECK(Offer(2, 9000) == OfferResult(Queued{}));
  CHECK(queue.NextWakeup(At(0)) == At(0));
  const AdmissionChanges changes = queue.Expire(At(0));
  CHECK(changes.refused ==
        (std::vector<banyantrail::RefusedRequest>{
            {.request = least_urgent, .reason = RefusalReason::kTeamShare}}));
}

TEST(TeamFlood, FloodingTeamIsRefusedForItsShareAndNotForTheQueue) {
  for (int i = 0; i < 5; ++i) {
    Offer(1, 5000);
  }
  CHECK(Offer(1, 5000) ==
        OfferResult(Refused{.reason = RefusalReason::kTeamShare}));
}

// If every team has one request in the queue, it is full for each of them, and
// the entry node may remember that.
TEST(TeamFlood, QueueWithOneRequestOfEachTeamIsFull) {
  for (TeamHash team = 1; team <= 5; ++team) {
    Offer(team, 5000);
  }
  CHECK(Offer(6, 5000) ==
        OfferResult(Refused{.reason = RefusalReason::kQueueFull}));
}

// A team whose requests turn out to be long must not get more than its part of
// the time, although it gets fewer requests served.
TEST(TeamFlood, TeamsShareServiceTimeAndNotRequests) {
  std::map<TeamHash, int> served_ms;
  std::map<RequestId, TeamHash> team_of;
  Offer(1, 900'000);
  team_of[last] = 1;
  RequestId running = last;
  int now = 0;
  for (int i = 0; i < 400; ++i) {
    for (const TeamHash team : {TeamHash{1}, TeamHash{2}}) {
      const OfferResult result = queue.Offer(
          {.id = ++last, .deadline = At(900'000), .team = team}, At(now));
      team_of[last] = team;
      CHECK(!std::holds_alternative<Admitted>(result));
    }
    const int service_ms = team_of[running] == 1 ? 100 : 20;
    now += service_ms;
    served_ms[team_of[running]] += service_ms;
    running =
        queue.Release(running, {.latency = milliseconds(service_ms)}, At(now))
            .admitted.at(0);
  }
  CHECK(served_ms[1] <= 1.1 * served_ms[2]);
  CHECK(served_ms[2] <= 1.1 * served_ms[1]);
}
