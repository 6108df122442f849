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

constexpr std::size_t kObjects = 800;
constexpr std::size_t kObjectBytes = 150;
constexpr std::uint64_t kSeeds = 3;
constexpr Duration kWarmUp = seconds(3);
constexpr Duration kWindow = seconds(3);
constexpr double kPlatformReadsPerSecond = 2000;
constexpr std::size_t kRelaysPerDomain = 2;

/// A configuration of the distribution protocol under test.
struct Way {
  const char* name;
  DistributionMode mode = DistributionMode::kTree;
  Duration digest_interval = seconds(1);
  std::size_t small_delta_bytes = std::size_t{4} << 10U;
};

constexpr Way kWays[] = {
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

/// Calls and bytes that a node needs to read a new release from the platform:
/// the release head and the changed chunks.
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
  // The watch that returns the change and the read of the head.
  read.calls += 2;
  read.bytes += 2 * ToJson(head).dump().size();
  return read;
}

/// Results of one table row, accumulated over all seeds.
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

/// A node that reads the release from the platform, and when its read is
/// complete. The platform's rate limit serialises the reads.
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
      "| nodes | strategy | dead %% | up to date after 3 s | p50 ms | p99 ms | "
      "max ms "
      "| hops | idle B/s sent | mean B | busiest B | platform reads |\n"
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

/// Measures how a failure domain whose nodes all restart with empty stores gets
/// the release from the other domains while the platform is unavailable.
void PrintHerd() {
  std::printf(
      "\n| nodes of the domain | transfers limited | all up to date after ms | "
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

/// Prints all tables without an argument, the rows of one strategy with its
/// name, and the table of the domain restart with "domain-restart".
int main(int argc, char** argv) {
  const std::string only = argc > 1 ? argv[1] : "";
  if (only != "domain-restart") {
    banyantrail::testing::PrintComparison(only);
  }
  if (only.empty() || only == "domain-restart") {
    banyantrail::testing::PrintHerd();
  }
}
