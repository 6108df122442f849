#pragma once

#include <cstdint>
#include <iosfwd>
#include <string>
#include <vector>

#include "banyantrail/ctl/commands.h"

namespace banyantrail::ctl {

/// A log line about a request.
struct TraceLine {
  /// Timestamp as in the log; its text sorts chronologically.
  std::string time;
  std::string node;
  std::string event;
  /// The other fields as "name=value", sorted by name.
  std::string details;

  friend bool operator==(const TraceLine&, const TraceLine&) = default;
};

/// The log lines of several nodes about one request.
struct RequestTrace {
  /// Sorted by time once SortByTime was called. Because of clock skew between
  /// VMs, lines of different nodes that are close in time may be out of order.
  std::vector<TraceLine> lines;
  /// Lines that the nodes did not log, as counted in the logs; the trace may be
  /// incomplete.
  std::uint64_t dropped_lines = 0;
  /// Lines that are not a JSON object, for example because they were truncated.
  std::uint64_t malformed_lines = 0;
};

/// Adds the lines of a log that concern the request. Call SortByTime after the
/// last log.
void ReadLog(std::istream& log,
             const std::string& request,
             RequestTrace& trace);

void SortByTime(RequestTrace& trace);

/// Runs `trace REQUEST-ID [FILE...]`, which prints the lines of the log files,
/// or of standard input, that concern a request. Returns kRefused when there
/// are none. Throws Error{kInvalidSettings} for a file that cannot be read.
ExitCode RunTrace(CommandContext& context);

}  // namespace banyantrail::ctl
