#pragma once

// Asio's coroutine headers of Boost 1.74 need <utility> in front of them.
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

/// The Asio form of an endpoint, whose address is already known to be valid.
inline asio::ip::tcp::endpoint ToTcpEndpoint(const IpEndpoint& endpoint) {
  return {asio::ip::make_address(endpoint.address), endpoint.port};
}

/// Makes a connection fail within seconds when its peer is gone, cut off, or
/// has lost track of it: `unacknowledged` bounds how long sent bytes may stay
/// without acknowledgement; keep-alive probes find out while nothing is sent.
void BoundSilence(asio::ip::tcp::socket& socket,
                  std::chrono::milliseconds unacknowledged);

}  // namespace banyantrail
