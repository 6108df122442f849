#include "banyantrail/proxy/connection.h"

#include <poll.h>

#include <vector>

namespace banyantrail {

CancelTimer::CancelTimer(beast::tcp_stream& stream, Duration timeout)
    : m_state(std::make_shared<State>(State{.stream = &stream})),
      m_timer(stream.get_executor()) {
  m_timer.expires_after(timeout);
  m_timer.async_wait([state = m_state](const boost::system::error_code& error) {
    if (!error && state->stream != nullptr) {
      state->fired = true;
      state->stream->cancel();
    }
  });
}

CancelTimer::~CancelTimer() {
  m_state->stream = nullptr;
}

Upstream::~Upstream() {
  if (!request_in_flight) {
    return;
  }
  constexpr int kLingerSeconds = 0;  // Closing sends a reset.
  boost::system::error_code ignored;
  stream.socket().set_option(asio::socket_base::linger(true, kLingerSeconds),
                             ignored);
}

void Upstream::OnWriteFailed(const boost::system::error_code& error) {
  // EPIPE: the server had ended its side before it reset the connection, so
  // all that it sent has arrived.
  const bool ended_before = error == asio::error::broken_pipe;
  const bool was_cancelled = error == asio::error::operation_aborted;
  lost_while_writing = lost_while_writing || !(ended_before || was_cancelled);
}

bool HasDisconnected(Downstream& downstream) {
  const boost::system::error_code error =
      PeekNonBlocking(downstream.stream.socket());
  return error && error != asio::error::would_block;
}

bool HasHungUp(Downstream& downstream) {
  pollfd state{.fd = downstream.stream.socket().native_handle(),
               .events = POLLRDHUP,
               .revents = 0};
  constexpr int kNoWaitMs = 0;
  return ::poll(&state, 1, kNoWaitMs) > 0;
}

void Close(beast::tcp_stream& stream) {
  boost::system::error_code ignored;
  stream.socket().shutdown(asio::ip::tcp::socket::shutdown_both, ignored);
  stream.close();
}

asio::awaitable<void> CloseAfterResponse(Downstream& downstream) {
  constexpr Duration kMaxTime = milliseconds(500);
  constexpr std::size_t kMaxBytes = 4U << 20U;
  constexpr std::size_t kReadBytes = 16U << 10U;
  beast::tcp_stream& stream = downstream.stream;
  boost::system::error_code error;
  if (!downstream.has_unread_body && !downstream.is_pipelined) {
    Close(stream);
    co_return;
  }
  stream.socket().shutdown(asio::ip::tcp::socket::shutdown_send, error);
  stream.expires_after(kMaxTime);
  std::vector<char> discarded(kReadBytes);
  std::size_t total = 0;
  while (!error && total < kMaxBytes) {
    total += co_await stream.async_read_some(
        asio::buffer(discarded),
        asio::redirect_error(asio::use_awaitable, error));
  }
  Close(stream);
}

}  // namespace banyantrail
