#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>

#include "banyantrail/core/clock.h"
#include "banyantrail/traffic/admission_types.h"
#include "banyantrail/traffic/service_time.h"
#include "banyantrail/traffic/team_queue.h"

namespace banyantrail {

namespace detail {

/// Order of service among requests; smaller values go first. Nested calls come
/// before all ranks, then the ranks by priority, then requests that cannot meet
/// their target any more, by the priority of their rank.
using Band = int;
inline constexpr Band kNestedCallBand = -1;
inline constexpr Band kFirstLateBand = 256;

struct AdmissionEntry {
  Band band = 0;
  bool in_flight = false;
  /// The request in the queue of its band.
  QueuedRequest queued;
  /// Time by which the request must finish to stay in its band: its target, or
  /// the caller's deadline once it has missed the target.
  TimePoint band_deadline;
  /// When the caller stops waiting.
  TimePoint caller_deadline;
  std::uint64_t kind = 0;
  TimePoint admitted_at;
};

/// State of one band. Each band is treated as a rank of its own; only the bands
/// of declared ranks have a share.
struct RankState {
  double share = 0;
  TeamQueue queue;
  std::size_t in_flight = 0;
  /// Slot-seconds that the rank stayed below its guarantee while requests
  /// waited, less what it used above the integer part of the guarantee. It is
  /// spent on one slot more than that integer part, so that a fractional
  /// guarantee is met on average.
  double credit = 0;
  /// Moving average of the number of requests in flight or queued.
  double demand = 0;
  /// Moving average of the number of requests in flight.
  double mean_in_flight = 0;
  ServiceTimeEstimate service_time;
  /// Sum of the admission times of the requests in flight, in seconds since the
  /// clock's epoch. Used to compute their mean age.
  double admitted_at_sum = 0;
};

using RankMap = std::map<Band, RankState>;

/// Service time assumed for a rank without measurements.
inline constexpr milliseconds kDefaultServiceTime{50};

double ToSeconds(Duration duration);
Duration FromSeconds(double value);
double SecondsSinceEpoch(TimePoint time);

/// How long the rank's requests hold a slot: the mean of those that ended or
/// the mean age of those in flight, whichever is longer. Empty if there are
/// neither.
std::optional<Duration> SlotHoldTime(const RankState& rank, TimePoint now);

/// Slot-seconds that a request of the rank is expected to use.
double ExpectedSlotSeconds(const RankState& rank, TimePoint now);

}  // namespace detail

}  // namespace banyantrail
