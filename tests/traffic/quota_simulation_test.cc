#include "traffic/quota_simulation.h"

#include <CppUTest/TestHarness.h>

#include <cmath>
#include <cstdio>
#include <numeric>
#include <string>

using banyantrail::Duration;
using banyantrail::MemberState;
using banyantrail::milliseconds;
using banyantrail::RoutedTeam;
using banyantrail::seconds;
using banyantrail::TeamName;
using banyantrail::testing::QuotaOutcome;
using banyantrail::testing::QuotaSimulation;

namespace {

constexpr Duration kWindow = seconds(5);
/// Time in which the buckets, which start empty, get their first tokens.
constexpr Duration kWarmUp = seconds(3);
constexpr double kMaxRefusedShare = 1.0 / 200;

struct Size {
  const char* name;
  std::size_t domains;
  std::size_t nodes;
};

constexpr Size kDeployment{"71 nodes", 3, 71};
constexpr Size kTarget{"1,100 nodes", 8, 1100};

/// Usual rates of the largest, a middle and the smallest team.
constexpr double kUsualRates[] = {530, 25, 3};

/// A typical limit: 1.6 times the usual rate, and as much burst.
RoutedTeam TeamFor(double usual_rate) {
  constexpr double kLimitFactor = 1.6;
  const double limit = std::round(kLimitFactor * usual_rate);
  return {.name = TeamName("surveyors"),
          .requests_per_s = limit,
          .burst = static_cast<std::uint32_t>(limit)};
}

/// Long enough for more than a thousand requests.
Duration DurationFor(double usual_rate) {
  if (usual_rate > 100) {
    return seconds(30);
  }
  return usual_rate > 10 ? seconds(120) : seconds(600);
}

double Bound(const RoutedTeam& team) {
  return (5.0 * team.requests_per_s + team.burst) * 1.1 + 20;
}

void Print(const std::string& what,
           const RoutedTeam& team,
           const QuotaOutcome& outcome) {
  std::printf(
      "  %-44s limit %4g/s: offered %6llu, refused %6.2f %%, in 5 s %5zu of "
      "%5.0f, messages %6llu, wait %lld ms\n",
      what.c_str(), team.requests_per_s,
      static_cast<unsigned long long>(outcome.offered),
      100 * outcome.RefusedShare(), outcome.MaxInWindow(kWindow), Bound(team),
      static_cast<unsigned long long>(outcome.messages),
      static_cast<long long>(
          std::chrono::duration_cast<milliseconds>(outcome.longest_wait)
              .count()));
}

bool KeepsBound(const QuotaSimulation& simulation, const RoutedTeam& team) {
  return static_cast<double>(simulation.outcome().MaxInWindow(kWindow)) <=
         Bound(team);
}

QuotaSimulation Make(const Size& size, const RoutedTeam& team) {
  return QuotaSimulation(
      {.domains = size.domains, .nodes = size.nodes, .team = team});
}

/// Runs a team at its usual rate on the nodes and returns whether it is
/// within the bound and hardly refused.
bool IsHardlyRefused(const Size& size,
                     double usual_rate,
                     const std::vector<std::size_t>& nodes,
                     const std::string& what) {
  const RoutedTeam team = TeamFor(usual_rate);
  QuotaSimulation simulation = Make(size, team);
  const Duration end = DurationFor(usual_rate);
  simulation.AddLoad(usual_rate, nodes, Duration{}, end);
  simulation.Run(kWarmUp);
  const bool keeps_bound = KeepsBound(simulation, team);
  simulation.ResetOutcome();
  simulation.Run(end + seconds(1));
  Print(std::string(size.name) + ", " + what, team, simulation.outcome());
  return keeps_bound && KeepsBound(simulation, team) &&
         simulation.outcome().RefusedShare() < kMaxRefusedShare;
}

}  // namespace

TEST_GROUP(QuotaSimulation){};

// A static part of 1/71 for each node would refuse small teams.
TEST(QuotaSimulation, EvenlySpreadCallersAreHardlyRefused) {
  for (const Size& size : {kDeployment, kTarget}) {
    for (const double rate : kUsualRates) {
      const std::vector<std::size_t> all = Make(size, TeamFor(rate)).AllNodes();
      CHECK(IsHardlyRefused(size, rate, all, "evenly spread"));
    }
  }
}

// Without loans between the domains, callers in one domain get its third of the
// limit only.
TEST(QuotaSimulation, CallersAtFewNodesAreHardlyRefused) {
  for (const Size& size : {kDeployment, kTarget}) {
    for (const double rate : kUsualRates) {
      CHECK(IsHardlyRefused(size, rate, {7}, "one node"));
      CHECK(IsHardlyRefused(size, rate, {0, 3, 6}, "three nodes of a domain"));
    }
  }
}

