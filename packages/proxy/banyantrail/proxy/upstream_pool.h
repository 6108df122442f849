#pragma once

#include <cstddef>
#include <deque>
#include <map>
#include <optional>

#include "banyantrail/proxy/connection.h"

namespace banyantrail {

/// Kept-alive connections to other nodes and backend servers.
///
/// An open connection can go silent for good while new ones work. So a
/// connection that idled longer than `max_idle_time` is not used again, and
/// after a time-out the pool forgets every idle connection to that server
/// (`Distrust`): the next request opens a new one before anybody judges the
/// server itself.
class UpstreamPool {
 public:
  struct Options {
    std::size_t max_idle_per_server = 32;
    Duration max_idle_time = seconds(2);
    Duration connect_timeout = milliseconds(500);
    /// See BoundSilence.
    milliseconds unacknowledged_timeout{1000};
  };

  UpstreamPool(asio::any_io_executor executor, Options options);

  /// A connection to the server, kept alive or new. Returns nothing when the
  /// server cannot be reached before `deadline` or the connect time-out.
  asio::awaitable<UpstreamPtr> Take(IpEndpoint server, TimePoint deadline);

  /// A new connection, never a kept one.
  asio::awaitable<UpstreamPtr> Connect(IpEndpoint server, TimePoint deadline);

  /// Gives back a connection on which a whole answer was read. `idle_limit` is
  /// how long the server keeps it, if it said so.
  void Keep(UpstreamPtr upstream, std::optional<Duration> idle_limit = {});

  /// Forgets all idle connections to the server.
  void Distrust(const IpEndpoint& server);

  /// Closes idle connections whose time has passed. Called about once a
  /// second.
  void CloseStale();

  std::size_t idle_count() const;

 private:
  UpstreamPtr TakeIdle(const IpEndpoint& server);

  asio::any_io_executor m_executor;
  Options m_options;
  std::map<IpEndpoint, std::deque<UpstreamPtr>> m_idle;
};

}  // namespace banyantrail
