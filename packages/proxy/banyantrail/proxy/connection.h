#pragma once

#include <cstdint>
#include <memory>

#include "banyantrail/core/clock.h"
#include "banyantrail/net/asio.h"

namespace banyantrail {

/// A connection whose other end sends requests: a caller or another node.
struct Downstream {
  explicit Downstream(beast::tcp_stream accepted)
      : stream(std::move(accepted)) {}

  beast::tcp_stream stream;
  beast::flat_buffer buffer;
  /// Set when the connection cannot carry another request, for example
  /// because part of a body was left unread.
  bool must_close = false;
};

/// A connection on which this node sends requests: to another node or to a
/// backend server.
struct Upstream {
  explicit Upstream(const asio::any_io_executor& executor) : stream(executor) {}

  beast::tcp_stream stream;
  beast::flat_buffer buffer;
  IpEndpoint server;
  /// It carried a request before this one.
  bool reused = false;
  TimePoint idle_since{};
  /// Identifies the connection in the pool's bookkeeping.
  std::uint64_t number = 0;
};

using UpstreamPtr = std::unique_ptr<Upstream>;

/// Closes both directions at once, ignoring errors.
void Close(beast::tcp_stream& stream);

}  // namespace banyantrail
