#pragma once

#include <cstdint>
#include <limits>
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
  Upstream(const Upstream&) = delete;
  Upstream& operator=(const Upstream&) = delete;
  /// A connection that is given up while a request is on it is reset, so that
  /// bytes which a broken link still holds never reach the server.
  ~Upstream();

  beast::tcp_stream stream;
  beast::flat_buffer buffer;
  IpEndpoint server;
  /// It carried a request before this one.
  bool reused = false;
  /// A request was written and its answer was not read whole.
  bool carries_request = false;
  TimePoint idle_since{};
  /// Not used again after this time.
  TimePoint usable_until = TimePoint::max();
  /// Identifies the connection in the pool's bookkeeping.
  std::uint64_t number = 0;
};

using UpstreamPtr = std::unique_ptr<Upstream>;

/// Body limit of messages that stream. Boost 1.74 takes an absent limit for a
/// limit of zero.
inline constexpr std::uint64_t kNoBodyLimit =
    std::numeric_limits<std::uint64_t>::max();

/// Cancels what is pending on a stream after a time, without closing it, so
/// that the other end can still be told. `expires_after` of the stream closes
/// it.
class CancelTimer {
 public:
  CancelTimer(beast::tcp_stream& stream, Duration timeout);
  CancelTimer(const CancelTimer&) = delete;
  CancelTimer& operator=(const CancelTimer&) = delete;
  ~CancelTimer();

  bool has_fired() const { return m_state->fired; }

 private:
  struct State {
    beast::tcp_stream* stream;
    bool fired = false;
  };

  std::shared_ptr<State> m_state;
  asio::steady_timer m_timer;
};

/// Looks for one byte without taking it: would_block when there is none, no
/// error when there is, another error when the connection is closed or broken.
boost::system::error_code PeekWithoutWaiting(beast::tcp_stream& stream);

/// Whether the other end has closed or broken the connection, as far as it is
/// known without waiting. A node that was short of processor time reads
/// requests whose senders are gone.
bool HasHungUp(Downstream& downstream);

/// Closes both directions at once, ignoring errors.
void Close(beast::tcp_stream& stream);

}  // namespace banyantrail
