// Floods of each rank, one after the other, at both users' sizes: goodput and
// p99 of each rank, paired against first come, first served. Virtual time.

#include <tclap/CmdLine.h>

#include <cstdio>
#include <vector>

#include "bench/flood_simulation.h"

namespace {

using banyantrail::AdmissionOptions;
using banyantrail::bench::Fleet;
using banyantrail::bench::Flood;
using banyantrail::bench::FloodResult;
using banyantrail::bench::RankResult;
using banyantrail::bench::SimulationOptions;

constexpr double kFactors[] = {1, 3, 10};
constexpr double kPercent = 100;
constexpr double kMillisecondsPerSecond = 1000;

struct Policy {
  const char* name;
  AdmissionOptions options;
};

std::vector<Policy> Policies() {
  return {{.name = "ranks", .options = {}},
          {.name = "strict priority",
           .options = {.guarantee_shares = false, .reserve_slots = false}},
          {.name = "first come",
           .options = {.order_by_rank = false,
                       .guarantee_shares = false,
                       .reserve_slots = false,
                       .refuse_early = false}}};
}

/// Floods of the least urgent rank first, up to the most urgent.
std::vector<Flood> FloodsOf(const Fleet& fleet, double factor) {
  std::vector<Flood> floods;
  for (auto rank = fleet.ranks.rbegin(); rank != fleet.ranks.rend(); ++rank) {
    floods.push_back({.priority = rank->priority, .factor = factor});
  }
  return floods;
}

void PrintResult(const Fleet& fleet,
                 const Policy& policy,
                 const FloodResult& result) {
  for (std::size_t i = 0; i < fleet.ranks.size(); ++i) {
    const RankResult& rank = result.ranks[i];
    std::printf(
        "| %s | %s | %s %.0fx | %s | %llu | %.2f | %.0f | %.2f | "
        "%.2f | %.1f | %llu | %.1f |\n",
        fleet.name.c_str(), policy.name,
        fleet.ranks[result.flood.priority].name.c_str(), result.flood.factor,
        fleet.ranks[i].name.c_str(),
        static_cast<unsigned long long>(rank.offered),
        kPercent * rank.GoodRatio(), kMillisecondsPerSecond * rank.p99_seconds,
        kPercent * rank.held_share, kPercent * rank.kept_share,
        rank.recovery_seconds,
        static_cast<unsigned long long>(rank.shed_by_backend_server),
        kPercent * result.capacity_used);
  }
}

void RunFleet(const Fleet& fleet, std::uint64_t seed) {
  for (const double factor : kFactors) {
    for (const Policy& policy : Policies()) {
      const SimulationOptions options{.fleet = fleet,
                                      .floods = FloodsOf(fleet, factor),
                                      .admission = policy.options,
                                      .seed = seed};
      for (const FloodResult& result : Simulate(options)) {
        PrintResult(fleet, policy, result);
      }
    }
  }
}

/// Backend servers that announce three times the slots they have.
void RunOverstated(const Fleet& fleet, std::uint64_t seed) {
  const std::vector<Policy> policies = {
      {.name = "adaptive limit", .options = {}},
      {.name = "announced slots", .options = {.limit = {.adaptive = false}}}};
  for (const Policy& policy : policies) {
    const SimulationOptions options{.fleet = fleet,
                                    .floods = FloodsOf(fleet, 3),
                                    .admission = policy.options,
                                    .announced_per_slot = 3,
                                    .seed = seed};
    for (const FloodResult& result : Simulate(options)) {
      PrintResult(fleet, policy, result);
    }
  }
}

}  // namespace

int main(int argc, char** argv) {
  TCLAP::CmdLine command("Simulates floods of each rank in virtual time.");
  TCLAP::ValueArg<std::uint64_t> seed("", "seed", "Seed of the simulation.",
                                      false, 1, "number", command);
  command.parse(argc, argv);
  std::printf(
      "| fleet | policy | flood | rank | offered | good %% | p99 ms | slots "
      "held %% | slots of good answers %% | recovery s | shed | capacity used "
      "%% |\n"
      "|---|---|---|---|---|---|---|---|---|---|---|---|\n");
  RunFleet(banyantrail::bench::LiushuFleet(), seed.getValue());
  RunFleet(banyantrail::bench::PistaClaraFleet(), seed.getValue());
  RunOverstated(banyantrail::bench::LiushuFleet(), seed.getValue());
  RunOverstated(banyantrail::bench::PistaClaraFleet(), seed.getValue());
  return 0;
}
