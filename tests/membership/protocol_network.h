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

/// Connects membership protocols through queues, with a manual clock, seeded
/// delays and losses, crashed nodes and cut paths. A crash is silent: the
/// transport reports nothing, as when a host is lost.
class ProtocolNetwork {
 public:
  struct Options {
    std::size_t domains = 1;
    std::size_t nodes_per_domain = 5;
    double loss = 0;
    std::uint64_t seed = 1;
    /// Changes the options of every node, to switch mechanisms off.
    std::function<void(MembershipProtocol::Options&)> adjust = [](auto&) {};
  };

  /// Starts all nodes, each with the first node of each domain for a seed.
  explicit ProtocolNetwork(Options options);

  static NodeId NodeAt(std::size_t domain, std::size_t index);

  /// Starts a node with an empty table and the clock for its incarnation.
  void Start(std::size_t domain, std::size_t index);
  void Crash(const NodeId& node) { m_nodes.erase(node); }
  MembershipProtocol& At(const NodeId& node) { return *m_nodes.at(node); }
  bool IsRunning(const NodeId& node) const { return m_nodes.contains(node); }
  std::vector<NodeId> Running() const;

  /// Sends what a call at `from` returned.
  void Send(const NodeId& from, const MembershipOutput& output);

  /// Drops messages from one node to another while it holds.
  std::function<bool(const NodeId& from, const NodeId& to)> is_cut =
      [](const NodeId&, const NodeId&) { return false; };
  /// Sees each message that is sent.
  std::function<void(const NodeId& from, const PeerMessage&)> on_send =
      [](const NodeId&, const PeerMessage&) {};

  void Run(Duration duration);
  /// Runs until `condition` holds; returns the time it took, or `limit`.
  Duration RunUntil(const std::function<bool()>& condition, Duration limit);
  TimePoint Now() const { return m_clock.Now(); }

  /// Whether all running nodes that `of` selects see `node` in `state`.
  bool AllSee(
      const NodeId& node,
      MemberState state,
      const std::function<bool(const MembershipProtocol&)>& of =
          [](const auto&) { return true; }) const;
  /// Whether all running nodes hold the same records and find all running
  /// nodes alive.
  bool HaveConverged() const;

 private:
  struct Delivery {
    TimePoint at;
    std::uint64_t order = 0;
    NodeId from;
    NodeId to;
    PeerMessage message;

    friend bool operator<(const Delivery& left, const Delivery& right) {
      return std::tie(right.at, right.order) < std::tie(left.at, left.order);
    }
  };

  void Step();

  Options m_options;
  ManualClock m_clock;
  Rng m_rng;
  std::uint64_t m_next_order = 0;
  std::priority_queue<Delivery> m_queue;
  std::map<NodeId, std::unique_ptr<MembershipProtocol>> m_nodes;
  std::map<NodeId, TimePoint> m_next_tick;
  std::map<IpEndpoint, NodeId> m_addresses;
};

}  // namespace banyantrail::testing
