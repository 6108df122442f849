#pragma once

// Must come first: the coroutine headers of Asio in Boost 1.74 use <utility>
// without including it.
#include <utility>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <chrono>

#include "banyantrail/core/ip_endpoint.h"

namespace banyantrail {

namespace asio = boost::asio;
namespace beast = boost::beast;

/// Converts an endpoint whose address has been validated.
inline asio::ip::tcp::endpoint ToTcpEndpoint(const IpEndpoint& endpoint) {
  return {asio::ip::make_address(endpoint.address), endpoint.port};
}

/// Makes a connection fail within seconds when its peer has crashed, is
/// unreachable or no longer knows the connection. `user_timeout` sets
/// TCP_USER_TIMEOUT, the longest time that sent data may stay unacknowledged;
/// keep-alive probes detect a dead peer while the connection is idle.
void EnableDeadPeerDetection(asio::ip::tcp::socket& socket,
                             std::chrono::milliseconds user_timeout);

/// Peeks for one byte without blocking. Returns no error if there is one,
/// would_block if there is none, and another error if the connection is closed
/// or broken.
boost::system::error_code PeekNonBlocking(asio::ip::tcp::socket& socket);

}  // namespace banyantrail
