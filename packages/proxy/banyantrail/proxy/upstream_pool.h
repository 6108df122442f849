#pragma once

#include <cstddef>
#include <deque>
#include <map>
#include <optional>

#include "banyantrail/proxy/connection.h"

namespace banyantrail {

/// Pool of keep-alive connections to other nodes and backend servers.
///
/// An established connection can stop carrying data for good while new ones
/// work. Therefore a connection that idled longer than `max_idle_time` is not
/// reused, and after a time-out the caller of the pool drops all idle
/// connections to the server (`DropIdle`). The next request then opens a new
/// one, so that a broken connection is not mistaken for a failed server.
class UpstreamPool {
 public:
  struct Options {
    std::size_t max_idle_per_server = 32;
    Duration max_idle_time = seconds(2);
    Duration connect_timeout = milliseconds(500);
    /// See EnableDeadPeerDetection.
    milliseconds unacknowledged_timeout{1000};
  };

  UpstreamPool(asio::any_io_executor executor, Options options);

  /// Returns an idle connection to the server or opens a new one. Null if the
  /// server cannot be reached before `deadline` or the connect time-out.
  asio::awaitable<UpstreamPtr> Acquire(IpEndpoint server, TimePoint deadline);

  /// Opens a new connection. Null if that fails as in Acquire.
  asio::awaitable<UpstreamPtr> Connect(IpEndpoint server, TimePoint deadline);

  /// Returns a connection to the pool after a complete response was read from
  /// it. `keep_alive_timeout` is the server's keep-alive time-out, if it sent
  /// one.
  void Release(UpstreamPtr upstream,
               std::optional<Duration> keep_alive_timeout = {});

  /// Closes all idle connections to the server.
  void DropIdle(const IpEndpoint& server);

  /// Closes connections that idled longer than `max_idle_time`. To be called
  /// periodically.
  void CloseExpired();

  std::size_t idle_count() const;

 private:
  UpstreamPtr AcquireIdle(const IpEndpoint& server);

  asio::any_io_executor m_executor;
  Options m_options;
  std::map<IpEndpoint, std::deque<UpstreamPtr>> m_idle;
};

}  // namespace banyantrail
