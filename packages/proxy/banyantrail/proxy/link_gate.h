#pragma once

#include <cstddef>
#include <map>
#include <memory>

#include "banyantrail/net/asio.h"
#include "banyantrail/traffic/link_turns.h"

namespace banyantrail {

/// Lets the coroutines that relay responses wait for their turns on the link of
/// the VM, and bounds what they buffer meanwhile.
class LinkGate {
 public:
  LinkGate(asio::any_io_executor executor, LinkTurns::Options options);
  LinkGate(const LinkGate&) = delete;
  LinkGate& operator=(const LinkGate&) = delete;
  ~LinkGate();

  std::size_t slice_bytes() const { return m_turns.slice_bytes(); }

  /// Accounts for a response that is sent without a turn.
  void Book(std::size_t bytes);

  /// Waits until the slice may be written. Returns false if the deadline comes
  /// first.
  asio::awaitable<bool> AwaitTurn(LinkSlice slice, TimePoint deadline);

  /// Takes bytes from the budget for buffers of large responses, until the
  /// reservation is destroyed, which may be after the gate. Returns null if too
  /// few are left; the response then keeps to its first buffer.
  std::shared_ptr<const void> TryReserve(std::size_t bytes);

 private:
  struct Waiter;

  void GrantTurns();

  asio::any_io_executor m_executor;
  LinkTurns m_turns;
  std::map<RequestId, std::shared_ptr<Waiter>> m_waiters;
  asio::steady_timer m_timer;
  std::shared_ptr<std::size_t> m_reserved_bytes =
      std::make_shared<std::size_t>(0);
  std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

/// How a response uses a low-bandwidth link.
struct LinkUse {
  LinkGate& gate;
  RequestId response = 0;
  TimePoint admitted_at;
  bool is_nested_call = false;
};

}  // namespace banyantrail
