// Compares strategies of distributing a release to a fleet: bytes, hops and
// time for several fleet sizes and percentages of dead nodes. All nodes run the
// distribution protocol in one process over a simulated network with a latency
// per hop. Times are virtual, so the results do not depend on the machine.

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <string>
#include <vector>

#include "banyantrail/config/release_head.h"
#include "distribution/simulated_network.h"

namespace banyantrail::testing {
namespace {

constexpr std::size_t kObjectCount = 800;
constexpr std::size_t kObjectBytes = 150;
constexpr std::uint64_t kSeedCount = 3;
constexpr Duration kWarmUp = seconds(3);
constexpr Duration kMeasuredDuration = seconds(3);
constexpr double kPlatformReadsPerSecond = 2000;
constexpr std::size_t kRelaysPerDomain = 2;

/// A configuration of the distribution protocol under test.
struct Strategy {
  const char* name;
  DistributionMode mode = DistributionMode::kTree;
  Duration digest_interval = seconds(1);
  std::size_t small_delta_bytes = std::size_t{4} << 10U;
};

constexpr Strategy kStrategies[] = {
    {.name = "tree + anti-entropy"},
    {.name = "tree alone", .digest_interval = Duration::zero()},
    {.name = "tree, delayed second push", .small_delta_bytes = 0},
    {.name = "tree, full releases",
     .mode = DistributionMode::kTreeWholeReleases},
    {.name = "gossip, no tree", .mode = DistributionMode::kGossip},
    {.name = "platform watch per node",
     .mode = DistributionMode::kPlatformWatch},
};

struct FleetSize {
  std::size_t domains;
  std::size_t nodes_per_domain;
};

constexpr FleetSize kFleetSizes[] = {{3, 4},
                                     {4, 10},
                                     {4, 25},
                                     {8, 50},
                                     {8, 137}};
constexpr int kDeadPercents[] = {0, 5, 30};

Release MakeBenchRelease(std::uint64_t revision) {
  Release release = MakeRelease(revision, kObjectCount);
  for (auto& [key, text] : release.objects) {
    text.resize(kObjectBytes, ' ');
  }
  release.digest = DigestOf(release.objects);
  return release;
}

/// Calls and bytes that a node needs to read a new release from the platform:
/// the release head and the changed chunks.
struct PlatformReadCost {
  std::size_t calls = 0;
  std::size_t bytes = 0;
};

PlatformReadCost CostOfPlatformRead(const Release& before,
                                    const Release& after) {
  ReleaseHead head{.revision = after.revision.number,
                   .digest = after.digest,
                   .parent = before.digest,
                   .change = after.change};
  const std::vector<ReleaseChunk> old_chunks = SplitIntoChunks(before.objects);
  PlatformReadCost cost;
  for (const ReleaseChunk& chunk : SplitIntoChunks(after.objects)) {
    head.chunks.push_back(chunk.digest);
    if (std::find(old_chunks.begin(), old_chunks.end(), chunk) ==
        old_chunks.end()) {
      ++cost.calls;
      cost.bytes += ToJson(chunk).dump().size();
    }
  }
  for (std::size_t i = 0; i < kMaxRecentChanges; ++i) {
    head.recent_changes.push_back({.change = after.change, .revision = i});
  }
  // The watch that returns the change and the read of the head.
  cost.calls += 2;
  cost.bytes += 2 * ToJson(head).dump().size();
  return cost;
}

/// Results of one table row, accumulated over all seeds.
struct TableRow {
  std::vector<double> times_ms;
  std::size_t alive = 0;
  std::size_t up_to_date = 0;
  std::size_t max_hops = 0;
  double idle_bytes_per_second = 0;
  double bytes = 0;
  std::uint64_t busiest_node_bytes = 0;
  std::size_t platform_reads = 0;
};

/// A node that reads the release from the platform, and when its read is
/// complete. The platform's rate limit serialises the reads.
struct ScheduledRead {
  std::size_t node;
  Duration delay;
};

std::vector<ScheduledRead> ScheduleReads(const Strategy& strategy,
                                         const FleetSize& size,
                                         const PlatformReadCost& read_cost) {
  const bool every_node_reads =
      strategy.mode == DistributionMode::kPlatformWatch;
  const std::size_t readers_per_domain =
      every_node_reads ? size.nodes_per_domain : kRelaysPerDomain;
  std::vector<ScheduledRead> reads;
  for (std::size_t domain = 0; domain < size.domains; ++domain) {
    for (std::size_t i = 0; i < readers_per_domain; ++i) {
      const double seconds_needed =
          static_cast<double>((reads.size() + 1) * read_cost.calls) /
          kPlatformReadsPerSecond;
      reads.push_back({.node = domain * size.nodes_per_domain + i,
                       .delay = std::chrono::duration_cast<Duration>(
                           std::chrono::duration<double>(seconds_needed))});
    }
  }
  return reads;
}

void KillRandomNodes(SimulatedNetwork& network, int percent) {
  for (std::size_t i = 0; i < network.nodes().size(); ++i) {
    if (UniformIndex(network.rng(), 100) < static_cast<std::size_t>(percent)) {
      network.Kill(i);
    }
  }
}

void RunOnce(const Strategy& strategy,
             const FleetSize& size,
             int dead_percent,
             std::uint64_t seed,
             TableRow& row) {
  const Release before = MakeBenchRelease(1);
  const Release after = MakeBenchRelease(2);
  const PlatformReadCost read_cost = CostOfPlatformRead(before, after);
  SimulatedNetwork network(
      {.domains = size.domains,
       .nodes_per_domain = size.nodes_per_domain,
       .byte_cost = std::chrono::nanoseconds(10),
       .tick = milliseconds(5),
       .seed = seed,
       .protocol = {.mode = strategy.mode,
                    .small_delta_bytes = strategy.small_delta_bytes,
                    .digest_interval = strategy.digest_interval}});
  network.Preload(before);
  network.RunFor(kWarmUp);
  for (const auto& node : network.nodes()) {
    row.idle_bytes_per_second +=
        static_cast<double>(node.bytes_sent) /
        static_cast<double>(network.nodes().size()) /
        std::chrono::duration<double>(kWarmUp).count() / kSeedCount;
  }
  network.ResetCounts();
  KillRandomNodes(network, dead_percent);

  const TimePoint start = network.now();
  for (const ScheduledRead& scheduled :
       ScheduleReads(strategy, size, read_cost)) {
    if (scheduled.delay > network.now() - start) {
      network.RunFor(scheduled.delay - (network.now() - start));
    }
    if (network.node(scheduled.node).alive) {
      network.Publish(scheduled.node, after);
      network.node(scheduled.node).bytes_received += read_cost.bytes;
      row.platform_reads += read_cost.calls;
    }
  }
  network.RunFor(kMeasuredDuration -
                 std::min(kMeasuredDuration, network.now() - start));

  for (const auto& node : network.nodes()) {
    if (!node.alive) {
      continue;
    }
    ++row.alive;
    const std::uint64_t bytes = node.bytes_sent + node.bytes_received;
    row.bytes += static_cast<double>(bytes);
    row.busiest_node_bytes = std::max(row.busiest_node_bytes, bytes);
    if (node.protocol->store().revision() == after.revision) {
      ++row.up_to_date;
      row.max_hops = std::max(row.max_hops, node.hops);
      row.times_ms.push_back(
          std::chrono::duration<double, std::milli>(node.applied_at - start)
              .count());
    }
  }
}

double Quantile(const std::vector<double>& sorted, double share) {
  if (sorted.empty()) {
    return 0;
  }
  const auto last = static_cast<double>(sorted.size() - 1);
  return sorted[static_cast<std::size_t>(std::lround(share * last))];
}

void PrintRow(const Strategy& strategy,
              const FleetSize& size,
              int dead_percent,
              TableRow row) {
  std::sort(row.times_ms.begin(), row.times_ms.end());
  std::printf(
      "| %zu | %s | %d | %zu/%zu | %.0f | %.0f | %.0f | %zu | %.0f | %.0f | "
      "%llu | %zu |\n",
      size.domains * size.nodes_per_domain, strategy.name, dead_percent,
      row.up_to_date, row.alive, Quantile(row.times_ms, 0.5),
      Quantile(row.times_ms, 0.99), Quantile(row.times_ms, 1.0), row.max_hops,
      row.idle_bytes_per_second, row.bytes / static_cast<double>(row.alive),
      static_cast<unsigned long long>(row.busiest_node_bytes),
      row.platform_reads / kSeedCount);
  std::fflush(stdout);
}

void PrintComparison(const std::string& selected) {
  std::printf(
      "| nodes | strategy | dead %% | up to date after 3 s | p50 ms | p99 ms | "
      "max ms "
      "| hops | idle B/s sent | mean B | busiest B | platform reads |\n"
      "| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- "
      "|\n");
  for (const FleetSize& size : kFleetSizes) {
    for (const Strategy& strategy : kStrategies) {
      if (!selected.empty() && selected != strategy.name) {
        continue;
      }
      for (const int dead_percent : kDeadPercents) {
        TableRow row;
        for (std::uint64_t seed = 1; seed <= kSeedCount; ++seed) {
          RunOnce(strategy, size, dead_percent, seed, row);
        }
        PrintRow(strategy, size, dead_percent, std::move(row));
      }
    }
  }
}

/// Measures how a failure domain whose nodes all restart with empty stores gets
/// the release from the other domains while the platform is unavailable.
void PrintDomainRestart() {
  std::printf(
      "\n| nodes of the domain | transfers limited | all up to date after ms | "
      "busiest B | longest backlog ms |\n| --- | --- | --- | --- | --- |\n");
  for (const std::size_t nodes : {10U, 50U, 137U}) {
    for (const bool limited : {true, false}) {
      SimulatedNetwork network({.domains = 4,
                                .nodes_per_domain = nodes,
                                .byte_cost = std::chrono::nanoseconds(10),
                                .protocol = {.transfers = {.enabled = limited},
                                             .digest_interval = seconds(1)}});
      const Release release = MakeBenchRelease(1);
      network.Preload(release);
      for (std::size_t i = 0; i < nodes; ++i) {
        network.Start(i);
      }
      const TimePoint start = network.now();
      while (!network.Converged(release) &&
             network.now() - start < seconds(30)) {
        network.RunFor(milliseconds(10));
      }
      const Duration time = network.now() - start;
      std::uint64_t busiest_node_bytes = 0;
      Duration backlog = Duration::zero();
      for (const auto& node : network.nodes()) {
        busiest_node_bytes =
            std::max(busiest_node_bytes, node.bytes_sent + node.bytes_received);
        backlog = std::max(backlog, node.peak_backlog);
      }
      std::printf("| %zu | %s | %.0f | %llu | %.1f |\n", nodes,
                  limited ? "yes" : "no",
                  std::chrono::duration<double, std::milli>(time).count(),
                  static_cast<unsigned long long>(busiest_node_bytes),
                  std::chrono::duration<double, std::milli>(backlog).count());
    }
  }
}

}  // namespace
}  // namespace banyantrail::testing

/// Prints all tables without an argument, the rows of one strategy with its
/// name, and the table of the domain restart with "domain-restart".
int main(int argc, char** argv) {
  const std::string selected = argc > 1 ? argv[1] : "";
  if (selected != "domain-restart") {
    banyantrail::testing::PrintComparison(selected);
  }
  if (selected.empty() || selected == "domain-restart") {
    banyantrail::testing::PrintDomainRestart();
  }
}
