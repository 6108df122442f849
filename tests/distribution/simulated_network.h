#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <string>
#include <vector>

#include "banyantrail/config/release_digest.h"
#include "banyantrail/core/clock.h"
#include "banyantrail/distribution/distribution_protocol.h"
#include "banyantrail/wire/frame_codec.h"

namespace banyantrail::testing {

/// A release with `count` objects, one of which depends on the revision, so
/// that a delta is far smaller than the whole release.
inline Release MakeRelease(std::uint64_t revision, std::size_t count = 20) {
  Release release{.revision = {.number = revision},
                  .change = ChangeId("change-" + std::to_string(revision))};
  for (std::size_t i = 0; i < count; ++i) {
    const bool changed = i == revision % count;
    release.objects["routing_rule/rule-" + std::to_string(i)] =
        "{\"name\":\"rule-" + std::to_string(i) +
        "\",\"revision\":" + std::to_string(changed ? revision : 0) + "}";
  }
  release.digest = DigestOf(release.objects);
  return release;
}

/// Discrete-event simulation of protocol instances that exchange messages
/// through one queue ordered by time, with a latency per hop and a cost per
/// message.
class SimulatedNetwork {
 public:
  struct Options {
    std::size_t domains = 1;
    std::size_t nodes_per_domain = 12;
    Duration latency = microseconds(500);
    /// CPU time that a node spends on each message sent or received.
    Duration message_cost = microseconds(30);
    /// Transmission time per byte.
    Duration byte_cost = Duration::zero();
    Duration tick = milliseconds(10);
    /// Probability that a message is lost.
    double loss = 0.0;
    /// Whether a sender is notified that the receiver is dead.
    bool report_unreachable = false;
    std::uint64_t seed = 1;
    DistributionProtocol::Options protocol;
  };

  struct Node {
    NodeId id;
    std::size_t domain = 0;
    bool alive = true;
    std::unique_ptr<DistributionProtocol> protocol;
    TimePoint busy_until;
    TimePoint next_tick;
    std::uint64_t bytes_sent = 0;
    std::uint64_t bytes_received = 0;
    std::uint64_t messages_sent = 0;
    /// The longest time that a message waited to be sent.
    Duration peak_backlog = Duration::zero();
    /// Every release applied, in order.
    std::vector<std::shared_ptr<const Release>> history;
    TimePoint applied_at;
    std::size_t hops = 0;
  };

  explicit SimulatedNetwork(Options options)
      : m_options(std::move(options)), m_rng(m_options.seed) {
    for (std::size_t domain = 0; domain < m_options.domains; ++domain) {
      for (std::size_t i = 0; i < m_options.nodes_per_domain; ++i) {
        AddNode(domain, i);
      }
    }
    for (std::size_t i = 0; i < m_nodes.size(); ++i) {
      Start(i);
    }
  }

  std::vector<Node>& nodes() { return m_nodes; }
  Node& node(std::size_t index) { return m_nodes[index]; }
  TimePoint now() const { return m_now; }
  Rng& rng() { return m_rng; }

  /// Whether messages from one domain to another are dropped.
  std::function<bool(std::size_t from, std::size_t to)> is_partitioned =
      [](std::size_t, std::size_t) { return false; };
  /// May modify a message in transit.
  std::function<void(PeerMessage&)> alter = [](PeerMessage&) {};

  /// Starts or restarts a node, without a release.
  void Start(std::size_t index) {
    Node& node = m_nodes[index];
    DistributionProtocol::Options options = m_options.protocol;
    options.self = node.id;
    options.seed = m_rng();
    node.alive = true;
    node.protocol = std::make_unique<DistributionProtocol>(options, m_now);
    node.protocol->OnMembership(PeersOf(node));
    node.next_tick =
        m_now + Duration(UniformIndex(m_rng, m_options.tick.count()));
  }

  void Kill(std::size_t index) { m_nodes[index].alive = false; }

  /// Applies `release` on all nodes without sending messages.
  void Preload(const Release& release) {
    for (Node& node : m_nodes) {
      const DistributionPeers peers = PeersOf(node);
      node.protocol->OnMembership({});
      Record(node, node.protocol->OnReleaseFromPlatform(release, m_now), 0);
      node.protocol->OnMembership(peers);
    }
    ResetCounts();
  }

  /// Lets a node read `release` from the platform, if it is alive.
  void Publish(std::size_t index, const Release& release) {
    Node& node = m_nodes[index];
    if (node.alive) {
      Handle(index, node.protocol->OnReleaseFromPlatform(release, m_now), 0);
    }
  }

  void RunFor(Duration duration) {
    const TimePoint end = m_now + duration;
    while (m_now < end) {
      m_now = std::min(end, m_now + m_options.tick);
      Deliver();
      Tick();
    }
  }

  void ResetCounts() {
    for (Node& node : m_nodes) {
      node.bytes_sent = 0;
      node.bytes_received = 0;
      node.messages_sent = 0;
    }
  }

  /// Number of alive nodes that hold exactly this release.
  std::size_t CountHolding(const Release& release) const {
    return CountAlive([&release](const Node& node) {
      return *node.protocol->store().current() == release;
    });
  }

