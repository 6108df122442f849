#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string_view>
#include <vector>

#include "banyantrail/net/asio.h"
#include "banyantrail/node/membership_view.h"
#include "banyantrail/traffic/team_quotas.h"

namespace banyantrail {

/// Lets coroutines of the request path wait for the decisions of TeamQuotas,
/// and exchanges its messages. Runs on the I/O thread, without actors.
class TeamQuotaGate {
 public:
  struct Options {
    TeamQuotas::Options quotas;
    /// A request waits for a token no longer than this.
    Duration max_wait = milliseconds(50);
    std::function<void(const NodeId&, const PeerMessage&)> send;
    /// Counts the outcome of a request for the metrics.
    std::function<void(const TeamName&, std::string_view outcome)> count =
        [](const TeamName&, std::string_view) {};
  };

  TeamQuotaGate(asio::any_io_executor executor, Options options);
  TeamQuotaGate(const TeamQuotaGate&) = delete;
  TeamQuotaGate& operator=(const TeamQuotaGate&) = delete;
  ~TeamQuotaGate();

  void SetTeams(const std::vector<RoutedTeam>& teams);
  /// `knows_other_nodes`: there are nodes to join, so that a node that sees
  /// only itself is not alone.
  void SetMembers(const MembershipView& view, bool knows_other_nodes);
  void OnMessage(const NodeId& from, const PeerMessage& message);

  /// Waits for a token of the team, at most until `deadline`. Returns when the
  /// caller may expect one if there is none.
  asio::awaitable<std::optional<Duration>> Acquire(TeamName team,
                                                   TimePoint deadline);

  /// A request with a token certainly did not run.
  void GiveBack(const TeamName& team);

  std::vector<TeamQuotaStatus> Status() const;

 private:
  struct Waiter;

  void Apply(const QuotaEffects& effects);
  void Wake(std::uint64_t request, std::optional<QuotaRefusal> refusal);
  void ScheduleExpiry();
  asio::awaitable<void> RunExpiry(std::shared_ptr<bool> alive);

  asio::any_io_executor m_executor;
  Options m_options;
  TeamQuotas m_quotas;
  std::map<std::uint64_t, std::shared_ptr<Waiter>> m_waiters;
  std::uint64_t m_last_request = 0;
  asio::steady_timer m_expiry_timer;
  TimePoint m_next_expiry = TimePoint::max();
  std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

}  // namespace banyantrail