// The callers move to other nodes, and to another domain, every 3 s.
TEST(QuotaSimulation, MovingCallersAreHardlyRefused) {
  for (const Size& size : {kDeployment, kTarget}) {
    for (const double rate : kUsualRates) {
      const RoutedTeam team = TeamFor(rate);
      QuotaSimulation simulation = Make(size, team);
      const Duration end = DurationFor(rate);
      for (std::size_t i = 0; seconds(3) * i < end; ++i) {
        const Duration from = seconds(3) * i;
        const std::size_t node = 2 * i % 60;
        simulation.AddLoad(rate, {node, node + 3, node + 6}, from,
                           from + seconds(3));
      }
      simulation.Run(kWarmUp);
      simulation.ResetOutcome();
      simulation.Run(end + seconds(1));
      Print(std::string(size.name) + ", moving", team, simulation.outcome());
      CHECK(KeepsBound(simulation, team));
      CHECK(simulation.outcome().RefusedShare() < kMaxRefusedShare);
    }
  }
}

// A team that uses nearly all of its limit.
TEST(QuotaSimulation, TeamJustBelowItsLimitIsHardlyRefused) {
  for (const double limit : {848.0, 40.0}) {
    RoutedTeam team = TeamFor(1);
    team.requests_per_s = static_cast<std::uint32_t>(limit);
    team.burst = static_cast<std::uint32_t>(limit);
    for (const bool is_spread : {true, false}) {
      QuotaSimulation simulation = Make(kDeployment, team);
      simulation.AddLoad(
          0.9 * limit,
          is_spread ? simulation.AllNodes() : std::vector<std::size_t>{7},
          Duration{}, DurationFor(limit));
      simulation.Run(kWarmUp);
      simulation.ResetOutcome();
      simulation.Run(DurationFor(limit) + seconds(1));
      Print(std::string("71 nodes, 0.9 of the limit") +
                (is_spread ? ", evenly spread" : ", one node"),
            team, simulation.outcome());
      CHECK(simulation.outcome().RefusedShare() < kMaxRefusedShare);
    }
  }
}

// A team at 7.5 times its usual rate, evenly spread and at few nodes.
TEST(QuotaSimulation, FloodStaysWithinTheBound) {
  constexpr double kFlood = 7.5;
  const Duration end = seconds(30);
  for (const Size& size : {kDeployment, kTarget}) {
    for (const double rate : kUsualRates) {
      const RoutedTeam team = TeamFor(rate);
      for (const bool is_spread : {true, false}) {
        QuotaSimulation simulation = Make(size, team);
        const std::vector<std::size_t> nodes =
            is_spread ? simulation.AllNodes()
                      : std::vector<std::size_t>{0, 1, 2};
        // The bucket is full when the flood begins.
        simulation.AddLoad(rate / 10, nodes, Duration{}, seconds(10));
        simulation.AddLoad(kFlood * rate, nodes, seconds(10), end);
        simulation.Run(end + seconds(1));
        Print(std::string(size.name) + ", 7.5 times" +
                  (is_spread ? ", evenly spread" : ", three nodes"),
              team, simulation.outcome());
        CHECK(KeepsBound(simulation, team));
      }
    }
  }
}

// A limit below one was rounded down to 0, which is no limit.
TEST(QuotaSimulation, FloodOfATeamWithAFractionStaysWithinTheBound) {
  for (const Size& size : {kDeployment, kTarget}) {
    RoutedTeam team = TeamFor(0.5);
    team.requests_per_s = 0.8;
    team.burst = 0;
    QuotaSimulation simulation = Make(size, team);
    simulation.AddLoad(40, simulation.AllNodes(), Duration{}, seconds(30));
    simulation.Run(seconds(31));
    Print(std::string(size.name) + ", limit below one", team,
          simulation.outcome());
    CHECK(KeepsBound(simulation, team));
    CHECK(simulation.outcome().MaxInWindow(kWindow) > 0);
  }
}

// The new limit is binding one window later.
TEST(QuotaSimulation, LoweredLimitIsBindingOneWindowLater) {
  for (const Size& size : {kDeployment, kTarget}) {
    RoutedTeam team = TeamFor(530);
    QuotaSimulation simulation = Make(size, team);
    simulation.AddLoad(530, simulation.AllNodes(), Duration{}, seconds(40));
    simulation.Run(seconds(10));
    team.requests_per_s = 40;
    team.burst = 40;
    simulation.SetTeam(team);
    simulation.Run(seconds(15));
    simulation.ResetOutcome();
    simulation.Run(seconds(41));
    Print(std::string(size.name) + ", limit lowered", team,
          simulation.outcome());
    CHECK(KeepsBound(simulation, team));
  }
}

