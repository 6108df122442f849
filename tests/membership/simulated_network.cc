#include "membership/simulated_network.h"

#include <algorithm>

namespace banyantrail::testing {
namespace {

constexpr Duration kStep = milliseconds(1);
constexpr Duration kTickInterval = milliseconds(50);
constexpr Incarnation kFirstIncarnation = 1'000'000;

IpEndpoint AddressAt(std::size_t domain, std::size_t index) {
  return {"10.0." + std::to_string(domain) + "." + std::to_string(index), 7000};
}

}  // namespace

SimulatedNetwork::SimulatedNetwork(Options options)
    : m_options(std::move(options)), m_rng(m_options.seed) {
  for (std::size_t domain = 0; domain < m_options.domains; ++domain) {
    for (std::size_t i = 0; i < m_options.nodes_per_domain; ++i) {
      Start(domain, i);
    }
  }
}

NodeId SimulatedNetwork::NodeAt(std::size_t domain, std::size_t index) {
  return NodeId("d" + std::to_string(domain) + "-n" + std::to_string(index));
}

void SimulatedNetwork::Start(std::size_t domain, std::size_t index) {
  const NodeId node = NodeAt(domain, index);
  const auto uptime =
      std::chrono::duration_cast<milliseconds>(Now().time_since_epoch());
  MembershipProtocol::Options options{
      .own_record = {.node = node,
                     .region = RegionId("r"),
                     .domain = DomainId("d" + std::to_string(domain)),
                     .incarnation = kFirstIncarnation +
                                    static_cast<Incarnation>(uptime.count()),
                     .peer_address = AddressAt(domain, index)},
      .rng_seed = m_rng()};
  for (std::size_t other = 0; other < m_options.domains; ++other) {
    options.seeds.push_back(AddressAt(other, 0));
    options.seeds.push_back(AddressAt(other, 1));
  }
  m_options.configure(options);
  m_addresses[AddressAt(domain, index)] = node;
  m_next_tick[node] =
      Now() + Duration(UniformIndex(m_rng, kTickInterval.count()));
  m_nodes[node] =
      std::make_unique<MembershipProtocol>(std::move(options), Now());
}

std::vector<NodeId> SimulatedNetwork::RunningNodes() const {
  std::vector<NodeId> running;
  for (const auto& [node, protocol] : m_nodes) {
    running.push_back(node);
  }
  return running;
}

void SimulatedNetwork::Send(const NodeId& from,
                            const MembershipOutput& output) {
  for (const OutgoingMessage& outgoing : output.messages) {
    on_send(from, outgoing.message);
    const auto* address = std::get_if<IpEndpoint>(&outgoing.to);
    const NodeId to =
        address ? m_addresses[*address] : std::get<NodeId>(outgoing.to);
    const bool is_lost =
        std::uniform_real_distribution<double>()(m_rng) < m_options.loss;
    if (is_lost || is_blocked(from, to)) {
      continue;
    }
    const auto delay = microseconds(500 + UniformIndex(m_rng, 1500));
    m_queue.push({.at = Now() + delay,
                  .sequence = m_next_sequence++,
                  .from = from,
                  .to = to,
                  .message = outgoing.message});
  }
}

void SimulatedNetwork::Run(Duration duration) {
  const TimePoint end = Now() + duration;
  while (Now() < end) {
    Step();
  }
}

Duration SimulatedNetwork::RunUntil(const std::function<bool()>& condition,
                                    Duration limit) {
  constexpr Duration kCheckInterval = milliseconds(10);
  const TimePoint start = Now();
  while (Now() - start < limit && !condition()) {
    Run(kCheckInterval);
  }
  return Now() - start;
}

bool SimulatedNetwork::AllSee(
    const NodeId& node,
    MemberState state,
    const std::function<bool(const MembershipProtocol&)>& filter) const {
  return std::all_of(m_nodes.begin(), m_nodes.end(), [&](const auto& entry) {
    const MembershipProtocol& protocol = *entry.second;
    const MemberRecord* record = protocol.table().Find(node);
    return !filter(protocol) || (record != nullptr && record->state == state);
  });
}

bool SimulatedNetwork::HasConverged() const {
  const auto& first = m_nodes.begin()->second->table();
  return std::all_of(m_nodes.begin(), m_nodes.end(), [&](const auto& entry) {
    return AllSee(entry.first, MemberState::kAlive) &&
           entry.second->table().bucket_hashes() == first.bucket_hashes();
  });
}

void SimulatedNetwork::Step() {
  m_clock.Advance(kStep);
  while (!m_queue.empty() && m_queue.top().at <= Now()) {
    const Delivery delivery = m_queue.top();
    m_queue.pop();
    const auto receiver = m_nodes.find(delivery.to);
    if (receiver != m_nodes.end()) {
      Send(delivery.to,
           receiver->second->OnMessage(delivery.from, delivery.message, Now()));
    }
  }
  for (const NodeId& node : RunningNodes()) {
    if (m_next_tick[node] <= Now()) {
      m_next_tick[node] += kTickInterval;
      Send(node, m_nodes.at(node)->OnTick(Now()));
    }
  }
}

}  // namespace banyantrail::testing
