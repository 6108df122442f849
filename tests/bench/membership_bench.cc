// Measures the cost of the membership protocol in virtual time: encoded bytes
// sent per node and by the busiest node, processor time, and the time until all
// nodes know of a change.
// Usage: membership_bench [domains] [nodes per domain] [seed]

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <ctime>
#include <map>
#include <string>

#include "banyantrail/wire/frame_codec.h"
#include "membership/simulated_network.h"

namespace {

using banyantrail::BackendServerId;
using banyantrail::BackendServerRecord;
using banyantrail::Duration;
using banyantrail::MembershipProtocol;
using banyantrail::NodeId;
using banyantrail::PeerMessage;
using banyantrail::Rng;
using banyantrail::seconds;
using banyantrail::ServiceName;
using banyantrail::testing::SimulatedNetwork;

constexpr Duration kLimit = seconds(60);

/// Messages and encoded bytes sent since the last reset.
struct Traffic {
  std::map<NodeId, std::uint64_t> sent;
  std::uint64_t total = 0;
  std::uint64_t messages = 0;
  std::map<std::size_t, std::uint64_t> by_kind;

  void Count(const NodeId& from, const PeerMessage& message) {
    const std::size_t bytes = banyantrail::EncodeFrame(message).size();
    sent[from] += bytes;
    total += bytes;
    ++messages;
    by_kind[message.index()] += bytes;
  }

  std::uint64_t Busiest() const {
    std::uint64_t busiest = 0;
    for (const auto& [node, bytes] : sent) {
      busiest = std::max(busiest, bytes);
    }
    return busiest;
  }
};

BackendServerRecord ServerOf(const NodeId& node, std::uint32_t slots) {
  return {.id = BackendServerId("backend-of-" + node.str()),
          .service = ServiceName("movement-log-archive"),
          .labels = {{"tier", "archive"}, {"version", "2026.12.1"}},
          .address = {"10.20.30.40", 18080},
          .slots = slots};
}

double Seconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

class Bench {
 public:
  Bench(std::size_t domains, std::size_t nodes_per_domain, std::uint64_t seed)
      : m_nodes_per_domain(nodes_per_domain),
        m_network({.domains = domains,
                   .nodes_per_domain = nodes_per_domain,
                   .seed = seed,
                   .configure = Prepare}),
        m_rng(seed) {
    m_network.on_send = [this](const NodeId& from, const PeerMessage& message) {
      m_traffic.Count(from, message);
    };
  }

  void Run() {
    Converge("start of all nodes");
    Measure("idle", seconds(10), [] {});
    MeasureProcessorTime();
    MeasureRestart();
    Measure("1 endpoint change/s", seconds(10), [this] { ChangeEndpoints(1); });
    Measure("10 endpoint changes/s", seconds(10),
            [this] { ChangeEndpoints(10); });
    MeasureCrash();
    RestartShare(30);
    RestartShare(100);
  }

 private:
  static void Prepare(MembershipProtocol::Options& options) {
    auto& record = options.own_record;
    record.labels = {{"site", "north-embankment"}, {"pool", "general"}};
    record.mesh_address = {"10.20.30.40", 18000};
    record.admin_address = {"10.20.30.40", 18001};
    record.backend_servers = {ServerOf(record.node, 10)};
  }

  void Report(const std::string& name, Duration duration) {
    const double node_seconds =
        static_cast<double>(m_network.RunningNodes().size()) *
        Seconds(duration);
    std::printf("%-24s %8.2f s %10.0f %10.0f %8.1f   ", name.c_str(),
                Seconds(duration),
                static_cast<double>(m_traffic.total) / node_seconds,
                static_cast<double>(m_traffic.Busiest()) / Seconds(duration),
                static_cast<double>(m_traffic.messages) / node_seconds);
    for (const auto& [kind, bytes] : m_traffic.by_kind) {
      std::printf(" %zu:%.0f", kind, static_cast<double>(bytes) / node_seconds);
    }
    std::printf("\n");
    std::fflush(stdout);
    m_traffic = {};
  }

  void Converge(const std::string& name) {
    m_traffic = {};
    const Duration taken =
        m_network.RunUntil([this] { return m_network.HasConverged(); }, kLimit);
    Report(name, taken);
    m_network.Run(seconds(3));
    m_traffic = {};
  }