  std::size_t alive() const {
    return CountAlive([](const Node&) { return true; });
  }

  bool Converged(const Release& release) const {
    return CountHolding(release) == alive();
  }

 private:
  struct Delivery {
    TimePoint time;
    std::uint64_t sequence = 0;
    std::size_t from = 0;
    std::size_t to = 0;
    std::size_t hops = 0;
    std::shared_ptr<const PeerMessage> message;
    std::size_t bytes = 0;

    friend bool operator>(const Delivery& a, const Delivery& b) {
      return std::tie(a.time, a.sequence) > std::tie(b.time, b.sequence);
    }
  };

  void AddNode(std::size_t domain, std::size_t number) {
    Node node{.id = NodeId("domain-" + std::to_string(domain) + "-node-" +
                           std::to_string(number)),
              .domain = domain};
    m_index_by_id[node.id] = m_nodes.size();
    m_nodes.push_back(std::move(node));
  }

  DistributionPeers PeersOf(const Node& self) const {
    DistributionPeers peers;
    for (std::size_t domain = 0; domain < m_options.domains; ++domain) {
      std::vector<NodeId> members;
      for (std::size_t i = 0; i < m_options.nodes_per_domain; ++i) {
        const Node& member = m_nodes[domain * m_options.nodes_per_domain + i];
        if (member.id != self.id) {
          members.push_back(member.id);
        }
      }
      if (domain == self.domain) {
        peers.own_domain = std::move(members);
      } else {
        members.resize(std::min<std::size_t>(members.size(), 4));
        peers.foreign_domains.push_back(
            {.domain = DomainId(std::to_string(domain)),
             .nodes = std::move(members)});
      }
    }
    const std::size_t first = self.domain * m_options.nodes_per_domain;
    peers.relays = {m_nodes[first].id, m_nodes[first + 1].id};
    return peers;
  }

  template <typename Predicate>
  std::size_t CountAlive(Predicate predicate) const {
    std::size_t count = 0;
    for (const Node& node : m_nodes) {
      count += node.alive && predicate(node) ? 1 : 0;
    }
    return count;
  }

  void Tick() {
    for (std::size_t i = 0; i < m_nodes.size(); ++i) {
      Node& node = m_nodes[i];
      if (node.alive && node.next_tick <= m_now) {
        node.next_tick = m_now + m_options.tick;
        Handle(i, node.protocol->OnTick(m_now), 0);
      }
    }
  }

  void Deliver() {
    const TimePoint end = m_now;
    while (!m_queue.empty() && m_queue.top().time <= end) {
      const Delivery delivery = m_queue.top();
      m_queue.pop();
      m_now = delivery.time;
      Receive(delivery);
    }
    m_now = end;
  }

  void Receive(const Delivery& delivery) {
    Node& to = m_nodes[delivery.to];
    Node& from = m_nodes[delivery.from];
    if (is_partitioned(from.domain, to.domain) || IsLost()) {
      return;
    }
    if (!to.alive) {
      if (m_options.report_unreachable && from.alive) {
        Handle(delivery.from, from.protocol->OnPeerUnreachable(to.id, m_now),
               0);
      }
      return;
    }
    to.bytes_received += delivery.bytes;
    to.busy_until = std::max(to.busy_until, m_now) + m_options.message_cost;
    PeerMessage message = *delivery.message;
    alter(message);
    Handle(delivery.to, to.protocol->OnMessage(from.id, message, m_now),
           delivery.hops);
  }

  bool IsLost() {
    return m_options.loss > 0 &&
           std::uniform_real_distribution<>(0, 1)(m_rng) < m_options.loss;
  }

  void Record(Node& node, const DistributionOutput& output, std::size_t hops) {
    for (const auto& release : output.applied) {
      node.history.push_back(release);
      node.applied_at = m_now;
      node.hops = hops;
    }
  }

  void Handle(std::size_t index, DistributionOutput output, std::size_t hops) {
    Node& node = m_nodes[index];
    Record(node, output, hops);
    for (AddressedMessage& outgoing : output.messages) {
      const std::size_t bytes = EncodeFrame(outgoing.message).size();
      node.bytes_sent += bytes;
      ++node.messages_sent;
      node.busy_until = std::max(node.busy_until, m_now) +
                        m_options.message_cost +
                        static_cast<Duration::rep>(bytes) * m_options.byte_cost;
      node.peak_backlog = std::max(node.peak_backlog, node.busy_until - m_now);
      m_queue.push({.time = node.busy_until + m_options.latency,
                    .sequence = ++m_last_sequence,
                    .from = index,
                    .to = m_index_by_id.at(outgoing.to),
                    .hops = node.hops + 1,
                    .message = std::make_shared<const PeerMessage>(
                        std::move(outgoing.message)),
                    .bytes = bytes});
    }
  }

  Options m_options;
  Rng m_rng;
  TimePoint m_now;
  std::uint64_t m_last_sequence = 0;
  std::vector<Node> m_nodes;
  std::map<NodeId, std::size_t> m_index_by_id;
  std::priority_queue<Delivery, std::vector<Delivery>, std::greater<>> m_queue;
};

}  // namespace banyantrail::testing
