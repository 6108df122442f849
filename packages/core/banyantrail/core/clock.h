#pragma once

#include <chrono>
#include <concepts>

namespace banyantrail {

/// Monotonic time. Decisions take it as a parameter and never read a clock, so
/// that tests and replays give the same result on every run.
using TimePoint = std::chrono::steady_clock::time_point;
using Duration = std::chrono::steady_clock::duration;

using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

/// What a component needs from a clock: the present time.
template <typename T>
concept MonotonicClock = requires(T& clock) {
  { clock.Now() } -> std::convertible_to<TimePoint>;
};

/// The clock of a running process.
struct SystemClock {
  TimePoint Now() const { return std::chrono::steady_clock::now(); }
};

/// A clock that tests move by hand.
class ManualClock {
 public:
  TimePoint Now() const { return m_now; }
  void Advance(Duration by) { m_now += by; }

 private:
  TimePoint m_now{};
};

}  // namespace banyantrail
