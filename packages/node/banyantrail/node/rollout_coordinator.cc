#include "banyantrail/node/rollout_coordinator.h"

#include <algorithm>
#include <cmath>
#include <nlohmann/json.hpp>
#include <utility>

#include "banyantrail/core/logging.h"
#include "banyantrail/distribution/relay_lease.h"
#include "banyantrail/membership/dissemination_tree.h"
#include "banyantrail/net/log_failure.h"

namespace banyantrail {
namespace {

const ComponentLogger kLog("rollout");

constexpr Duration kTickInterval = milliseconds(50);

/// How often the judge tells the other candidates that it is there, and for how
/// long each of them waits for it and for those in between.
constexpr Duration kHeartbeatInterval = seconds(1);
constexpr Duration kTakeoverStep = milliseconds(2500);

bool IsLive(const MemberRecord& record) {
  return record.state == MemberState::kAlive ||
         record.state == MemberState::kSuspect;
}

/// Builds from before roll-outs close a connection on which they get an unknown
/// message, and send no versions of backend servers.
bool UnderstandsRollouts(const MemberRecord& record) {
  return std::ranges::none_of(
      record.backend_servers,
      [](const BackendServerRecord& server) { return server.version.empty(); });
}

}  // namespace

std::vector<NodeId> JudgeCandidates(const MembershipView& view) {
  const DomainId key("rollouts");
  std::map<DomainId, std::vector<NodeId>> by_domain;
  for (const auto& record : view.members) {
    const bool may_judge = record->state == MemberState::kAlive &&
                           !record->draining && UnderstandsRollouts(*record);
    if (may_judge) {
      by_domain[record->domain].push_back(record->node);
    }
  }
  std::vector<NodeId> candidates;
  candidates.reserve(by_domain.size());
  for (const auto& [domain, nodes] : by_domain) {
    candidates.push_back(RendezvousOrder(key, nodes, 1).front());
  }
  return RendezvousOrder(key, candidates, candidates.size());
}

RolloutCoordinator::RolloutCoordinator(asio::io_context& io,
                                       const NodeId& self,
                                       ControlPlane& control,
                                       DataPlane& data,
                                       Metrics& metrics)
    : m_control(control),
      m_metrics(metrics),
      m_participant(data.exposure(), data.rollout_counter()),
      m_director({.self = self}),
      m_timer(io),
      m_judge_heard_at(SystemClock().Now()) {
  asio::co_spawn(io, RunTicks(), LogFailure("roll-outs"));
}

asio::awaitable<void> RolloutCoordinator::RunTicks() {
  boost::system::error_code error;
  while (!error) {
    m_timer.expires_after(kTickInterval);
    co_await m_timer.async_wait(
        asio::redirect_error(asio::use_awaitable, error));
    if (!error) {
      Tick(SystemClock().Now());
    }
  }
}

void RolloutCoordinator::Tick(TimePoint now) {
  UpdateRole(now);
  if (m_is_judge) {
    GreetJoined(now);
    Direct(now);
  }
  SendReports(now);
}

/// The first candidate is the judge; each next one takes over when it has heard
/// no judge for longer.
void RolloutCoordinator::UpdateRole(TimePoint now) {
  if (m_view != m_control.membership()) {
    m_view = m_control.membership();
    m_candidates = JudgeCandidates(*m_view);
  }
  const auto self = std::ranges::find(m_candidates, m_view->self.node);
  const auto rank = self - m_candidates.begin();
  const bool is_judge =
      m_view->joined && self != m_candidates.end() &&
      (rank == 0 || now - m_judge_heard_at > rank * kTakeoverStep);
  if (is_judge != m_is_judge) {
    m_is_judge = is_judge;
    m_term += is_judge ? 1 : 0;
    m_director.Clear();
    m_greeted.clear();
    m_metrics.SetGauge("banyantrail_rollout_judge", is_judge ? 1 : 0);
    kLog.Event({{"event", "rollout_judge"}, {"is_judge", is_judge}});
  }
  if (m_is_judge) {
    SendHeartbeats(now);
  }
}

/// A directive without a service.
void RolloutCoordinator::SendHeartbeats(TimePoint now) {
  if (now - m_heartbeat_at < kHeartbeatInterval) {
    return;
  }
  m_heartbeat_at = now;
  const NodeId& self = m_view->self.node;
  for (const NodeId& candidate : m_candidates) {
    if (candidate != self) {
      m_control.Send(candidate, RolloutDirectiveMessage{.judge = self});
    }
  }
}

void RolloutCoordinator::Direct(TimePoint now) {
  for (const auto& due : m_director.Tick(RequiredNodes(), now)) {
    if (due.is_new_phase) {
      kLog.Event({{"event", "rollout_decision"},
                  {"service", due.message.service.str()},
                  {"target_version", due.message.target_version},
                  {"phase", static_cast<int>(due.message.phase)},
                  {"age_ms", due.message.age_ms},
                  {"reason", due.reason}});
      m_metrics.CountControlEvent("rollout_decision");
    }
    m_participant.OnDirective(due.message, now);
    SendToAll(due.message);
  }
}

/// Sends all directives to the nodes that have joined or restarted: those of
/// ended roll-outs are not repeated otherwise.
void RolloutCoordinator::GreetJoined(TimePoint now) {
  const MembershipView& view = *m_control.membership();
  const std::vector<RolloutDirectiveMessage> directives = m_director.All(now);
  for (const auto& record : view.members) {
    if (!IsLive(*record) || record->node == view.self.node ||
        !UnderstandsRollouts(*record)) {
      continue;
    }
    const auto [greeted, is_new] = m_greeted.try_emplace(record->node, 0);
    if (greeted->second == record->incarnation) {
      continue;
    }
    greeted->second = record->incarnation;
    for (const RolloutDirectiveMessage& directive : directives) {
      m_control.Send(record->node, directive);
    }
  }
}

void RolloutCoordinator::SendToAll(const RolloutDirectiveMessage& directive) {
  std::vector<NodeId> members;
  const MembershipView& view = *m_control.membership();
  for (const auto& record : view.members) {
    if (IsLive(*record) && record->node != view.self.node &&
        UnderstandsRollouts(*record)) {
      members.push_back(record->node);
    }
  }
  Forward(directive, members);
}

/// Sends to each member itself if they are few, else by a tree of depth 2.
void RolloutCoordinator::Forward(const RolloutDirectiveMessage& directive,
                                 const std::vector<NodeId>& members) {
  constexpr double kMaxDirect = 100;
  const auto count = static_cast<double>(members.size());
  const auto arity = static_cast<std::size_t>(
      count <= kMaxDirect ? std::max(count, 1.0) : std::ceil(std::sqrt(count)));
  for (const TreeBranch& branch : SplitIntoBranches(members, arity)) {
    RolloutDirectiveMessage message = directive;
    message.subtree = branch.subtree;
    m_control.Send(branch.child, message);
  }
}

void RolloutCoordinator::OnMessage(const NodeId& from,
                                   const PeerMessage& message) {
  if (const auto* directive = std::get_if<RolloutDirectiveMessage>(&message)) {
    OnDirective(from, *directive);
  }
  if (const auto* report = std::get_if<RolloutReportMessage>(&message)) {
    m_director.OnReport(from, *report, SystemClock().Now());
  }
}

void RolloutCoordinator::OnDirective(const NodeId& from,
                                     const RolloutDirectiveMessage& directive) {
  const TimePoint now = SystemClock().Now();
  if (directive.service.empty()) {
    const auto self =
        std::ranges::find(m_candidates, m_control.membership()->self.node);
    if (std::find(m_candidates.begin(), self, from) != self) {
      m_judge_heard_at = now;
    }
    return;
  }
  m_participant.OnDirective(directive, now);
  if (!directive.subtree.empty()) {
    Forward(directive, directive.subtree);
  }
}

void RolloutCoordinator::SendReports(TimePoint now) {
  const MemberRecord& self = m_control.membership()->self;
  for (const auto& due : m_participant.TakeDueReports(self.incarnation, now)) {
    if (due.judge == self.node) {
      m_director.OnReport(self.node, due.message, now);
    } else {
      m_control.Send(due.judge, due.message);
    }
  }
}

/// All nodes that may send requests. Those of another failure domain that
/// cannot be reached are among them.
std::vector<RolloutJudge::RequiredNode> RolloutCoordinator::RequiredNodes()
    const {
  std::vector<RolloutJudge::RequiredNode> nodes;
  for (const auto& record : m_control.membership()->members) {
    if (IsLive(*record)) {
      nodes.push_back(
          {.node = record->node, .incarnation = record->incarnation});
    }
  }
  return nodes;
}

void RolloutCoordinator::OnRead(const RolloutReadResult& read, bool is_list) {
  if (m_is_judge) {
    m_director.OnRead(read, is_list, m_participant.known(),
                      SystemClock().Now());
  }
}

void RolloutCoordinator::OnWritten(const RolloutWrite& write,
                                   std::optional<bool> written) {
  m_director.OnWritten(write, written);
  kLog.Event({{"event", "rollout_written"},
              {"service", write.object.service.str()},
              {"state", static_cast<int>(write.state)},
              {"took_effect", written.value_or(false)},
              {"is_known", written.has_value()}});
}

}  // namespace banyantrail
