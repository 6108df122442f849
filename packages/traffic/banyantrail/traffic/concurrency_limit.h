#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>

#include "banyantrail/core/clock.h"

namespace banyantrail {

/// Settings of ConcurrencyLimit.
struct ConcurrencyLimitOptions {
  /// If false, the limit stays at the announced slots, except in a slow start
  /// per response.
  bool adaptive = true;
  /// If false, the limit starts at the announced slots.
  bool slow_start = true;
  /// Lower bound of the limit.
  double floor = 1;
  /// Upper bound of the limit, as a multiple of the announced slots.
  double max_slots_factor = 1.5;
  /// Initial limit in slow start, as a fraction of the announced slots.
  double slow_start_fraction = 0.25;
  /// Upper bound of the initial limit in slow start, so that the first
  /// latencies are measured on a nearly idle backend server.
  double max_slow_start_limit = 4;
  /// If true, slow start follows each response instead of windows of responses,
  /// and begins again when several requests in a row get no response. Windows
  /// are too long for a backend server with few slots, and do not see one that
  /// stops responding. Has an effect without `adaptive`, too.
  bool per_response_slow_start = false;
  /// Ratio of latency to its baseline above which the backend server counts as
  /// overloaded.
  double latency_tolerance = 1.5;

  friend bool operator==(const ConcurrencyLimitOptions&,
                         const ConcurrencyLimitOptions&) = default;
};

namespace detail {

/// Log latency of the requests of one rank. The samples of the current window
/// are compared with a baseline: the lowest mean of any epoch in the last
/// minute. Epochs are much longer than windows, because shortly after the
/// arrival rate of a rank rises only its fastest requests have ended, which
/// would make the baseline too low.
class LatencyHistory {
 public:
  void Add(Duration latency, TimePoint now);

  /// Discards the samples of the window and the epoch, and those that arrive
  /// within about two mean latencies: they come from requests sent under the
  /// previous limit.
  void IgnoreInFlight(TimePoint now);

  /// Starts a new window, and a new epoch if the current one is complete.
  void CloseWindow(TimePoint now);

  /// Whether both the window and the baseline have samples.
  bool IsComparable(TimePoint now) const;
  /// Mean of the window minus the baseline, on the logarithmic scale.
  double Excess(TimePoint now) const;
  /// Number of samples in the window divided by their variance, the weight of
  /// this rank in an inverse-variance weighted mean.
  double Weight() const;

 private:
  static constexpr std::size_t kBuckets = 6;
  static constexpr seconds kBucketWidth{10};

  struct Bucket {
    std::int64_t number = -1;
    double min_mean = 0;
  };

  struct MeanAccumulator {
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
  /// Starts high, so that the first few samples get a low weight.
  double m_variance = 1;
  MeanAccumulator m_window;
  MeanAccumulator m_epoch;
  TimePoint m_epoch_start;
  bool m_has_baseline = false;
  std::array<Bucket, kBuckets> m_buckets;
};

/// Judges single responses during slow start against the first responses of the
/// same rank, which a nearly idle backend server gave.
class SlowStartBaseline {
 public:
  /// Whether the response is about as fast as the first ones. True for the
  /// first ones themselves.
  bool IsInTime(std::uint8_t rank_priority, Duration latency);

  void Reset() { m_ranks.clear(); }

 private:
  struct Rank {
    std::size_t count = 0;
    /// Sum of the logarithms of the first latencies in seconds.
    double log_sum = 0;
  };

  std::map<std::uint8_t, Rank> m_ranks;
};

}  // namespace detail

/// Adaptive limit on the concurrent requests of a backend server, derived from
/// response latencies and from requests that the server sheds. The announced
/// slots are only the initial value; health and load endpoints of the server
/// are not used.
///
/// The limit grows additively while it is fully used and latency is near its
/// baseline, and shrinks in proportion to the growth of latency. A shed request
/// lowers the limit at once and sets a ceiling. After a hold time, which
/// doubles each time shedding confirms the ceiling, a higher one is tried.
class ConcurrencyLimit {
 public:
  ConcurrencyLimit(ConcurrencyLimitOptions options,
                   std::uint32_t announced_slots);

  /// The current limit; it may be fractional.
  double value() const { return m_limit; }

  /// The backend server was restarted: discards all history and starts with
  /// slow start.
  void Restart(std::uint32_t announced_slots);

  /// The running backend server announced a different number of slots; scales
  /// the limit.
  void SetAnnouncedSlots(std::uint32_t announced_slots);

  /// A request of the given rank completed or reached its deadline. `in_flight`
  /// includes it.
  void OnLatency(std::uint8_t rank_priority,
                 Duration latency,
                 std::size_t in_flight,
                 TimePoint now);

  /// The connection of a request was lost, or no response came by its deadline.
  void OnFailure();

  /// The backend server shed a request. `in_flight` includes it.
  void OnShed(std::size_t in_flight, TimePoint now);

 private:
  struct Overload {
    /// Logarithm of the ratio of latency to its baseline.
    double excess = 0;
    /// Standard error of `excess`.
    double error = 0;
  };

  bool WindowIsFull(TimePoint now) const;
  void CloseWindow(TimePoint now);
  Overload MeasureOverload(TimePoint now) const;
  bool UsesSlowStart() const;
  void BeginSlowStart();
  void AdvanceSlowStart(std::uint8_t rank_priority,
                        Duration latency,
                        std::size_t in_flight);
  void Increase();
  void Decrease(double factor, TimePoint now);
  void RaiseCeiling(TimePoint now);
  double MaxLimit() const;

  ConcurrencyLimitOptions m_options;
  double m_announced_slots = 1;
  double m_limit = 1;
  bool m_in_slow_start = false;
  detail::SlowStartBaseline m_slow_start_baseline;
  std::uint32_t m_consecutive_failures = 0;

  std::map<std::uint8_t, detail::LatencyHistory> m_histories;
  std::size_t m_window_samples = 0;
  bool m_window_open = false;
  bool m_saturated = false;
  TimePoint m_window_start;
  TimePoint m_last_decrease;

  bool m_has_ceiling = false;
  double m_ceiling = 0;
  /// Highest concurrency known to work: one less than were in flight when a
  /// request was shed, or the ceiling before its last increase.
  double m_known_good_limit = 0;
  Duration m_ceiling_hold{};
  TimePoint m_ceiling_until;
};

}  // namespace banyantrail
