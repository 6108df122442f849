#pragma once

#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <set>
#include <string>
#include <vector>

#include "banyantrail/membership/membership_protocol.h"

namespace banyantrail::testing {

/// Simulates the network between membership protocols: virtual time, seeded
/// delays and losses, crashed nodes and blocked paths. A crash is silent: the
/// transport does not report the node as unreachable, as when a VM fails.
class SimulatedNetwork {
 public:
  struct Options {
    std::size_t domains = 1;
    std::size_t nodes_per_domain = 5;
    double loss = 0;
    std::uint64_t seed = 1;
    /// Modifies the options of each node, for example to disable a mechanism.
    std::function<void(MembershipProtocol::Options&)> configure = [](auto&) {};
  };

  /// Starts all nodes. The first two nodes of each domain are the seeds.
  explicit SimulatedNetwork(Options options);

  static NodeId NodeAt(std::size_t domain, std::size_t index);

  /// Starts a node with an empty table and the current time as its incarnation.
  void Start(std::size_t domain, std::size_t index);
  void Crash(const NodeId& node) { m_nodes.erase(node); }
  MembershipProtocol& At(const NodeId& node) { return *m_nodes.at(node); }
  bool IsRunning(const NodeId& node) const { return m_nodes.contains(node); }
  std::vector<NodeId> RunningNodes() const;

  /// Sends the messages that a call to the protocol of `from` returned.
  void Send(const NodeId& from, const MembershipOutput& output);

  /// Messages from one node to another are dropped while this returns true.
  std::function<bool(const NodeId& from, const NodeId& to)> is_blocked =
      [](const NodeId&, const NodeId&) { return false; };
  /// Called for each message that is sent.
  std::function<void(const NodeId& from, const PeerMessage&)> on_send =
      [](const NodeId&, const PeerMessage&) {};

  void Run(Duration duration);
  /// Runs until `condition` holds; returns the time it took, or `limit`.
  Duration RunUntil(const std::function<bool()>& condition, Duration limit);
  TimePoint Now() const { return m_clock.Now(); }

  /// Whether all running nodes that pass `filter` have `node` in `state`.
  bool AllSee(
      const NodeId& node,
      MemberState state,
      const std::function<bool(const MembershipProtocol&)>& filter =
          [](const auto&) { return true; }) const;
  /// Whether all running nodes hold the same records and have all running nodes
  /// as alive.
  bool HasConverged() const;

 private:
  struct Delivery {
    TimePoint at;
    std::uint64_t sequence = 0;
    NodeId from;
    NodeId to;
    PeerMessage message;

    friend bool operator<(const Delivery& left, const Delivery& right) {
      return std::tie(right.at, right.sequence) <
             std::tie(left.at, left.sequence);
    }
  };

  void Step();

  Options m_options;
  ManualClock m_clock;
  Rng m_rng;
  std::uint64_t m_next_sequence = 0;
  std::priority_queue<Delivery> m_queue;
  std::map<NodeId, std::unique_ptr<MembershipProtocol>> m_nodes;
  std::map<NodeId, TimePoint> m_next_tick;
  std::map<IpEndpoint, NodeId> m_addresses;
};

}  // namespace banyantrail::testing
