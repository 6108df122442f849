#pragma once

#include <cstdint>
#include <string>

#include "banyantrail/core/clock.h"
#include "banyantrail/core/random.h"
#include "banyantrail/net/asio.h"
#include "banyantrail/net/http_types.h"
#include "standins/run_log.h"

namespace banyantrail::standins {

/// Faults that a test switches on with POST /standin/faults.
struct BackendServerFaults {
  /// Every connection takes bytes and never answers.
  bool silent = false;
  /// Health and load say the contrary of the truth.
  bool misleading = false;
  /// So many further answers are cut in the middle of their body.
  std::uint64_t cut_answers = 0;
  /// Share of requests that are answered 500 after they ran.
  std::uint32_t fail_percent = 0;
};

/// What the backend server did.
struct BackendServerCounters {
  std::uint64_t started = 0;
  std::uint64_t ended = 0;
  std::uint64_t cancelled = 0;
  std::uint64_t shed = 0;
};

/// A backend server that runs each request for a set time in one of its slots
/// and echoes what it got, so that callers can check answers. Runs on one
/// thread.
class BackendServer {
 public:
  struct Options {
    std::string server_id;
    std::string service;
    std::uint32_t slots = 1;
    milliseconds service_time{0};
    /// While cold, a run takes up to kColdFactor times as long.
    milliseconds cold_start{0};
    std::string run_log_file;
  };

  BackendServer(TimePoint now, Options options);

  /// Serves one connection until it closes.
  asio::awaitable<void> ServeConnection(beast::tcp_stream stream);

  /// From now on answers carry "Connection: close".
  void StartDrain();

  /// From now on every request is shed.
  void RefuseNewWork() { m_refusing = true; }

  /// Says in the run log that the server has left.
  void RecordLeft() { m_log.WriteServerEvent("server_left"); }

  /// Requests in progress, uploads that are still arriving included.
  std::uint32_t busy_slots() const { return m_busy; }

 private:
  friend class BackendSession;

  HttpResponse Health() const;
  HttpResponse Load() const;
  HttpResponse CountersResponse() const;
  HttpResponse SetFaults(const std::string& body);
  bool IsSilent(std::uint64_t connection) const;
  bool DrawFailure();
  milliseconds ServiceTime(milliseconds asked, TimePoint now) const;

  Options m_options;
  RunLog m_log;
  TimePoint m_started_at;
  Rng m_rng;
  BackendServerFaults m_faults;
  BackendServerCounters m_counters;
  std::uint32_t m_busy = 0;
  std::uint64_t m_next_connection = 0;
  /// Connections with lower numbers have gone silent.
  std::uint64_t m_silent_below = 0;
  bool m_draining = false;
  bool m_refusing = false;
};

}  // namespace banyantrail::standins
