#include "banyantrail/proxy/disconnect_watch.h"

#include <utility>

namespace banyantrail {

struct DisconnectWatch::State {
  State(Downstream& watched, std::function<void()> callback)
      : downstream(watched),
        on_disconnect(std::move(callback)),
        finished(watched.stream.get_executor()) {}

  Downstream& downstream;
  std::function<void()> on_disconnect;
  asio::steady_timer finished;
  bool running = true;
  bool stopping = false;
};

DisconnectWatch::DisconnectWatch(Downstream& downstream,
                                 std::function<void()> on_disconnect)
    : m_state(std::make_shared<State>(downstream, std::move(on_disconnect))) {
  m_state->finished.expires_at(TimePoint::max());
  auto watch = [](std::shared_ptr<State> state) -> asio::awaitable<void> {
    asio::ip::tcp::socket& socket = state->downstream.stream.socket();
    boost::system::error_code error;
    // Stop may be called before this coroutine has started.
    if (!state->stopping) {
      co_await socket.async_wait(
          asio::ip::tcp::socket::wait_read,
          asio::redirect_error(asio::use_awaitable, error));
    }
    if (!state->stopping) {
      boost::system::error_code available_error;
      const std::size_t available = socket.available(available_error);
      // Readable without data: the peer closed the connection.
      if (error || available_error || available == 0) {
        state->on_disconnect();
      }
    }
    state->running = false;
    state->finished.cancel();
  };
  asio::co_spawn(downstream.stream.get_executor(), watch(m_state),
                 asio::detached);
}

asio::awaitable<void> DisconnectWatch::Stop() {
  m_state->stopping = true;
  boost::system::error_code ignored;
  if (m_state->running) {
    m_state->downstream.stream.socket().cancel(ignored);
  }
  while (m_state->running) {
    co_await m_state->finished.async_wait(
        asio::redirect_error(asio::use_awaitable, ignored));
  }
}

}  // namespace banyantrail
