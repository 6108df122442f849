#include "traffic/quota_simulation.h"

#include <algorithm>
#include <numeric>
#include <utility>

#include "banyantrail/wire/request_metadata.h"

namespace banyantrail::testing {
namespace {

constexpr Duration kMaxWait = milliseconds(50);

// One-way delays, with the time that a busy node takes to handle a message.
constexpr Duration kDomainDelay = microseconds(700);
constexpr Duration kInterDomainDelay = microseconds(1900);

const TimePoint kStart{seconds(1000)};

}  // namespace

double QuotaOutcome::RefusedShare() const {
  return offered == 0
             ? 0
             : static_cast<double>(refused) / static_cast<double>(offered);
}

std::size_t QuotaOutcome::MaxInWindow(Duration window) const {
  std::size_t most = 0;
  std::size_t first = 0;
  for (std::size_t last = 0; last < grants.size(); ++last) {
    while (grants[last] - grants[first] >= window) {
      ++first;
    }
    most = std::max(most, last - first + 1);
  }
  return most;
}

QuotaSimulation::QuotaSimulation(Options options)
    : m_options(std::move(options)), m_rng(m_options.seed), m_now(kStart) {
  for (std::size_t i = 0; i < m_options.nodes; ++i) {
    m_names.emplace_back("n" + std::to_string(i));
    m_indexes[m_names.back()] = i;
    m_records.push_back(std::make_shared<const MemberRecord>(
        MemberRecord{.node = m_names.back(),
                     .domain = DomainId("d" + std::to_string(DomainOf(i))),
                     .mesh_version = kMeshVersion}));
  }
  m_nodes.resize(m_options.nodes);
  for (Node& node : m_nodes) {
    node.view.assign(m_options.nodes, MemberState::kAlive);
  }
  for (std::size_t i = 0; i < m_options.nodes; ++i) {
    Start(i);
  }
}

void QuotaSimulation::Schedule(TimePoint time, std::function<void()> action) {
  m_events.push({time, m_order++, std::move(action)});
}

void QuotaSimulation::At(Duration time, std::function<void()> action) {
  Schedule(kStart + time, std::move(action));
}

void QuotaSimulation::AddLoad(double rate,
                              const std::vector<std::size_t>& nodes,
                              Duration from,
                              Duration to) {
  for (const std::size_t node : nodes) {
    const double part = rate / static_cast<double>(nodes.size());
    At(from, [this, part, node, end = kStart + to] {
      ScheduleArrival(part, node, end);
    });
  }
}

void QuotaSimulation::ScheduleArrival(double rate,
                                      std::size_t node,
                                      TimePoint end) {
  std::exponential_distribution<double> gap(rate);
  const auto delay = std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(gap(m_rng)));
  const TimePoint time = m_now + delay;
  if (time >= end) {
    return;
  }
  Schedule(time, [this, rate, node, end] {
    if (m_nodes[node].quotas) {
      const std::uint64_t id = ++m_last_request;
      m_arrivals[id] = m_now;
      ++m_outcome.offered;
      Carry(node, m_nodes[node].quotas->Offer(
                      m_options.team.name,
                      {.id = id, .give_up = m_now + kMaxWait}, m_now));
    }
    ScheduleArrival(rate, node, end);
  });
}

void QuotaSimulation::Run(Duration until) {
  const TimePoint end = kStart + until;
  while (!m_events.empty() && m_events.top().time <= end) {
    const Event event = m_events.top();
    m_events.pop();
    m_now = event.time;
    event.action();
  }
  m_now = end;
}

void QuotaSimulation::Kill(std::size_t node) {
  m_nodes[node].quotas.reset();
  ++m_nodes[node].run;
}

void QuotaSimulation::Start(std::size_t node) {
  TeamQuotas::Options options{
      .self = m_names[node],
      .domain = DomainId("d" + std::to_string(DomainOf(node)))};
  m_options.configure(options);
  m_nodes[node].quotas = std::make_unique<TeamQuotas>(std::move(options));
  Carry(node, m_nodes[node].quotas->SetTeams({m_options.team}, m_now));
  UpdateMembers(node);
}

void QuotaSimulation::Partition(const std::set<std::size_t>& side) {
  m_side = side;
}

bool QuotaSimulation::IsCut(std::size_t a, std::size_t b) const {
  return m_side.contains(a) != m_side.contains(b);
}

