#include "banyantrail/core/boot_clock.h"

#include <ctime>

namespace banyantrail {

BootClock::time_point BootClock::Now() {
  // Cannot fail: the clock exists on all supported systems.
  std::timespec time{};
  clock_gettime(CLOCK_BOOTTIME, &time);
  return time_point(std::chrono::seconds(time.tv_sec) +
                    std::chrono::nanoseconds(time.tv_nsec));
}

}  // namespace banyantrail
