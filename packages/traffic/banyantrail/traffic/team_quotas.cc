#include "banyantrail/traffic/team_quotas.h"

#include <algorithm>
#include <numeric>
#include <set>
#include <utility>

namespace banyantrail {
namespace {

/// When a node that is not the holder may be asked again.
constexpr Duration kNotHolderRetry = milliseconds(100);

QuotaLimit LimitOf(const RoutedTeam& team) {
  return {.requests_per_s = team.requests_per_s,
          .burst = static_cast<double>(team.burst)};
}

std::uint32_t ToMilliseconds(Duration duration) {
  return static_cast<std::uint32_t>(
      std::chrono::ceil<milliseconds>(duration).count());
}

std::int64_t SecondOf(TimePoint now) {
  return std::chrono::duration_cast<seconds>(now.time_since_epoch()).count();
}

void Append(std::vector<std::uint64_t>& to,
            const std::vector<std::uint64_t>& from) {
  to.insert(to.end(), from.begin(), from.end());
}

}  // namespace

TeamQuotas::TeamQuotas(Options options)
    : m_options(std::move(options)),
      m_members({.self = m_options.self, .domain = m_options.domain}) {}

QuotaEffects TeamQuotas::SetTeams(const std::vector<RoutedTeam>& teams,
                                  TimePoint now) {
  QuotaEffects effects;
  std::set<TeamName> limited;
  const TimePoint lending_start =
      m_joined_at ? std::max(now, *m_joined_at + m_options.takeover_delay)
                  : now;
  for (const RoutedTeam& routed : teams) {
    if (routed.requests_per_s == 0) {
      continue;
    }
    limited.insert(routed.name);
    const QuotaLimit limit = LimitOf(routed);
    const auto [found, is_new] =
        m_teams.try_emplace(routed.name, limit, m_options.spender, now);
    Team& team = found->second;
    if (is_new || team.limit != limit) {
      team.limit = limit;
      team.spender.ForgetRefusals();
      Refresh(routed.name, team, lending_start, now, effects);
    }
  }
  for (auto& [name, team] : m_teams) {
    if (!limited.contains(name)) {
      Append(effects.granted, team.spender.Release().granted);
    }
  }
  std::erase_if(m_teams, [&limited](const auto& entry) {
    return !limited.contains(entry.first);
  });
  return effects;
}

QuotaEffects TeamQuotas::SetMembers(const QuotaMembers::SharedMembers& members,
                                    const MembershipState& state,
                                    TimePoint now) {
  m_members.Update(members, state.is_isolated, now);
  m_state = state;
  if (m_state.is_complete && !m_joined_at) {
    m_joined_at = now;
  }
  QuotaEffects effects;
  for (auto& [name, team] : m_teams) {
    Refresh(name, team, now + m_options.takeover_delay, now, effects);
  }
  return effects;
}

/// Adapts a team to the members and to its limit. If this node has become the
/// holder, it lends from `lending_start` on.
void TeamQuotas::Refresh(const TeamName& name,
                         Team& team,
                         TimePoint lending_start,
                         TimePoint now,
                         QuotaEffects& effects) {
  const bool takes_part = m_state.is_complete;
  team.holders = takes_part ? m_members.HoldersOf(name) : std::vector<NodeId>{};
  const bool is_holder =
      std::ranges::find(team.holders, m_options.self) != team.holders.end();
  if (!is_holder) {
    team.lending.reset();
  } else if (!team.lending) {
    team.lending.emplace(lending_start);
  }
  const QuotaFleet& fleet = m_members.fleet();
  if (team.lending) {
    team.lending->SetShare(HolderShare(team.limit, fleet, m_options.bound),
                           now);
  }
  team.spender.SetShare(takes_part
                            ? FixedShare(team.limit, fleet, m_options.bound)
                            : QuotaShare{},
                        now);
  Apply(name, team, team.spender.SetHolders(team.holders, now), now, effects);
}

QuotaEffects TeamQuotas::Offer(const TeamName& team,
                               const QuotaRequest& request,
                               TimePoint now) {
  QuotaEffects effects;
  const auto found = m_teams.find(team);
  if (found == m_teams.end()) {
    // The team's limit was removed after the request was routed.
    effects.granted.push_back(request.id);
    return effects;
  }
  Apply(team, found->second, found->second.spender.Offer(request, now), now,
        effects);
  return effects;
}

QuotaEffects TeamQuotas::GiveBack(const TeamName& team, TimePoint now) {
  QuotaEffects effects;
  const auto found = m_teams.find(team);
  if (found != m_teams.end()) {
    ++found->second.given_back;
    Apply(team, found->second, found->second.spender.GiveBack(now), now,
          effects);
  }
  return effects;
}

QuotaEffects TeamQuotas::OnRequest(const NodeId& from,
                                   const QuotaRequestMessage& message,
                                   TimePoint now) {
  QuotaGrant grant{.retry_after = kNotHolderRetry};
  const auto found = m_teams.find(message.team);
  if (found != m_teams.end()) {
    grant = Lend(
        found->second,
        {.from = from, .tokens = message.tokens, .prefetch = message.prefetch},
        now);
  }
  QuotaEffects effects;
  effects.messages.push_back(
      {.to = from,
       .body = QuotaReplyMessage{
           .sequence = message.sequence,
           .team = message.team,
           .granted = grant.granted,
           .retry_after_ms = ToMilliseconds(grant.retry_after)}});
  return effects;
}

QuotaGrant TeamQuotas::Lend(Team& team, const QuotaAsk& ask, TimePoint now) {
  return team.lending ? team.lending->Lend(ask, now)
                      : QuotaGrant{.retry_after = kNotHolderRetry};
}

QuotaEffects TeamQuotas::OnReply(const QuotaReplyMessage& message,
                                 TimePoint now) {
  QuotaEffects effects;
  const auto found = m_teams.find(message.team);
  if (found != m_teams.end()) {
    const QuotaGrant grant{.granted = message.granted,
                           .retry_after = milliseconds(message.retry_after_ms)};
    Apply(message.team, found->second,
          found->second.spender.OnReply(message.sequence, grant, now), now,
          effects);
  }
  return effects;
}

QuotaEffects TeamQuotas::Expire(TimePoint now) {
  QuotaEffects effects;
  for (auto& [name, team] : m_teams) {
    const std::optional<TimePoint> wakeup = team.spender.NextWakeup();
    if (wakeup && *wakeup <= now) {
      Apply(name, team, team.spender.Expire(now), now, effects);
    }
  }
  return effects;
}

std::optional<TimePoint> TeamQuotas::NextWakeup() const {
  std::optional<TimePoint> earliest;
  for (const auto& [name, team] : m_teams) {
    const std::optional<TimePoint> wakeup = team.spender.NextWakeup();
    if (wakeup && (!earliest || *wakeup < *earliest)) {
      earliest = wakeup;
    }
  }
  return earliest;
}

/// Carries out the changes of a team. A message to this node itself is answered
/// at once.
void TeamQuotas::Apply(const TeamName& name,
                       Team& team,
                       QuotaChanges changes,
                       TimePoint now,
                       QuotaEffects& effects) {
  while (true) {
    Count(team, changes, now);
    Append(effects.granted, changes.granted);
    effects.refused.insert(effects.refused.end(), changes.refused.begin(),
                           changes.refused.end());
    if (!changes.ask) {
      return;
    }
    const QuotaAskToSend ask = *changes.ask;
    if (ask.holder != m_options.self) {
      effects.messages.push_back(
          {.to = ask.holder,
           .body = QuotaRequestMessage{.sequence = ask.sequence,
                                       .team = name,
                                       .tokens = ask.tokens,
                                       .prefetch = ask.prefetch}});
      return;
    }
    const QuotaGrant grant = Lend(team,
                                  {.from = m_options.self,
                                   .tokens = ask.tokens,
                                   .prefetch = ask.prefetch},
                                  now);
    changes = team.spender.OnReply(ask.sequence, grant, now);
  }
}

void TeamQuotas::Count(Team& team, const QuotaChanges& changes, TimePoint now) {
  team.use.Advance(now);
  const auto granted = static_cast<std::uint32_t>(changes.granted.size());
  team.use.counts.at(static_cast<std::size_t>(team.use.second) % kUseSeconds) +=
      granted;
  team.granted += granted;
  for (const QuotaRefusal& refusal : changes.refused) {
    const bool is_limit = refusal.cause == QuotaRefusalCause::kLimit;
    ++(is_limit ? team.refused_limit : team.refused_no_response);
  }
}

/// Clears the counts of the seconds that have passed.
void TeamQuotas::Use::Advance(TimePoint now) {
  const std::int64_t current = SecondOf(now);
  const auto window = static_cast<std::int64_t>(kUseSeconds);
  second = std::max(second, current - window);
  while (second < current) {
    ++second;
    counts.at(static_cast<std::size_t>(second) % kUseSeconds) = 0;
  }
}

std::vector<TeamQuotaStatus> TeamQuotas::Status(TimePoint now) const {
  std::vector<TeamQuotaStatus> statuses;
  for (const auto& [name, team] : m_teams) {
    Use use = team.use;
    use.Advance(now);
    const auto recent =
        std::accumulate(use.counts.begin(), use.counts.end(), std::uint32_t{0});
    statuses.push_back(
        {.team = name,
         .limit = team.limit,
         .granted_per_s = static_cast<double>(recent) / kUseSeconds,
         .granted = team.granted,
         .given_back = team.given_back,
         .refused_limit = team.refused_limit,
         .refused_no_response = team.refused_no_response,
         .silences = team.spender.silences(),
         .holders = team.holders});
  }
  return statuses;
}

}  // namespace banyantrail
