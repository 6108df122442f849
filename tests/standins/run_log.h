#pragma once

#include <cstdint>
#include <fstream>
#include <string>
#include <string_view>

namespace banyantrail::standins {

/// An event in the execution of a request, see docs/HISTORY.md.
struct RunRecord {
  /// "run_received" when the header has arrived, "run_start" when the body has
  /// arrived, "run_end", "run_cancel" or "run_shed".
  std::string_view event;
  /// Number of the execution, counted from 1 in each process; 0 for a shed
  /// request.
  std::uint64_t run = 0;
  std::string request_id;
  std::string idempotency_key;
  std::string method;
  std::string path;
};

/// Appends the events of a backend server to a file as JSON lines. Each line is
/// flushed, so that it is not lost if the process crashes.
class RunLog {
 public:
  struct Options {
    /// Path of the file; empty for no log.
    std::string file;
    std::string server_id;
    std::string service;
  };

  explicit RunLog(Options options);

  /// Writes an event in the execution of a request.
  void Write(const RunRecord& record);

  /// Writes an event of the server itself: "server_up", "server_draining" or
  /// "server_left".
  void WriteServerEvent(std::string_view event);

 private:
  Options m_options;
  std::ofstream m_out;
};

}  // namespace banyantrail::standins
