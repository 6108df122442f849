#pragma once

#include <cstdint>
#include <string>

#include "banyantrail/core/clock.h"
#include "banyantrail/core/random.h"
#include "banyantrail/net/asio.h"
#include "banyantrail/net/http_types.h"
#include "standins/run_log.h"

namespace banyantrail::standins {

/// Faults that tests inject with POST /standin/faults.
struct BackendServerFaults {
  /// Requests are read but never answered, on all connections.
  bool silent = false;
  /// /health reports a failure, and /load reports free slots as busy ones.
  bool misleading = false;
  /// Number of further responses that are truncated in the body.
  std::uint64_t responses_to_truncate = 0;
  /// Percentage of requests that are answered 500 after their execution.
  std::uint32_t fail_percent = 0;
};

/// Number of requests by what happened to them.
struct BackendServerCounters {
  std::uint64_t started = 0;
  std::uint64_t ended = 0;
  std::uint64_t cancelled = 0;
  std::uint64_t shed = 0;
};

/// A backend server that executes each request for a configured time in one of
/// its slots and echoes it, so that callers can check responses. It is
/// single-threaded.
class BackendServer {
 public:
  struct Options {
    std::string server_id;
    std::string service;
    std::uint32_t slots = 1;
    milliseconds service_time{0};
    /// Time after the start during which requests take longer, see ServiceTime.
    /// The factor falls from kColdStartFactor to 1.
    milliseconds cold_start{0};
    std::string run_log_file;
  };

  BackendServer(TimePoint now, Options options);

  /// Serves one connection until it closes.
  asio::awaitable<void> ServeConnection(beast::tcp_stream stream);

  /// Makes all later responses carry "Connection: close".
  void StartDrain();

  /// Sheds all later requests.
  void ShedNewRequests() { m_sheds_new_requests = true; }

  /// Writes to the run log that the server has left.
  void RecordServerLeft() { m_log.WriteServerEvent("server_left"); }

  /// Requests in progress, including those whose body is still arriving.
  std::uint32_t busy_slots() const { return m_busy_slots; }

 private:
  friend class BackendSession;

  HttpResponse Health() const;
  HttpResponse Load() const;
  HttpResponse CountersResponse() const;
  HttpResponse SetFaults(const std::string& body);
  bool IsSilent(std::uint64_t connection) const;
  bool ShouldFailRequest();
  milliseconds ServiceTime(milliseconds base_time, TimePoint now) const;

  Options m_options;
  RunLog m_log;
  TimePoint m_started_at;
  Rng m_rng;
  BackendServerFaults m_faults;
  BackendServerCounters m_counters;
  std::uint32_t m_busy_slots = 0;
  std::uint64_t m_next_connection = 0;
  /// Connections with lower numbers are no longer answered.
  std::uint64_t m_silent_below = 0;
  bool m_draining = false;
  bool m_sheds_new_requests = false;
};

}  // namespace banyantrail::standins
