// Simulates load spikes of each rank in turn, in virtual time, on the fleets of
// both users. Prints the goodput and the p99 latency of each rank under several
// admission policies. Every policy gets the same arrivals and service times.

#include <tclap/CmdLine.h>

#include <cstdio>
#include <vector>

#include "bench/load_spike_simulation.h"

namespace {

using banyantrail::AdmissionOptions;
using banyantrail::bench::Fleet;
using banyantrail::bench::LoadSpike;
using banyantrail::bench::LoadSpikeResult;
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
          {.name = "first come, first served",
           .options = {.order_by_rank = false,
                       .guarantee_shares = false,
                       .reserve_slots = false,
                       .refuse_early = false}}};
}

/// One load spike per rank, from the least to the most urgent rank.
std::vector<LoadSpike> SpikesOf(const Fleet& fleet, double factor) {
  std::vector<LoadSpike> spikes;
  for (auto rank = fleet.ranks.rbegin(); rank != fleet.ranks.rend(); ++rank) {
    spikes.push_back({.priority = rank->priority, .factor = factor});
  }
  return spikes;
}

void PrintResult(const Fleet& fleet,
                 const Policy& policy,
                 const LoadSpikeResult& result) {
  for (std::size_t i = 0; i < fleet.ranks.size(); ++i) {
    const RankResult& rank = result.ranks[i];
    std::printf(
        "| %s | %s | %s %.0fx | %s | %llu | %.2f | %.0f | %.2f | "
        "%.2f | %.1f | %llu | %.1f |\n",
        fleet.name.c_str(), policy.name,
        fleet.ranks[result.spike.priority].name.c_str(), result.spike.factor,
        fleet.ranks[i].name.c_str(),
        static_cast<unsigned long long>(rank.offered),
        kPercent * rank.GoodRatio(), kMillisecondsPerSecond * rank.p99_seconds,
        kPercent * rank.slot_time_share, kPercent * rank.useful_slot_time_share,
        rank.recovery_seconds,
        static_cast<unsigned long long>(rank.shed_by_backend_server),
        kPercent * result.capacity_used);
  }
}

void RunFleet(const Fleet& fleet, std::uint64_t seed) {
  for (const double factor : kFactors) {
    for (const Policy& policy : Policies()) {
      const SimulationOptions options{.fleet = fleet,
                                      .spikes = SpikesOf(fleet, factor),
                                      .admission = policy.options,
                                      .seed = seed};
      for (const LoadSpikeResult& result : Simulate(options)) {
        PrintResult(fleet, policy, result);
      }
    }
  }
}

/// Simulates backend servers that announce three times the slots they have.
void RunOverstatedSlots(const Fleet& fleet, std::uint64_t seed) {
  const std::vector<Policy> policies = {
      {.name = "adaptive limit", .options = {}},
      {.name = "announced slots", .options = {.limit = {.adaptive = false}}}};
  for (const Policy& policy : policies) {
    const SimulationOptions options{.fleet = fleet,
                                    .spikes = SpikesOf(fleet, 3),
                                    .admission = policy.options,
                                    .announced_slots_factor = 3,
                                    .seed = seed};
    for (const LoadSpikeResult& result : Simulate(options)) {
      PrintResult(fleet, policy, result);
    }
  }
}

}  // namespace

int main(int argc, char** argv) {
  TCLAP::CmdLine command("Simulates load spikes of each rank in virtual time.");
  TCLAP::ValueArg<std::uint64_t> seed("", "seed", "Seed of the simulation.",
                                      false, 1, "number", command);
  command.parse(argc, argv);
  std::printf(
      "| fleet | policy | load spike | rank | offered | good %% | p99 ms | "
      "slot "
      "time %% | useful slot time %% | recovery s | shed | capacity used %% |\n"
      "|---|---|---|---|---|---|---|---|---|---|---|---|\n");
  RunFleet(banyantrail::bench::LiushuFleet(), seed.getValue());
  RunFleet(banyantrail::bench::PistaClaraFleet(), seed.getValue());
  RunOverstatedSlots(banyantrail::bench::LiushuFleet(), seed.getValue());
  RunOverstatedSlots(banyantrail::bench::PistaClaraFleet(), seed.getValue());
  return 0;
}