void QuotaSimulation::SetTeam(const RoutedTeam& team) {
  m_options.team = team;
  for (std::size_t i = 0; i < m_nodes.size(); ++i) {
    if (m_nodes[i].quotas) {
      Carry(i, m_nodes[i].quotas->SetTeams({team}, m_now));
    }
  }
}

void QuotaSimulation::SetState(const std::vector<std::size_t>& observers,
                               std::size_t subject,
                               MemberState state) {
  for (const std::size_t observer : observers) {
    m_nodes[observer].view[subject] = state;
    UpdateMembers(observer);
  }
}

void QuotaSimulation::SetIsolated(std::size_t node, bool is_isolated) {
  m_nodes[node].is_isolated = is_isolated;
  UpdateMembers(node);
}

void QuotaSimulation::UpdateMembers(std::size_t node) {
  if (!m_nodes[node].quotas) {
    return;
  }
  QuotaMembers::SharedMembers members;
  members.reserve(m_nodes.size());
  for (std::size_t i = 0; i < m_nodes.size(); ++i) {
    const auto& record = m_records[i];
    if (m_nodes[node].view[i] == record->state) {
      members.push_back(record);
      continue;
    }
    MemberRecord other = *record;
    other.state = m_nodes[node].view[i];
    members.push_back(std::make_shared<const MemberRecord>(std::move(other)));
  }
  Carry(node,
        m_nodes[node].quotas->SetMembers(
            members,
            {.is_complete = true, .is_isolated = m_nodes[node].is_isolated},
            m_now));
}

void QuotaSimulation::Carry(std::size_t node, const QuotaEffects& effects) {
  const auto decided = [this](std::uint64_t id) {
    const auto arrival = m_arrivals.find(id);
    m_outcome.longest_wait =
        std::max(m_outcome.longest_wait, m_now - arrival->second);
    m_arrivals.erase(arrival);
  };
  for (const std::uint64_t id : effects.granted) {
    decided(id);
    ++m_outcome.granted;
    m_outcome.grants.push_back(m_now);
  }
  for (const QuotaRefusal& refusal : effects.refused) {
    decided(refusal.id);
    ++m_outcome.refused;
  }
  for (const QuotaMessage& message : effects.messages) {
    Send(node, message);
  }
  ScheduleWakeup(node);
}

void QuotaSimulation::ScheduleWakeup(std::size_t node) {
  const std::optional<TimePoint> wakeup = m_nodes[node].quotas->NextWakeup();
  if (!wakeup) {
    return;
  }
  Schedule(std::max(*wakeup, m_now),
           [this, node, time = *wakeup, run = m_nodes[node].run] {
             Node& state = m_nodes[node];
             // A later event may have made the wake-up unnecessary.
             if (state.quotas && state.run == run &&
                 state.quotas->NextWakeup() == time) {
               Carry(node, state.quotas->Expire(m_now));
             }
           });
}

void QuotaSimulation::Send(std::size_t from, const QuotaMessage& message) {
  const std::size_t to = m_indexes.at(message.to);
  ++m_outcome.messages;
  const Duration delay =
      DomainOf(from) == DomainOf(to) ? kDomainDelay : kInterDomainDelay;
  Schedule(m_now + delay,
           [this, from, to, message] { Receive(from, to, message); });
}

void QuotaSimulation::Receive(std::size_t from,
                              std::size_t to,
                              const QuotaMessage& message) {
  if (!m_nodes[to].quotas || IsCut(from, to)) {
    return;
  }
  TeamQuotas& quotas = *m_nodes[to].quotas;
  if (const auto* request = std::get_if<QuotaRequestMessage>(&message.body)) {
    Carry(to, quotas.OnRequest(m_names[from], *request, m_now));
  } else {
    Carry(to, quotas.OnReply(std::get<QuotaReplyMessage>(message.body), m_now));
  }
}

std::size_t QuotaSimulation::HolderOf(std::size_t node) const {
  return m_indexes.at(
      m_nodes[node].quotas->Status(m_now).front().holders.front());
}

std::vector<std::size_t> QuotaSimulation::AllNodes() const {
  std::vector<std::size_t> nodes(m_nodes.size());
  std::iota(nodes.begin(), nodes.end(), 0);
  return nodes;
}

std::vector<std::size_t> QuotaSimulation::NodesOf(std::size_t domain) const {
  std::vector<std::size_t> nodes;
  nodes.reserve(m_nodes.size() / m_options.domains + 1);
  for (std::size_t i = domain; i < m_nodes.size(); i += m_options.domains) {
    nodes.push_back(i);
  }
  return nodes;
}

}  // namespace banyantrail::testing
