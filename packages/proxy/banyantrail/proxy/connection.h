#pragma once

#include <cstdint>
#include <functional>
#include <limits>
#include <memory>

#include "banyantrail/core/clock.h"
#include "banyantrail/net/asio.h"
#include "banyantrail/net/http_types.h"

namespace banyantrail {

/// A connection on which this node receives requests from a caller or another
/// node.
struct Downstream {
  explicit Downstream(beast::tcp_stream accepted)
      : stream(std::move(accepted)) {}

  beast::tcp_stream stream;
  /// Its maximum size follows the limits of the request that is read.
  beast::flat_buffer buffer{kMaxUnparsedBytes};
  /// The connection cannot carry another request, for example because part of a
  /// body was left unread.
  bool must_close = false;
  /// The rest of a request body is still due on the connection.
  bool has_unread_body = false;
  /// The caller has sent requests ahead of responses, so that more may arrive
  /// after the last response.
  bool is_pipelined = false;
  /// A CallerPipeline reads from the connection and notices if the caller
  /// disconnects.
  bool is_read_ahead = false;
  /// Called when bytes arrive behind the request that is handled.
  std::function<void()> on_bytes_ahead = [] {};
};

/// A connection on which this node sends requests to another node or a backend
/// server.
struct Upstream {
  explicit Upstream(const asio::any_io_executor& executor) : stream(executor) {}
  Upstream(const Upstream&) = delete;
  Upstream& operator=(const Upstream&) = delete;
  /// Resets the connection if a request is in flight, so that unsent bytes are
  /// dropped and do not reach the server after a broken link recovers.
  ~Upstream();

  /// Takes note of why writing a request failed. The kernel reports the loss of
  /// a connection to one call only: if that was a write, the reads that follow
  /// return what had arrived and then the end, as after an orderly close.
  void OnWriteFailed(const boost::system::error_code& error);

  beast::tcp_stream stream;
  beast::flat_buffer buffer{kMaxUnparsedBytes};
  IpEndpoint server;
  /// The connection comes from the pool and carried an earlier request.
  bool reused = false;
  /// A request was sent, and its response is not yet read completely.
  bool request_in_flight = false;
  /// The connection was lost while a request was written. The end of what can
  /// still be read is not the end of a response.
  bool lost_while_writing = false;
  TimePoint idle_since{};
  /// The pool does not reuse the connection after this time.
  TimePoint usable_until = TimePoint::max();
};

using UpstreamPtr = std::unique_ptr<Upstream>;

/// Counts a request as in progress while it exists, also if it ends with an
/// exception.
class CountInProgress {
 public:
  explicit CountInProgress(std::size_t& count) : m_count(count) { ++m_count; }
  CountInProgress(const CountInProgress&) = delete;
  CountInProgress& operator=(const CountInProgress&) = delete;
  ~CountInProgress() { --m_count; }

 private:
  std::size_t& m_count;
};

/// Body limit for messages of any size. Boost 1.74 treats an unset limit as
/// zero.
inline constexpr std::uint64_t kNoBodyLimit =
    std::numeric_limits<std::uint64_t>::max();

/// Cancels the pending operations of a stream after a time-out but leaves it
/// open, so that an error response can still be sent. The stream's own
/// `expires_after` would close it.
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

/// Whether the peer has closed or reset the connection, as far as is known
/// without waiting. A node that is short of CPU time may read requests whose
/// senders have already disconnected.
bool HasDisconnected(Downstream& downstream);

/// Like HasDisconnected, but also if there are unread bytes before the end of
/// the connection.
bool HasHungUp(Downstream& downstream);

/// Shuts down both directions and closes the stream, ignoring errors.
void Close(beast::tcp_stream& stream);

/// Closes a connection after its last response. If the peer may still be
/// sending the rest of a body or further requests, reads on for a limited time
/// first: closing with unread bytes resets the connection, and the peer could
/// lose the response.
asio::awaitable<void> CloseAfterResponse(Downstream& downstream);

}  // namespace banyantrail
