#include "banyantrail/net/asio.h"

#include <netinet/tcp.h>

namespace banyantrail {
namespace {

template <int kName>
using TcpOption = asio::detail::socket_option::integer<IPPROTO_TCP, kName>;

/// Idle time before the first keep-alive probe, and time between probes.
constexpr int kKeepAliveIntervalS = 1;
/// Unanswered keep-alive probes after which the connection fails.
constexpr int kMaxUnansweredProbes = 2;

}  // namespace

void EnableDeadPeerDetection(asio::ip::tcp::socket& socket,
                             std::chrono::milliseconds user_timeout) {
  boost::system::error_code ignored;
  const int timeout_ms = static_cast<int>(user_timeout.count());
  socket.set_option(TcpOption<TCP_USER_TIMEOUT>(timeout_ms), ignored);
  socket.set_option(TcpOption<TCP_KEEPIDLE>(kKeepAliveIntervalS), ignored);
  socket.set_option(TcpOption<TCP_KEEPINTVL>(kKeepAliveIntervalS), ignored);
  socket.set_option(TcpOption<TCP_KEEPCNT>(kMaxUnansweredProbes), ignored);
  socket.set_option(asio::socket_base::keep_alive(true), ignored);
}

boost::system::error_code PeekNonBlocking(asio::ip::tcp::socket& socket) {
  boost::system::error_code error;
  if (!socket.non_blocking()) {
    socket.non_blocking(true, error);
  }
  char byte = 0;
  socket.receive(asio::buffer(&byte, 1), asio::socket_base::message_peek,
                 error);
  return error;
}

}  // namespace banyantrail
