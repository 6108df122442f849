// Compares the ways to spread a release over a fleet: bytes, hops and time at
// several sizes and shares of dead nodes. All nodes run the real protocol in
// one process over a queue with a latency for each hop; the time is the
// queue's, so the figures do not depend on the machine.

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <string>
#include <vector>

#include "banyantrail/config/release_head.h"
#include "distribution/simulated_network.h"

namespace banyantrail::testing {
namespace {

constexpr std::size_t kObjects = 800;
constexpr std::size_t kObjectBytes = 150;
constexpr std::uint64_t kSeeds = 3;
constexpr Duration kWarmUp = seconds(3);
constexpr Duration kWindow = seconds(3);
constexpr double kPlatformReadsPerSecond = 2000;
constexpr std::size_t kRelaysPerDomain = 2;

/// One way to spread releases.
struct Way {
  const char* name;
  DistributionMode mode = DistributionMode::kTree;
  Duration digest_interval = seconds(1);
  std::size_t small_delta_bytes = std::size_t{4} << 10U;
};

constexpr Way kWays[] = {
    {.name = "tree + anti-entropy"},
    {.name = "tree alone", .digest_interval = Duration::zero()},
    {.name = "tree, one push waits", .small_delta_bytes = 0},
    {.name = "tree, whole copies",
     .mode = DistributionMode::kTreeWholeReleases},
    {.name = "gossip, no tree", .mode = DistributionMode::kGossip},
    {.name = "platform watches", .mode = DistributionMode::kPlatformWatch},
};

struct FleetSize {
  std::size_t domains;
  std::size_t nodes_per_domain;
};

constexpr FleetSize kSizes[] = {{3, 4}, {4, 10}, {4, 25}, {8, 50}, {8, 137}};
constexpr int kDeadPercents[] = {0, 5, 30};

Release BenchRelease(Revision revision) {
  Release release = MakeRelease(revision, kObjects);
  for (auto& [key, text] : release.objects) {
    text.resize(kObjectBytes, ' ');
  }
  release.digest = DigestOf(release.objects);
  return release;
}

/// What a node reads from the platform for a new release: the head and the
/// chunks that changed.
struct PlatformRead {
  std::size_t calls = 0;
  std::size_t bytes = 0;
};

PlatformRead PlatformReadOf(const Release& before, const Release& after) {
  ReleaseHead head{.revision = after.revision,
                   .digest = after.digest,
                   .parent = before.digest,
                   .change = after.change};
  const std::vector<ReleaseChunk> old_chunks = SplitIntoChunks(before.objects);
  PlatformRead read;
  for (const ReleaseChunk& chunk : SplitIntoChunks(after.objects)) {
    head.chunks.push_back(chunk.digest);
    if (std::find(old_chunks.begin(), old_chunks.end(), chunk) ==
        old_chunks.end()) {
      ++read.calls;
      read.bytes += ToJson(chunk).dump().size();
    }
  }
  for (std::size_t i = 0; i < kMaxRecentChanges; ++i) {
    head.recent_changes.push_back({.change = after.change, .revision = i});
  }
  // The watch that ends and the read of the head.
  read.calls += 2;
  read.bytes += 2 * ToJson(head).dump().size();
  return read;
}

/// Samples of all seeds of one row of the table.
struct Row {
  std::vector<double> times_ms;
  std::size_t alive = 0;
  std::size_t holding = 0;
  std::size_t max_hops = 0;
  double rest_bytes = 0;
  double bytes = 0;
  std::uint64_t busiest = 0;
  std::size_t platform_reads = 0;
};

/// Moments at which nodes have read the release from the platform. Reads
/// beyond the platform's budget wait their turn.
struct PlatformReader {
  std::size_t node;
  Duration delay;
};

std::vector<PlatformReader> ReadersOf(const Way& way,
                                      const FleetSize& size,
                                      const PlatformRead& read) {
  const bool all = way.mode == DistributionMode::kPlatformWatch;
  const std::size_t per_domain = all ? size.nodes_per_domain : kRelaysPerDomain;
  std::vector<PlatformReader> readers;
  for (std::size_t domain = 0; domain < size.domains; ++domain) {
    for (std::size_t i = 0; i < per_domain; ++i) {
      const double turn =
          static_cast<double>((readers.size() + 1) * read.calls) /
          kPlatformReadsPerSecond;
      readers.push_back({.node = domain * size.nodes_per_domain + i,
                         .delay = std::chrono::duration_cast<Duration>(
                             std::chrono::duration<double>(turn))});
    }
  }
  return readers;
}

void KillSome(SimulatedNetwork& network, int percent) {
  for (std::size_t i = 0; i < network.nodes().size(); ++i) {
    if (UniformIndex(network.rng(), 100) < static_cast<std::size_t>(percent)) {
      network.Kill(i);
    }
  }
}

void RunOnce(const Way& way,
             const FleetSize& size,
             int dead_percent,
             std::uint64_t seed,
             Row& row) {
  const Release before = BenchRelease(1);
  const Release after = BenchRelease(2);
  const PlatformRead read = PlatformReadOf(before, after);
  SimulatedNetwork network(
      {.domains = size.domains,
       .nodes_per_domain = size.nodes_per_domain,
       .byte_cost = std::chrono::nanoseconds(10),
       .tick = milliseconds(5),
       .seed = seed,
       .protocol = {.mode = way.mode,
                    .small_delta_bytes = way.small_delta_bytes,
                    .digest_interval = way.digest_interval}});
  network.Preload(before);
  network.RunFor(kWarmUp);
  for (const auto& node : network.nodes()) {
    row.rest_bytes += static_cast<double>(node.bytes_sent) /
                      static_cast<double>(network.nodes().size()) /
                      std::chrono::duration<double>(kWarmUp).count() / kSeeds;
  }
  network.ResetCounts();
  KillSome(network, dead_percent);

  const TimePoint start = network.now();
  for (const PlatformReader& reader : ReadersOf(way, size, read)) {
    if (reader.delay > network.now() - start) {
      network.RunFor(reader.delay - (network.now() - start));
    }
    if (network.node(reader.node).alive) {
      network.Publish(reader.node, after);
      network.node(reader.node).bytes_received += read.bytes;
      row.platform_reads += read.calls;
    }
  }
  network.RunFor(kWindow - std::min(kWindow, network.now() - start));

  for (const auto& node : network.nodes()) {
    if (!node.alive) {
      continue;
    }
    ++row.alive;
    const std::uint64_t bytes = node.bytes_sent + node.bytes_received;
    row.bytes += static_cast<double>(bytes);
    row.busiest = std::max(row.busiest, bytes);
    if (node.protocol->store().revision() == after.revision) {
      ++row.holding;
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

void PrintRow(const Way& way, const FleetSize& size, int dead, Row row) {
  std::sort(row.times_ms.begin(), row.times_ms.end());
  std::printf(
      "| %zu | %s | %d | %zu/%zu | %.0f | %.0f | %.0f | %zu | %.0f | %.0f | "
      "%llu | %zu |\n",
      size.domains * size.nodes_per_domain, way.name, dead, row.holding,
      row.alive, Quantile(row.times_ms, 0.5), Quantile(row.times_ms, 0.99),
      Quantile(row.times_ms, 1.0), row.max_hops, row.rest_bytes,
      row.bytes / static_cast<double>(row.alive),
      static_cast<unsigned long long>(row.busiest),
      row.platform_reads / kSeeds);
  std::fflush(stdout);
}

void PrintComparison(const std::string& only) {
  std::printf(
      "| nodes | way | dead %% | in force after 3 s | p50 ms | p99 ms | max ms "
      "| hops | rest B/s sent | mean B | busiest B | platform reads |\n"
      "| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- "
      "|\n");
  for (const FleetSize& size : kSizes) {
    for (const Way& way : kWays) {
      if (!only.empty() && only != way.name) {
        continue;
      }
      for (const int dead : kDeadPercents) {
        Row row;
        for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
          RunOnce(way, size, dead, seed, row);
        }
        PrintRow(way, size, dead, std::move(row));
      }
    }
  }
}

/// A whole failure domain comes back empty while the platform is out.
void PrintHerd() {
  std::printf(
      "\n| nodes of the domain | transfers bounded | all hold after ms | "
      "busiest B | longest backlog ms |\n| --- | --- | --- | --- | --- |\n");
  for (const std::size_t nodes : {10U, 50U, 137U}) {
    for (const bool bounded : {true, false}) {
      SimulatedNetwork network({.domains = 4,
                                .nodes_per_domain = nodes,
                                .byte_cost = std::chrono::nanoseconds(10),
                                .protocol = {.transfers = {.enabled = bounded},
                                             .digest_interval = seconds(1)}});
      const Release release = BenchRelease(1);
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
      std::uint64_t busiest = 0;
      Duration backlog = Duration::zero();
      for (const auto& node : network.nodes()) {
        busiest = std::max(busiest, node.bytes_sent + node.bytes_received);
        backlog = std::max(backlog, node.peak_backlog);
      }
      std::printf("| %zu | %s | %.0f | %llu | %.1f |\n", nodes,
                  bounded ? "yes" : "no",
                  std::chrono::duration<double, std::milli>(time).count(),
                  static_cast<unsigned long long>(busiest),
                  std::chrono::duration<double, std::milli>(backlog).count());
    }
  }
}

}  // namespace
}  // namespace banyantrail::testing

/// Without an argument prints all tables; with the name of a way, its rows;
/// with "herd", the table of the domain that comes back empty.
int main(int argc, char** argv) {
  const std::string only = argc > 1 ? argv[1] : "";
  if (only != "herd") {
    banyantrail::testing::PrintComparison(only);
  }
  if (only.empty() || only == "herd") {
    banyantrail::testing::PrintHerd();
  }
}
