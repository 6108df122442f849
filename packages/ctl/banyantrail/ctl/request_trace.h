#pragma once

#include <cstdint>
#include <iosfwd>
#include <string>
#include <vector>

#include "banyantrail/ctl/commands.h"

namespace banyantrail::ctl {

/// What one node's log says of a request.
struct TraceLine {
  /// As the node wrote it; sorts by time.
  std::string time;
  std::string node;
  std::string event;
  /// The other fields, as "name=value" in the order of their names.
  std::string details;

  friend bool operator==(const TraceLine&, const TraceLine&) = default;
};

/// The way of one request through the logs of several nodes.
struct RequestTrace {
  /// In order of time. Clocks of VMs differ, so lines of different nodes that
  /// are close to each other may stand in the wrong order.
  std::vector<TraceLine> lines;
  /// Lines that the logs say are missing; the trace may have gaps.
  std::uint64_t left_out = 0;
  /// Lines that are no JSON object, such as one that was cut.
  std::uint64_t unreadable = 0;
};

/// Adds what one log says of the request. Call SortByTime after the last one.
void ReadLog(std::istream& log,
             const std::string& request,
             RequestTrace& trace);

void SortByTime(RequestTrace& trace);

/// `trace REQUEST-ID [FILE...]`: shows what the log files, or standard input,
/// say of a request. Returns kRefused when they say nothing. Throws
/// Error{kInvalidSettings} for a file that cannot be read.
ExitCode RunTrace(CommandContext& context);

}  // namespace banyantrail::ctl