// Guards against a second holder that lends while the first still does, and
// against requests that wait for a dead one.
TEST(QuotaSimulation, KilledHolderIsReplaced) {
  const RoutedTeam team = TeamFor(530);
  QuotaSimulation simulation = Make(kDeployment, team);
  simulation.AddLoad(530, simulation.AllNodes(), Duration{}, seconds(40));
  simulation.Run(seconds(10));
  simulation.ResetOutcome();
  const std::size_t holder = simulation.HolderOf(0);
  simulation.Kill(holder);
  simulation.At(milliseconds(11'500), [&simulation, holder] {
    simulation.SetState(simulation.AllNodes(), holder, MemberState::kDead);
  });
  simulation.At(seconds(20), [&simulation, holder] {
    simulation.Start(holder);
    simulation.SetState(simulation.AllNodes(), holder, MemberState::kAlive);
  });
  simulation.Run(seconds(41));
  Print("71 nodes, holder killed and restarted", team, simulation.outcome());
  CHECK(KeepsBound(simulation, team));
  CHECK(simulation.outcome().RefusedShare() < kMaxRefusedShare);
  CHECK(simulation.outcome().longest_wait <= milliseconds(50));
}

// Half of the nodes take the holder for dead for 2 s, in which a flood begins
// and both holders lend. Without the takeover delay the sum exceeds the bound.
TEST(QuotaSimulation, TwoMembershipViewsStayWithinTheBound) {
  const RoutedTeam team = TeamFor(530);
  QuotaSimulation simulation = Make(kDeployment, team);
  simulation.AddLoad(53, simulation.AllNodes(), Duration{}, seconds(10));
  simulation.AddLoad(7.5 * 530, simulation.AllNodes(), seconds(10),
                     seconds(20));
  const std::size_t holder = simulation.HolderOf(70);
  std::vector<std::size_t> half = simulation.AllNodes();
  half.resize(half.size() / 2);
  std::erase(half, holder);
  simulation.At(seconds(10),
                [&] { simulation.SetState(half, holder, MemberState::kDead); });
  simulation.At(seconds(12), [&] {
    simulation.SetState(half, holder, MemberState::kAlive);
  });
  simulation.Run(seconds(21));
  Print("71 nodes, two views for 2 s, 7.5 times", team, simulation.outcome());
  CHECK(KeepsBound(simulation, team));
}

// A domain without contact to the others lends its own part only, also when
// the others count its members as dead and it counts them as dead.
TEST(QuotaSimulation, PartitionedDomainStaysWithinTheBound) {
  const RoutedTeam team = TeamFor(530);
  for (const double factor : {1.0, 7.5}) {
    QuotaSimulation simulation = Make(kDeployment, team);
    simulation.AddLoad(factor * 530, simulation.AllNodes(), Duration{},
                       seconds(40));
    simulation.Run(seconds(10));
    simulation.ResetOutcome();
    const std::vector<std::size_t> cut = simulation.NodesOf(0);
    simulation.Partition({cut.begin(), cut.end()});
    simulation.At(milliseconds(11'500), [&simulation] {
      for (const std::size_t a : simulation.AllNodes()) {
        for (const std::size_t b : simulation.AllNodes()) {
          if ((simulation.DomainOf(a) == 0) != (simulation.DomainOf(b) == 0)) {
            simulation.SetState({a}, b, MemberState::kDead);
          }
        }
      }
    });
    simulation.Run(seconds(41));
    Print("71 nodes, a domain cut off, " + std::to_string(factor) + " times",
          team, simulation.outcome());
    CHECK(KeepsBound(simulation, team));
    if (factor == 1.0) {
      CHECK(simulation.outcome().RefusedShare() < kMaxRefusedShare);
    }
  }
}

// Two sides of a domain that each take the other for dead have a holder each.
// If each lent the whole part of the domain, a flood would exceed the bound.
TEST(QuotaSimulation, PartitionWithinADomainStaysWithinTheBound) {
  const RoutedTeam team = TeamFor(530);
  QuotaSimulation simulation = Make(kDeployment, team);
  simulation.AddLoad(53, simulation.AllNodes(), Duration{}, seconds(15));
  simulation.AddLoad(7.5 * 530, simulation.AllNodes(), seconds(15),
                     seconds(25));
  simulation.Run(seconds(10));
  const std::vector<std::size_t> domain = simulation.NodesOf(0);
  const std::set<std::size_t> side(domain.begin(), domain.begin() + 12);
  simulation.Partition(side);
  simulation.At(milliseconds(11'500), [&simulation, &side] {
    for (const std::size_t a : simulation.AllNodes()) {
      for (const std::size_t b : simulation.AllNodes()) {
        if (side.contains(a) != side.contains(b)) {
          simulation.SetState({a}, b, MemberState::kDead);
        }
      }
    }
  });
  simulation.Run(seconds(26));
  Print("71 nodes, half of a domain cut off, 7.5 times", team,
        simulation.outcome());
  CHECK(KeepsBound(simulation, team));
}
