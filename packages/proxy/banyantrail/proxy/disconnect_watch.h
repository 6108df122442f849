#pragma once

#include <functional>
#include <memory>

#include "banyantrail/proxy/connection.h"

namespace banyantrail {

/// Detects that the peer of a connection disconnects while nothing is read from
/// it, for example while a request is queued.
class DisconnectWatch {
 public:
  /// `on_disconnect` is called at most once.
  DisconnectWatch(Downstream& downstream, std::function<void()> on_disconnect);
  DisconnectWatch(const DisconnectWatch&) = delete;
  DisconnectWatch& operator=(const DisconnectWatch&) = delete;

  /// Stops watching and returns when the background coroutine has ended. Must
  /// be called before the connection is destroyed or read from again.
  asio::awaitable<void> Stop();

 private:
  struct State;
  std::shared_ptr<State> m_state;
};

}  // namespace banyantrail
