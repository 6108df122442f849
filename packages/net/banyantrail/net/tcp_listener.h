#pragma once

#include <cstddef>
#include <functional>
#include <memory>

#include "banyantrail/net/asio.h"

namespace banyantrail {

/// Accepts TCP connections up to a limit and runs one coroutine for each.
/// Connections above the limit are closed at once and reported to `on_refused`
/// unless there is room to make,
/// so that their clients notice and other connections are not delayed.
class TcpListener {
 public:
  struct Options {
    IpEndpoint endpoint;
    std::size_t max_connections = 1024;
    std::function<asio::awaitable<void>(beast::tcp_stream)> session;
    /// Called for a connection above the limit. If a session is about to end to
    /// make room, it returns true and the connection is kept.
    std::function<bool()> make_room = [] { return false; };
    /// Called for each connection closed because of the limit.
    std::function<void()> on_refused = [] {};
  };

  /// Binds the endpoint and starts accepting. Throws Error{kInvalidSettings}
  /// when the endpoint is in use or not an address of this VM.
  TcpListener(asio::io_context& io, Options options);
  TcpListener(const TcpListener&) = delete;
  TcpListener& operator=(const TcpListener&) = delete;
  ~TcpListener();

  /// Stops accepting connections; open sessions continue.
  void Stop();

  /// Number of open sessions.
  std::size_t connection_count() const;

 private:
  struct State;
  std::shared_ptr<State> m_state;
};

/// Whether another socket keeps this process from listening on the endpoint.
/// Throws Error{kInvalidSettings} when it is not an address of this VM.
bool IsPortInUse(const IpEndpoint& endpoint);

}  // namespace banyantrail