  template <typename EachSecond>
  void Measure(const std::string& name, Duration duration, EachSecond act) {
    m_traffic = {};
    for (Duration done{}; done < duration; done += seconds(1)) {
      act();
      m_network.Run(seconds(1));
    }
    Report(name, duration);
  }

  void MeasureProcessorTime() {
    const auto counter = std::exchange(
        m_network.on_send, [](const NodeId&, const PeerMessage&) {});
    const std::clock_t start = std::clock();
    m_network.Run(seconds(5));
    const double used =
        static_cast<double>(std::clock() - start) / CLOCKS_PER_SEC;
    std::printf("processor time while idle: %.3f %% of a core per node\n",
                100 * used /
                    (5 * static_cast<double>(m_network.RunningNodes().size())));
    m_network.on_send = counter;
  }

  NodeId RandomNode() {
    const std::vector<NodeId> running = m_network.RunningNodes();
    return running[banyantrail::UniformIndex(m_rng, running.size())];
  }

  void ChangeEndpoints(std::size_t count) {
    for (std::size_t i = 0; i < count; ++i) {
      const NodeId node = RandomNode();
      m_network.Send(node, m_network.At(node).SetBackendServers(
                               {ServerOf(node, ++m_slots)}, m_network.Now()));
    }
  }

  void MeasureRestart() {
    const NodeId node = SimulatedNetwork::NodeAt(0, 2);
    Measure("drain, leave and restart", seconds(10), [&, step = 0]() mutable {
      if (step == 0) {
        m_network.Send(node,
                       m_network.At(node).SetDraining(true, m_network.Now()));
      } else if (step == 2) {
        m_network.Send(node, m_network.At(node).Leave(m_network.Now()));
        m_network.Crash(node);
      } else if (step == 4) {
        m_network.Start(0, 2);
      }
      ++step;
    });
  }

  void MeasureCrash() {
    const NodeId node = SimulatedNetwork::NodeAt(0, 3);
    m_traffic = {};
    m_network.Crash(node);
    const Duration in_domain = m_network.RunUntil(
        [&] {
          return m_network.AllSee(
              node, banyantrail::MemberState::kDead, [](const auto& protocol) {
                return protocol.own_record().domain.str() == "d0";
              });
        },
        kLimit);
    Report("crash, own domain", in_domain);
    const Duration in_fleet =
        in_domain +
        m_network.RunUntil(
            [&] {
              return m_network.AllSee(node, banyantrail::MemberState::kDead);
            },
            kLimit);
    Report("crash, fleet", in_fleet);
    m_network.Start(0, 3);
    Converge("restart after a crash");
  }

  void RestartShare(std::size_t percent) {
    for (const NodeId& node : m_network.RunningNodes()) {
      const std::size_t separator = node.str().find("-n");
      const std::size_t domain =
          std::stoul(node.str().substr(1, separator - 1));
      const std::size_t index = std::stoul(node.str().substr(separator + 2));
      if (index * 100 < percent * m_nodes_per_domain) {
        m_network.Crash(node);
        m_network.Start(domain, index);
      }
    }
    Converge("restart of " + std::to_string(percent) + " %");
  }

  std::size_t m_nodes_per_domain;
  SimulatedNetwork m_network;
  Rng m_rng;
  Traffic m_traffic;
  std::uint32_t m_slots = 10;
};

std::size_t NumberAt(int argc, char** argv, int index, std::size_t fallback) {
  return argc > index ? std::strtoull(argv[index], nullptr, 10) : fallback;
}

}  // namespace

int main(int argc, char** argv) {
  const std::size_t domains = NumberAt(argc, argv, 1, 8);
  const std::size_t nodes_per_domain = NumberAt(argc, argv, 2, 137);
  const std::size_t seed = NumberAt(argc, argv, 3, 1);
  std::printf("%zu domains of %zu nodes, seed %zu\n", domains, nodes_per_domain,
              seed);
  std::printf("%-24s %10s %10s %10s %8s    %s\n", "", "time", "B/s node",
              "B/s max", "msgs/s", "B/s node by message type index");
  Bench(domains, nodes_per_domain, seed).Run();
  return 0;
}
