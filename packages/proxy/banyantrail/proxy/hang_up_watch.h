#pragma once

#include <functional>
#include <memory>

#include "banyantrail/proxy/connection.h"

namespace banyantrail {

/// Watches a connection for its other end hanging up while nothing is read
/// from it, for example while a request waits for a slot.
class HangUpWatch {
 public:
  /// `on_hang_up` is called at most once.
  HangUpWatch(Downstream& downstream, std::function<void()> on_hang_up);
  HangUpWatch(const HangUpWatch&) = delete;
  HangUpWatch& operator=(const HangUpWatch&) = delete;

  /// Ends the watch and returns when nothing of it runs any more. Must be
  /// called before the downstream object goes or is read from again.
  asio::awaitable<void> Stop();

 private:
  struct State;
  std::shared_ptr<State> m_state;
};

}  // namespace banyantrail
