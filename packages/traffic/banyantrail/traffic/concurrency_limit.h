#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>

#include "banyantrail/core/clock.h"

namespace banyantrail {

/// Settings of ConcurrencyLimit.
struct ConcurrencyLimitOptions {
  /// Off: the limit stays at the announced slots.
  bool adaptive = true;
  /// Off: a cold backend server gets the announced slots at once.
  bool slow_start = true;
  /// The limit never falls below this.
  double floor = 1;
  /// Upper bound, as a multiple of the announced slots.
  double max_slots_factor = 1.5;
  /// Share of the announced slots that a cold backend server starts with.
  double slow_start_fraction = 0.25;
  /// Requests that a cold backend server starts with at most, so that the
  /// first latencies measured are those of an idle one.
  double slow_start_bound = 4;
  /// Growth of latency over its baseline that counts as overload.
  double latency_tolerance = 1.5;

  friend bool operator==(const ConcurrencyLimitOptions&,
                         const ConcurrencyLimitOptions&) = default;
};

namespace detail {

/// Logarithm of latency of one rank: the window that the next decision rests
/// on, and the baseline that it is compared with, which is the least mean of an
/// epoch in the last minute. Epochs are much longer than windows, because just
/// after a rank's arrivals rise only its fastest requests have ended.
class LatencyHistory {
 public:
  void Add(Duration latency, TimePoint now);

  /// Drops what is in the window and, for about two latencies, what comes.
  void IgnoreInFlight(TimePoint now);

  /// Empties the window.
  void CloseWindow(TimePoint now);

  bool CanCompare(TimePoint now) const;
  /// Mean of the window above the baseline.
  double Excess(TimePoint now) const;
  /// The number of samples in the window over their variance.
  double Weight() const;

 private:
  static constexpr std::size_t kSlots = 6;
  static constexpr seconds kSlotWidth{10};

  struct Slot {
    std::int64_t number = -1;
    double least = 0;
  };

  struct Sums {
    std::size_t count = 0;
    double sum = 0;

    double Mean() const { return sum / static_cast<double>(count); }
  };

  void CloseEpoch(TimePoint now);
  double Baseline(TimePoint now) const;

  bool m_has_sample = false;
  TimePoint m_last_sample;
  TimePoint m_ignore_until;
  double m_mean = 0;
  /// Starts high, so that few samples say little.
  double m_variance = 1;
  Sums m_window;
  Sums m_epoch;
  TimePoint m_epoch_start;
  bool m_has_baseline = false;
  std::array<Slot, kSlots> m_slots;
};

}  // namespace detail

/// How many requests a backend server runs at once without harm, learnt from
/// the latency of its answers and from its refusals. The slots it announces are
/// a starting hint; its health and load endpoints are not used.
///
/// Additive increase while all of the limit is in use and latency is near its
/// baseline; decrease in proportion to the growth of latency. A refusal by the
/// backend server lowers the limit at once and is remembered as a ceiling,
/// which is probed again after a time that doubles with each confirmation.
class ConcurrencyLimit {
 public:
  ConcurrencyLimit(ConcurrencyLimitOptions options,
                   std::uint32_t announced_slots);

  /// Requests that may run at once; may be fractional, never below the floor.
  double value() const { return m_limit; }

  /// The backend server started afresh: slow start, no history.
  void Restart(std::uint32_t announced_slots);

  /// It announces another number of slots while it runs.
  void SetAnnouncedSlots(std::uint32_t announced_slots);

  /// A request of the given rank ended, with an answer or at its deadline.
  /// `in_flight` counts it as well.
  void OnLatency(std::uint8_t rank_priority,
                 Duration latency,
                 std::size_t in_flight,
                 TimePoint now);

  /// The backend server refused a request with `in_flight` others and it.
  void OnShed(std::size_t in_flight, TimePoint now);

 private:
  struct Overload {
    /// Growth of latency over the baseline; logarithm.
    double excess = 0;
    /// Standard error of `excess`.
    double error = 0;
  };

  bool WindowIsFull(TimePoint now) const;
  void CloseWindow(TimePoint now);
  Overload MeasureOverload(TimePoint now) const;
  void Increase();
  void Decrease(double factor, TimePoint now);
  void RaiseCeiling(TimePoint now);
  double MaxLimit() const;

  ConcurrencyLimitOptions m_options;
  double m_slots = 1;
  double m_limit = 1;
  bool m_in_slow_start = false;

  std::map<std::uint8_t, detail::LatencyHistory> m_histories;
  std::size_t m_window_samples = 0;
  bool m_window_open = false;
  bool m_saturated = false;
  TimePoint m_window_start;
  TimePoint m_last_decrease;

  bool m_has_ceiling = false;
  double m_ceiling = 0;
  /// The ceiling before it was last raised.
  double m_proven_ceiling = 0;
  Duration m_ceiling_hold{};
  TimePoint m_ceiling_until;
};

}  // namespace banyantrail
