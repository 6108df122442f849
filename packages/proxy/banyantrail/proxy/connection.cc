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

boost::system::error_code PeekNonBlocking(beast::tcp_stream& stream) {
  asio::ip::tcp::socket& socket = stream.socket();
  boost::system::error_code error;
  if (!socket.non_blocking()) {
    socket.non_blocking(true, error);
  }
  char byte = 0;
  socket.receive(asio::buffer(&byte, 1), asio::socket_base::message_peek,
                 error);
  return error;
}

bool HasDisconnected(Downstream& downstream) {
  const boost::system::error_code error = PeekNonBlocking(downstream.stream);
  return error && error != asio::error::would_block;
}

void Close(beast::tcp_stream& stream) {
  boost::system::error_code ignored;
  stream.socket().shutdown(asio::ip::tcp::socket::shutdown_both, ignored);
  stream.close();
}

}  // namespace banyantrail
