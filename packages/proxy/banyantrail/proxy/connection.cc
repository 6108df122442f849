#include "banyantrail/proxy/connection.h"

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

bool HasDisconnected(Downstream& downstream) {
  const boost::system::error_code error =
      PeekNonBlocking(downstream.stream.socket());
  return error && error != asio::error::would_block;
}

void Close(beast::tcp_stream& stream) {
  boost::system::error_code ignored;
  stream.socket().shutdown(asio::ip::tcp::socket::shutdown_both, ignored);
  stream.close();
}

}  // namespace banyantrail
