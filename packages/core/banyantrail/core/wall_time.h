#pragma once

#include <chrono>
#include <string>

namespace banyantrail {

/// Wall-clock time for display only. Decision logic uses TimePoint.
using WallTime = std::chrono::system_clock::time_point;

/// ISO 8601 in UTC with seconds, for example "2026-12-04T09:30:00Z".
std::string FormatWallTime(WallTime time);

/// Like FormatWallTime, with milliseconds: "2026-12-04T09:30:00.125Z".
std::string FormatWallTimeMs(WallTime time);

/// The inverse of FormatWallTime. Throws Error{kMalformedMessage}.
WallTime ParseWallTime(const std::string& text);

}  // namespace banyantrail
