#pragma once

#include <chrono>

namespace banyantrail {

/// Monotonic time that includes the time for which the system was suspended
/// (CLOCK_BOOTTIME). A type of its own, so that it cannot be mixed with the
/// steady clock, which stops while the system is suspended.
struct BootClock {
  using duration = std::chrono::nanoseconds;
  using time_point = std::chrono::time_point<BootClock>;

  static time_point Now();
};

using BootTimePoint = BootClock::time_point;

}  // namespace banyantrail
