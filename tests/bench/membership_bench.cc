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

constexpr Duration kTimeout = seconds(60);

/// Messages and encoded bytes sent since the last reset.
struct SentTraffic {
  std::map<NodeId, std::uint64_t> bytes_by_node;
  std::uint64_t total_bytes = 0;
  std::uint64_t messages = 0;
  std::map<std::size_t, std::uint64_t> bytes_by_type;

  void Count(const NodeId& from, const PeerMessage& message) {
    const std::size_t bytes = banyantrail::EncodeFrame(message).size();
    bytes_by_node[from] += bytes;
    total_bytes += bytes;
    ++messages;
    bytes_by_type[message.index()] += bytes;
  }

  std::uint64_t BusiestNodeBytes() const {
    std::uint64_t busiest = 0;
    for (const auto& [node, bytes] : bytes_by_node) {
      busiest = std::max(busiest, bytes);
    }
    return busiest;
  }
};

BackendServerRecord MakeBackendServer(const NodeId& node, std::uint32_t slots) {
  return {.id = BackendServerId("backend-of-" + node.str()),
          .service = ServiceName("movement-log-archive"),
          .labels = {{"tier", "archive"}, {"version", "2026.12.1"}},
          .address = {"10.20.30.40", 18080},
          .slots = slots};
}

double ToSeconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

class MembershipBench {
 public:
  MembershipBench(std::size_t domains,
                  std::size_t nodes_per_domain,
                  std::uint64_t seed)
      : m_nodes_per_domain(nodes_per_domain),
        m_network({.domains = domains,
                   .nodes_per_domain = nodes_per_domain,
                   .seed = seed,
                   .configure = ConfigureNode}),
        m_rng(seed) {
    m_network.on_send = [this](const NodeId& from, const PeerMessage& message) {
      m_sent.Count(from, message);
    };
  }

  void Run() {
    MeasureConvergence("start of all nodes");
    Measure("idle", seconds(10), [] {});
    MeasureProcessorTime();
    MeasureRestart();
    Measure("1 endpoint change/s", seconds(10), [this] { ChangeEndpoints(1); });
    Measure("10 endpoint changes/s", seconds(10),
            [this] { ChangeEndpoints(10); });
    MeasureCrash();
    RestartNodes(30);
    RestartNodes(100);
  }

 private:
  static void ConfigureNode(MembershipProtocol::Options& options) {
    auto& record = options.own_record;
    record.labels = {{"site", "north-embankment"}, {"pool", "general"}};
    record.mesh_address = {"10.20.30.40", 18000};
    record.admin_address = {"10.20.30.40", 18001};
    record.backend_servers = {MakeBackendServer(record.node, 10)};
  }

  void Report(const std::string& name, Duration duration) {
    const double node_seconds =
        static_cast<double>(m_network.RunningNodes().size()) *
        ToSeconds(duration);
    std::printf(
        "%-24s %8.2f s %10.0f %10.0f %8.1f   ", name.c_str(),
        ToSeconds(duration),
        static_cast<double>(m_sent.total_bytes) / node_seconds,
        static_cast<double>(m_sent.BusiestNodeBytes()) / ToSeconds(duration),
        static_cast<double>(m_sent.messages) / node_seconds);
    for (const auto& [type, bytes] : m_sent.bytes_by_type) {
      std::printf(" %zu:%.0f", type, static_cast<double>(bytes) / node_seconds);
    }
    std::printf("\n");
    std::fflush(stdout);
    m_sent = {};
  }

  void MeasureConvergence(const std::string& name) {
    m_sent = {};
    const Duration duration = m_network.RunUntil(
        [this] { return m_network.HasConverged(); }, kTimeout);
    Report(name, duration);
    m_network.Run(seconds(3));
    m_sent = {};
  }

  template <typename Action>
  void Measure(const std::string& name, Duration duration, Action each_second) {
    m_sent = {};
    for (Duration elapsed{}; elapsed < duration; elapsed += seconds(1)) {
      each_second();
      m_network.Run(seconds(1));
    }
    Report(name, duration);
  }

  void MeasureProcessorTime() {
    const auto on_send = std::exchange(
        m_network.on_send, [](const NodeId&, const PeerMessage&) {});
    const std::clock_t start = std::clock();
    m_network.Run(seconds(5));
    const double processor_seconds =
        static_cast<double>(std::clock() - start) / CLOCKS_PER_SEC;
    std::printf("processor time while idle: %.3f %% of a core per node\n",
                100 * processor_seconds /
                    (5 * static_cast<double>(m_network.RunningNodes().size())));
    m_network.on_send = on_send;
  }

  NodeId RandomNode() {
    const std::vector<NodeId> running = m_network.RunningNodes();
    return running[banyantrail::UniformIndex(m_rng, running.size())];
  }

  void ChangeEndpoints(std::size_t count) {
    for (std::size_t i = 0; i < count; ++i) {
      const NodeId node = RandomNode();
      m_network.Send(
          node, m_network.At(node).SetBackendServers(
                    {MakeBackendServer(node, ++m_slots)}, m_network.Now()));
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
    m_sent = {};
    m_network.Crash(node);
    const Duration time_in_domain = m_network.RunUntil(
        [&] {
          return m_network.AllSee(
              node, banyantrail::MemberState::kDead, [](const auto& protocol) {
                return protocol.own_record().domain.str() == "d0";
              });
        },
        kTimeout);
    Report("crash, own domain", time_in_domain);
    const Duration time_in_fleet =
        time_in_domain +
        m_network.RunUntil(
            [&] {
              return m_network.AllSee(node, banyantrail::MemberState::kDead);
            },
            kTimeout);
    Report("crash, fleet", time_in_fleet);
    m_network.Start(0, 3);
    MeasureConvergence("restart after a crash");
  }

  void RestartNodes(std::size_t percent) {
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
    MeasureConvergence("restart of " + std::to_string(percent) + " %");
  }

  std::size_t m_nodes_per_domain;
  SimulatedNetwork m_network;
  Rng m_rng;
  SentTraffic m_sent;
  std::uint32_t m_slots = 10;
};

std::size_t NumberArgument(int argc,
                           char** argv,
                           int index,
                           std::size_t default_value) {
  return argc > index ? std::strtoull(argv[index], nullptr, 10) : default_value;
}

}  // namespace

int main(int argc, char** argv) {
  const std::size_t domains = NumberArgument(argc, argv, 1, 8);
  const std::size_t nodes_per_domain = NumberArgument(argc, argv, 2, 137);
  const std::size_t seed = NumberArgument(argc, argv, 3, 1);
  std::printf("%zu domains of %zu nodes, seed %zu\n", domains, nodes_per_domain,
              seed);
  std::printf("%-24s %10s %10s %10s %8s    %s\n", "", "time", "B/s node",
              "B/s max", "msgs/s", "B/s node by message type index");
  MembershipBench(domains, nodes_per_domain, seed).Run();
  return 0;
}
