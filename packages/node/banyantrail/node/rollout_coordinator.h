#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <vector>

#include "banyantrail/distribution/rollout_director.h"
#include "banyantrail/net/asio.h"
#include "banyantrail/node/control_plane.h"
#include "banyantrail/node/data_plane.h"
#include "banyantrail/node/metrics.h"
#include "banyantrail/node/rollout_participant.h"

namespace banyantrail {

/// The nodes that may be the judge, in order of precedence: the first one in
/// rendezvous order of each failure domain. Another failure domain is never
/// declared dead from outside, so a successor comes from another one.
std::vector<NodeId> JudgeCandidates(const MembershipView& view);

/// Carries the messages of roll-outs between the nodes and runs the judge where
/// this node is it. Runs on the I/O thread.
class RolloutCoordinator {
 public:
  RolloutCoordinator(asio::io_context& io,
                     const NodeId& self,
                     ControlPlane& control,
                     DataPlane& data,
                     Metrics& metrics);
  RolloutCoordinator(const RolloutCoordinator&) = delete;
  RolloutCoordinator& operator=(const RolloutCoordinator&) = delete;

  /// A directive or a report from another node.
  void OnMessage(const NodeId& from, const PeerMessage& message);

  // See RolloutStoreTaskOptions.
  std::uint64_t judge_term() const { return m_is_judge ? m_term : 0; }
  void OnRead(const RolloutReadResult& read, bool is_list);
  std::optional<RolloutWrite> NextWrite() { return m_director.NextWrite(); }
  void OnWritten(const RolloutWrite& write, std::optional<bool> written);

 private:
  asio::awaitable<void> RunTicks();
  void Tick(TimePoint now);
  void UpdateRole(TimePoint now);
  void SendHeartbeats(TimePoint now);
  void Direct(TimePoint now);
  void GreetJoined(TimePoint now);
  void SendToAll(const RolloutDirectiveMessage& directive);
  void Forward(const RolloutDirectiveMessage& directive,
               const std::vector<NodeId>& members);
  void OnDirective(const NodeId& from,
                   const RolloutDirectiveMessage& directive);
  void SendReports(TimePoint now);
  std::vector<RolloutJudge::RequiredNode> RequiredNodes() const;

  ControlPlane& m_control;
  Metrics& m_metrics;
  RolloutParticipant m_participant;
  RolloutDirector m_director;
  asio::steady_timer m_timer;
  /// Of the newest view of the membership.
  std::vector<NodeId> m_candidates;
  std::shared_ptr<const MembershipView> m_view;
  bool m_is_judge = false;
  std::uint64_t m_term = 0;
  /// When a judge with precedence over this node was last heard.
  TimePoint m_judge_heard_at;
  TimePoint m_heartbeat_at{};
  /// The members that have got the directives, with their incarnations.
  std::map<NodeId, Incarnation> m_greeted;
};

}  // namespace banyantrail
