#pragma once

#include <chrono>
#include <concepts>

namespace banyantrail {

/// Monotonic time. Decision logic receives it as a parameter and never reads a
/// clock, so that tests and replays are deterministic.
using TimePoint = std::chrono::steady_clock::time_point;
using Duration = std::chrono::steady_clock::duration;

using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

/// A source of the current monotonic time.
template <typename T>
concept MonotonicClock = requires(T& clock) {
  { clock.Now() } -> std::convertible_to<TimePoint>;
};

/// The operating system's monotonic clock.
struct SystemClock {
  TimePoint Now() const { return std::chrono::steady_clock::now(); }
};

/// A clock for tests that moves only when advanced explicitly.
class ManualClock {
 public:
  TimePoint Now() const { return m_now; }
  void Advance(Duration by) { m_now += by; }

 private:
  TimePoint m_now{};
};

}  // namespace banyantrail
