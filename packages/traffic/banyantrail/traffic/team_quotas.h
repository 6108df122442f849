#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <variant>
#include <vector>

#include "banyantrail/traffic/quota_holder.h"
#include "banyantrail/traffic/quota_members.h"
#include "banyantrail/traffic/quota_spender.h"
#include "banyantrail/traffic/routing_snapshot.h"
#include "banyantrail/wire/peer_messages.h"

namespace banyantrail {

/// A message of the team rate limits to another node.
struct QuotaMessage {
  NodeId to;
  std::variant<QuotaRequestMessage, QuotaReplyMessage> body;

  friend bool operator==(const QuotaMessage&, const QuotaMessage&) = default;
};

/// What follows from an event: requests that may run, requests that may not,
/// and messages to send.
struct QuotaEffects {
  std::vector<std::uint64_t> granted;
  std::vector<QuotaRefusal> refused;
  std::vector<QuotaMessage> messages;
};

/// What this node knows of a team's use of its limit.
struct TeamQuotaStatus {
  TeamName team;
  QuotaLimit limit;
  /// Requests per second that this node granted, averaged over 5 s.
  double granted_per_s = 0;
  // Counts since the start.
  std::uint64_t granted = 0;
  std::uint64_t given_back = 0;
  std::uint64_t refused_limit = 0;
  std::uint64_t refused_no_response = 0;
  /// Messages to holders without a reply in time.
  std::uint64_t silences = 0;
  /// The nodes that lend the team's tokens to this node.
  std::vector<NodeId> holders;

  friend bool operator==(const TeamQuotaStatus&,
                         const TeamQuotaStatus&) = default;
};

/// The rate limits of teams at one node: decides on the requests that arrive
/// here, and lends the tokens of the teams that this node is the holder of.
class TeamQuotas {
 public:
  struct Options {
    NodeId self;
    DomainId domain;
    QuotaBound bound;
    QuotaSpender::Options spender;
    /// A node that becomes the holder of a team lends nothing for this long,
    /// because the preceding holder lends until it learns of the change.
    Duration takeover_delay = seconds(1);
  };

  /// The state of the membership.
  struct MembershipState {
    /// The node knows all members, or has nobody to learn them from. Until then
    /// it neither asks nor lends: it might take itself for the holder of every
    /// team.
    bool is_complete = false;
    /// See QuotaMembers::Update.
    bool is_isolated = false;
  };

  explicit TeamQuotas(Options options);

  /// Sets the limits. Requests of teams that have none any more are granted.
  QuotaEffects SetTeams(const std::vector<RoutedTeam>& teams, TimePoint now);

  QuotaEffects SetMembers(const QuotaMembers::SharedMembers& members,
                          const MembershipState& state,
                          TimePoint now);

  /// Offers a request of a team. Without a decision in the result, it waits.
  QuotaEffects Offer(const TeamName& team,
                     const QuotaRequest& request,
                     TimePoint now);

  /// A request that was granted certainly did not run.
  QuotaEffects GiveBack(const TeamName& team, TimePoint now);

  QuotaEffects OnRequest(const NodeId& from,
                         const QuotaRequestMessage& message,
                         TimePoint now);
  QuotaEffects OnReply(const QuotaReplyMessage& message, TimePoint now);

  /// Call when NextWakeup() is reached.
  QuotaEffects Expire(TimePoint now);
  /// Empty if no request waits.
  std::optional<TimePoint> NextWakeup() const;

  /// The teams with a limit.
  std::vector<TeamQuotaStatus> Status(TimePoint now) const;

 private:
  static constexpr std::size_t kUseSeconds = 5;

  /// Requests granted in each of the last seconds.
  struct Use {
    std::array<std::uint32_t, kUseSeconds> counts{};
    std::int64_t second = 0;

    void Advance(TimePoint now);
  };

  struct Team {
    Team(const QuotaLimit& declared,
         const QuotaSpender::Options& options,
         TimePoint now)
        : limit(declared), spender(options, now) {}

    QuotaLimit limit;
    QuotaSpender spender;
    std::vector<NodeId> holders;
    /// Set if this node is the holder of its failure domain.
    std::optional<QuotaHolder> lending;
    Use use;
    std::uint64_t granted = 0;
    std::uint64_t given_back = 0;
    std::uint64_t refused_limit = 0;
    std::uint64_t refused_no_response = 0;
  };

  void Refresh(const TeamName& name,
               Team& team,
               TimePoint lending_start,
               TimePoint now,
               QuotaEffects& effects);
  void Apply(const TeamName& name,
             Team& team,
             QuotaChanges changes,
             TimePoint now,
             QuotaEffects& effects);
  static void Count(Team& team, const QuotaChanges& changes, TimePoint now);
  QuotaGrant Lend(Team& team, const QuotaAsk& ask, TimePoint now);

  Options m_options;
  QuotaMembers m_members;
  MembershipState m_state;
  /// When this node learned its position among the members.
  std::optional<TimePoint> m_joined_at;
  std::map<TeamName, Team> m_teams;
};

}  // namespace banyantrail
