#include "banyantrail/net/asio.h"

#include <netinet/tcp.h>

namespace banyantrail {
namespace {

template <int kName>
using TcpOption = asio::detail::socket_option::integer<IPPROTO_TCP, kName>;

/// Idle time before the first keep-alive probe, and time between probes.
constexpr int kProbeIntervalS = 1;
/// Unanswered keep-alive probes after which the connection fails.
constexpr int kUnansweredProbes = 2;

}  // namespace

void BoundSilence(asio::ip::tcp::socket& socket,
                  std::chrono::milliseconds unacknowledged) {
  boost::system::error_code ignored;
  const int timeout_ms = static_cast<int>(unacknowledged.count());
  socket.set_option(TcpOption<TCP_USER_TIMEOUT>(timeout_ms), ignored);
  socket.set_option(TcpOption<TCP_KEEPIDLE>(kProbeIntervalS), ignored);
  socket.set_option(TcpOption<TCP_KEEPINTVL>(kProbeIntervalS), ignored);
  socket.set_option(TcpOption<TCP_KEEPCNT>(kUnansweredProbes), ignored);
  socket.set_option(asio::socket_base::keep_alive(true), ignored);
}

}  // namespace banyantrail
