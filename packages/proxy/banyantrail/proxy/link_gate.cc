#include "banyantrail/proxy/link_gate.h"

#include <utility>

namespace banyantrail {
namespace {

/// Bound on the buffers of all large responses, beyond the first
/// kLargeResponseBytes of each.
constexpr std::size_t kMaxReservedBytes = 2U << 20U;

}  // namespace

/// A coroutine that waits for its turn.
struct LinkGate::Waiter {
  explicit Waiter(const asio::any_io_executor& executor) : timer(executor) {}

  asio::steady_timer timer;
  bool is_decided = false;
  bool is_granted = false;
};

LinkGate::LinkGate(asio::any_io_executor executor, LinkTurns::Options options)
    : m_executor(std::move(executor)), m_turns(options), m_timer(m_executor) {}

LinkGate::~LinkGate() {
  *m_alive = false;
  m_timer.cancel();
  for (const auto& [response, waiter] : m_waiters) {
    waiter->is_decided = true;
    waiter->timer.cancel();
  }
}

void LinkGate::Book(std::size_t bytes) {
  m_turns.Book(bytes, SystemClock().Now());
}

asio::awaitable<bool> LinkGate::AwaitTurn(LinkSlice slice, TimePoint deadline) {
  const std::shared_ptr<bool> alive = m_alive;
  const auto waiter = std::make_shared<Waiter>(m_executor);
  waiter->timer.expires_at(deadline);
  m_waiters[slice.response] = waiter;
  m_turns.Wait(slice);
  GrantTurns();
  boost::system::error_code ignored;
  while (!waiter->is_decided && SystemClock().Now() < deadline) {
    co_await waiter->timer.async_wait(
        asio::redirect_error(asio::use_awaitable, ignored));
  }
  if (!waiter->is_decided && *alive) {
    m_turns.Cancel(slice.response);
    m_waiters.erase(slice.response);
  }
  co_return waiter->is_granted;
}

std::shared_ptr<const void> LinkGate::TryReserve(std::size_t bytes) {
  if (*m_reserved_bytes + bytes > kMaxReservedBytes) {
    return nullptr;
  }
  *m_reserved_bytes += bytes;
  // The pointer stands for the reservation; only its deleter has an effect.
  return {m_reserved_bytes.get(),
          [reserved = m_reserved_bytes, bytes](const void* /*counter*/) {
            *reserved -= bytes;
          }};
}

void LinkGate::GrantTurns() {
  while (const auto granted = m_turns.Grant(SystemClock().Now())) {
    const auto found = m_waiters.find(*granted);
    found->second->is_decided = true;
    found->second->is_granted = true;
    found->second->timer.cancel();
    m_waiters.erase(found);
  }
  const auto next = m_turns.NextWakeup();
  if (!next) {
    return;
  }
  m_timer.expires_at(*next);
  m_timer.async_wait(
      [this, alive = m_alive](const boost::system::error_code& error) {
        if (!error && *alive) {
          GrantTurns();
        }
      });
}

}  // namespace banyantrail
