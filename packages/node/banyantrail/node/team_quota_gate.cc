#include "banyantrail/node/team_quota_gate.h"

#include <algorithm>
#include <utility>

namespace banyantrail {
namespace {

std::string_view OutcomeOf(const std::optional<QuotaRefusal>& refusal) {
  if (!refusal) {
    return "granted";
  }
  return refusal->cause == QuotaRefusalCause::kLimit ? "refused_limit"
                                                     : "refused_no_response";
}

}  // namespace

/// A coroutine that waits for the decision on its request.
struct TeamQuotaGate::Waiter {
  explicit Waiter(const asio::any_io_executor& executor) : timer(executor) {
    timer.expires_at(TimePoint::max());
  }

  asio::steady_timer timer;
  bool is_decided = false;
  std::optional<QuotaRefusal> refusal;
};

TeamQuotaGate::TeamQuotaGate(asio::any_io_executor executor, Options options)
    : m_executor(std::move(executor)),
      m_options(std::move(options)),
      m_quotas(m_options.quotas),
      m_expiry_timer(m_executor) {
  asio::co_spawn(
      m_executor, [this, alive = m_alive]() { return RunExpiry(alive); },
      asio::detached);
}

TeamQuotaGate::~TeamQuotaGate() {
  *m_alive = false;
  m_expiry_timer.cancel();
}

void TeamQuotaGate::SetTeams(const std::vector<RoutedTeam>& teams) {
  Apply(m_quotas.SetTeams(teams, SystemClock().Now()));
}

void TeamQuotaGate::SetMembers(const MembershipView& view,
                               bool knows_other_nodes) {
  const bool is_alone = view.members.size() <= 1 && !knows_other_nodes;
  Apply(m_quotas.SetMembers(
      view.members,
      {.is_complete = view.joined || is_alone, .is_isolated = view.isolated},
      SystemClock().Now()));
}

void TeamQuotaGate::OnMessage(const NodeId& from, const PeerMessage& message) {
  const TimePoint now = SystemClock().Now();
  if (const auto* request = std::get_if<QuotaRequestMessage>(&message)) {
    Apply(m_quotas.OnRequest(from, *request, now));
  } else if (const auto* reply = std::get_if<QuotaReplyMessage>(&message)) {
    Apply(m_quotas.OnReply(*reply, now));
  }
}

asio::awaitable<std::optional<Duration>> TeamQuotaGate::Acquire(
    TeamName team,
    TimePoint deadline) {
  const TimePoint now = SystemClock().Now();
  const std::uint64_t request = ++m_last_request;
  const auto waiter = std::make_shared<Waiter>(m_executor);
  m_waiters[request] = waiter;
  Apply(m_quotas.Offer(
      team,
      {.id = request, .give_up = std::min(now + m_options.max_wait, deadline)},
      now));
  boost::system::error_code ignored;
  while (!waiter->is_decided) {
    co_await waiter->timer.async_wait(
        asio::redirect_error(asio::use_awaitable, ignored));
  }
  m_options.count(team, OutcomeOf(waiter->refusal));
  if (!waiter->refusal) {
    co_return std::nullopt;
  }
  co_return waiter->refusal->retry_after;
}

void TeamQuotaGate::GiveBack(const TeamName& team) {
  m_options.count(team, "given_back");
  Apply(m_quotas.GiveBack(team, SystemClock().Now()));
}

std::vector<TeamQuotaStatus> TeamQuotaGate::Status() const {
  return m_quotas.Status(SystemClock().Now());
}

void TeamQuotaGate::Apply(const QuotaEffects& effects) {
  for (const std::uint64_t request : effects.granted) {
    Wake(request, std::nullopt);
  }
  for (const QuotaRefusal& refusal : effects.refused) {
    Wake(refusal.id, refusal);
  }
  for (const QuotaMessage& message : effects.messages) {
    std::visit([&](const auto& body) { m_options.send(message.to, body); },
               message.body);
  }
  ScheduleExpiry();
}

void TeamQuotaGate::Wake(std::uint64_t request,
                         std::optional<QuotaRefusal> refusal) {
  const auto found = m_waiters.find(request);
  if (found == m_waiters.end()) {
    return;
  }
  const std::shared_ptr<Waiter> waiter = found->second;
  m_waiters.erase(found);
  waiter->is_decided = true;
  waiter->refusal = refusal;
  waiter->timer.cancel();
}

void TeamQuotaGate::ScheduleExpiry() {
  const TimePoint next = m_waiters.empty()
                             ? TimePoint::max()
                             : m_quotas.NextWakeup().value_or(TimePoint::max());
  if (next != m_next_expiry) {
    m_next_expiry = next;
    m_expiry_timer.expires_at(next);
  }
}

asio::awaitable<void> TeamQuotaGate::RunExpiry(std::shared_ptr<bool> alive) {
  boost::system::error_code error;
  m_expiry_timer.expires_at(m_next_expiry);
  while (*alive) {
    co_await m_expiry_timer.async_wait(
        asio::redirect_error(asio::use_awaitable, error));
    if (*alive && !error) {
      m_next_expiry = TimePoint::max();
      m_expiry_timer.expires_at(m_next_expiry);
      Apply(m_quotas.Expire(SystemClock().Now()));
    }
  }
}

}  // namespace banyantrail
