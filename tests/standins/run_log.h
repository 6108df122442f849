#pragma once

#include <cstdint>
#include <fstream>
#include <string>
#include <string_view>

namespace banyantrail::standins {

/// What a run record says of a request, see docs/HISTORY.md.
struct RunRecord {
  /// "run_received" when the head has arrived, "run_start" when the body has,
  /// "run_end", "run_cancel" or "run_shed".
  std::string_view event;
  /// Number of the run in this process.
  std::uint64_t run = 0;
  std::string request_id;
  std::string idempotency_key;
  std::string method;
  std::string path;
};

/// Appends the backend server's events to a file of JSON lines. Each line is
/// flushed, so that it survives a crash of the process.
class RunLog {
 public:
  struct Options {
    /// Empty for no log.
    std::string file;
    std::string server_id;
    std::string service;
  };

  explicit RunLog(Options options);

  /// Writes one event of a run.
  void Write(const RunRecord& record);

  /// Writes an event of the server itself: "server_up", "server_draining" or
  /// "server_left".
  void WriteServerEvent(std::string_view event);

 private:
  Options m_options;
  std::ofstream m_out;
};

}  // namespace banyantrail::standins
