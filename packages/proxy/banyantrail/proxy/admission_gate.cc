#include "banyantrail/proxy/admission_gate.h"

#include <utility>

namespace banyantrail {

/// A coroutine that waits for the decision on its request.
struct AdmissionGate::Waiter {
  explicit Waiter(const asio::any_io_executor& executor) : timer(executor) {
    timer.expires_at(TimePoint::max());
  }

  asio::steady_timer timer;
  bool is_decided = false;
  std::optional<RefusalReason> refusal;
};

AdmissionGate::AdmissionGate(asio::any_io_executor executor,
                             AdmissionOptions options)
    : m_executor(std::move(executor)),
      m_queue(std::move(options)),
      m_expiry_timer(m_executor) {
  asio::co_spawn(
      m_executor, [this, alive = m_alive]() { return RunExpiry(alive); },
      asio::detached);
}

AdmissionGate::~AdmissionGate() {
  *m_alive = false;
  m_expiry_timer.cancel();
  for (const auto& [request, waiter] : m_waiters) {
    waiter->is_decided = true;
    waiter->refusal = RefusalReason::kDraining;
    waiter->timer.cancel();
  }
}

OfferResult AdmissionGate::Offer(const AdmissionRequest& request) {
  const OfferResult result = m_queue.Offer(request, SystemClock().Now());
  if (std::holds_alternative<Queued>(result)) {
    m_waiters[request.id] = std::make_shared<Waiter>(m_executor);
    ScheduleExpiry();
  }
  return result;
}

asio::awaitable<std::optional<RefusalReason>> AdmissionGate::Wait(
    RequestId request) {
  const std::shared_ptr<Waiter> waiter = m_waiters.at(request);
  boost::system::error_code ignored;
  while (!waiter->is_decided) {
    co_await waiter->timer.async_wait(
        asio::redirect_error(asio::use_awaitable, ignored));
  }
  co_return waiter->refusal;
}

void AdmissionGate::Release(RequestId request, AttemptOutcome outcome) {
  Wake(m_queue.Release(request, outcome, SystemClock().Now()));
}

void AdmissionGate::Cancel(RequestId request) {
  Wake(m_queue.Cancel(request, SystemClock().Now()));
  Wake(request, RefusalReason::kCancelled);
}

void AdmissionGate::Drain() {
  Wake(m_queue.Drain(SystemClock().Now()));
}

void AdmissionGate::Restart(std::uint32_t announced_slots) {
  m_queue.Restart(announced_slots, SystemClock().Now());
}

void AdmissionGate::SetAnnouncedSlots(std::uint32_t announced_slots) {
  m_queue.SetAnnouncedSlots(announced_slots);
}

void AdmissionGate::SetRanks(const std::vector<RankShare>& ranks) {
  m_queue.SetRanks(ranks);
}

void AdmissionGate::Wake(const AdmissionChanges& changes) {
  for (const RequestId request : changes.admitted) {
    Wake(request, std::nullopt);
  }
  for (const RefusedRequest& refused : changes.refused) {
    Wake(refused.request, refused.reason);
  }
  ScheduleExpiry();
}

void AdmissionGate::Wake(RequestId request,
                         std::optional<RefusalReason> refusal) {
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

void AdmissionGate::ScheduleExpiry() {
  const std::optional<TimePoint> wakeup =
      m_queue.NextWakeup(SystemClock().Now());
  m_expiry_timer.expires_at(wakeup.value_or(TimePoint::max()));
}

asio::awaitable<void> AdmissionGate::RunExpiry(std::shared_ptr<bool> alive) {
  boost::system::error_code error;
  m_expiry_timer.expires_at(TimePoint::max());
  while (*alive) {
    co_await m_expiry_timer.async_wait(
        asio::redirect_error(asio::use_awaitable, error));
    if (*alive && !error) {
      Wake(m_queue.Expire(SystemClock().Now()));
    }
  }
}

}  // namespace banyantrail
