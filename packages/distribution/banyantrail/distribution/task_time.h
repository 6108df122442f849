#pragma once

#include <concepts>

#include "banyantrail/core/boot_clock.h"
#include "banyantrail/core/clock.h"
#include "banyantrail/net/asio.h"

namespace banyantrail {

/// The clocks and timers of a task. Tests run tasks in virtual time.
template <typename T>
concept TaskTime = requires(typename T::Timer& timer, Duration duration) {
  { T::Now() } -> std::same_as<TimePoint>;
  { T::BootNow() } -> std::same_as<BootTimePoint>;
  timer.expires_after(duration);
  timer.cancel();
};

/// The operating system's clocks and timers.
struct SystemTime {
  using Timer = asio::steady_timer;
  static TimePoint Now() { return SystemClock().Now(); }
  static BootTimePoint BootNow() { return BootClock::Now(); }
};

/// Waits for `duration` or until the timer is cancelled.
template <typename Timer>
asio::awaitable<void> SleepOn(Timer& timer, Duration duration) {
  boost::system::error_code ignored;
  timer.expires_after(duration);
  co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
}

}  // namespace banyantrail
