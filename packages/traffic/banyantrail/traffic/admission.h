#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <tuple>
#include <unordered_map>
#include <variant>
#include <vector>

#include "banyantrail/core/clock.h"
#include "banyantrail/traffic/concurrency_limit.h"
#include "banyantrail/traffic/refusal_reason.h"
#include "banyantrail/traffic/service_time.h"

namespace banyantrail {

/// Number that the node gives to a request; unique while the node lives.
using RequestId = std::uint64_t;

/// A rank's place and guaranteed part of a backend server, from RankObject.
struct RankShare {
  /// 0 is the most urgent.
  std::uint8_t priority = 0;
  std::uint8_t share_percent = 0;

  friend bool operator==(const RankShare&, const RankShare&) = default;
};

/// Settings of AdmissionQueue.
struct AdmissionOptions {
  std::uint32_t announced_slots = 1;
  std::vector<RankShare> ranks;
  /// Bound of each rank's queue, per announced slot.
  std::size_t max_queued_per_slot = 4;
  /// Work that holds a slot for longer than this leaves the slots that other
  /// ranks need unlent.
  Duration max_lent_hold = milliseconds{250};
  ConcurrencyLimitOptions limit;

  /// Off: first come, first served.
  bool order_by_rank = true;
  /// Off: strict priority, the most urgent rank takes all it wants.
  bool guarantee_shares = true;
  /// Off: long-running work may borrow every slot.
  bool reserve_slots = true;
  /// Off: only the queue's length bounds the waiting time.
  bool refuse_late = true;

  friend bool operator==(const AdmissionOptions&,
                         const AdmissionOptions&) = default;
};

/// A request as it arrives at the queue.
struct WorkRequest {
  RequestId request = 0;
  std::uint8_t rank_priority = 0;
  /// The caller waits no longer.
  TimePoint deadline;
  /// An answer by this time is of full use; a later one of little. Empty when
  /// not declared.
  std::optional<TimePoint> target = std::nullopt;
  /// It is made by a run that is already under way elsewhere, whose work is
  /// lost if it is refused.
  bool is_call = false;
  /// Requests of one kind take about the same time.
  std::uint64_t kind = 0;

  friend bool operator==(const WorkRequest&, const WorkRequest&) = default;
};

/// The request may be sent to the backend server now.
struct Admitted {
  friend bool operator==(const Admitted&, const Admitted&) = default;
};

/// The request waits; a later call reports it admitted or refused.
struct Queued {
  friend bool operator==(const Queued&, const Queued&) = default;
};

/// The request was not run and is no longer known here.
struct Refused {
  RefusalReason reason = RefusalReason::kQueueFull;

  friend bool operator==(const Refused&, const Refused&) = default;
};

using OfferResult = std::variant<Admitted, Queued, Refused>;

/// How an admitted request ended.
enum class AttemptEnd : std::uint8_t {
  /// A whole answer came, whatever its status.
  kAnswered,
  /// The deadline passed first.
  kTimedOut,
  /// The backend server said that it shed the request.
  kShed,
  /// The connection failed or was lost.
  kFailed,
};

/// The end of an admitted request and the time from admission to it.
struct AttemptOutcome {
  AttemptEnd end = AttemptEnd::kAnswered;
  Duration latency{};
};

/// A request that left the queue without being run.
struct RefusedRequest {
  RequestId request = 0;
  RefusalReason reason = RefusalReason::kDeadline;

  friend bool operator==(const RefusedRequest&,
                         const RefusedRequest&) = default;
};

/// Queued requests whose fate a call has decided.
struct AdmissionChanges {
  std::vector<RequestId> admitted;
  std::vector<RefusedRequest> refused;

  friend bool operator==(const AdmissionChanges&,
                         const AdmissionChanges&) = default;
};

/// The load that the owner node reports with each answer.
struct AdmissionLoad {
  std::size_t in_flight = 0;
  std::size_t queued = 0;
  /// Whole requests that may run at once.
  std::size_t limit = 0;

  friend bool operator==(const AdmissionLoad&, const AdmissionLoad&) = default;
};

namespace detail {

/// Order of service within a rank.
struct QueueKey {
  /// The deadline, or the same for all when the order is that of arrival.
  TimePoint urgency;
  std::uint64_t arrival = 0;
  RequestId request = 0;

  friend bool operator<(const QueueKey& a, const QueueKey& b) {
    return std::tie(a.urgency, a.arrival, a.request) <
           std::tie(b.urgency, b.arrival, b.request);
  }
};

/// Where a request stands among others: calls before all ranks, then the ranks
/// by priority, then requests that missed their target, by priority.
using Band = int;
inline constexpr Band kCallBand = -1;
inline constexpr Band kFirstLateBand = 256;

struct AdmissionEntry {
  Band priority = 0;
  bool in_flight = false;
  QueueKey key;
  /// Of the band: the target, or the deadline of one that missed it.
  TimePoint deadline;
  /// The caller waits no longer.
  TimePoint last_deadline;
  std::uint64_t kind = 0;
  TimePoint admitted_at;
};

struct RankState {
  double share = 0;
  std::set<QueueKey> queue;
  std::size_t in_flight = 0;
  /// Slot-seconds below the guarantee while work waited; negative when the
  /// rank held a slot above the whole part of its guarantee. Pays for that
  /// slot.
  double credit = 0;
  /// Slots that the rank has lately wanted at once.
  double demand = 0;
  ServiceTimeEstimate service_time;
  /// Sum of the admission times of what is in flight, in seconds of the
  /// clock; gives the mean age.
  double admitted_at_sum = 0;
};

}  // namespace detail

/// Decides which requests run on one backend server, at the node that owns it.
///
/// Free slots go first to ranks below their guaranteed share, in order of
/// urgency, then to the most urgent rank that waits, so unused share is lent.
/// Because a lent slot comes back only when its request ends, work that holds
/// slots for long may not borrow those that other ranks have lately needed.
///
/// All calls take the present time, which must not decrease. Call Expire when
/// NextWakeup is reached.
class AdmissionQueue {
 public:
  explicit AdmissionQueue(AdmissionOptions options);

  /// A request arrives. With a target it is admitted in time for it, or after
  /// all others that can still meet theirs; refused when even the deadline is
  /// out of reach.
  OfferResult Offer(const WorkRequest& work, TimePoint now);

  /// A request without target arrives. Refused when its queue is full, when it
  /// cannot be answered before `deadline`, or when the backend server drains.
  OfferResult Offer(RequestId request,
                    std::uint8_t rank_priority,
                    TimePoint deadline,
                    TimePoint now);

  /// An admitted request ended. Unknown requests are ignored.
  AdmissionChanges Release(RequestId request,
                           AttemptOutcome outcome,
                           TimePoint now);

  /// The caller hung up: forgets a queued request, frees the slot of an
  /// admitted one without taking its latency for a measurement.
  AdmissionChanges Cancel(RequestId request, TimePoint now);

  /// Refuses what can no longer be answered in time and admits what may run.
  AdmissionChanges Expire(TimePoint now);

  /// When Expire has to be called next; empty while nothing waits.
  std::optional<TimePoint> NextWakeup(TimePoint now) const;

  /// No further request is admitted; refuses all that wait. What is in flight
  /// runs to its end.
  AdmissionChanges Drain(TimePoint now);

  /// The backend server announced itself again after a drain or a crash: slow
  /// start with an unknown limit. What is in flight stays known.
  void Restart(std::uint32_t announced_slots, TimePoint now);

  /// It announces another number of slots while it runs.
  void SetAnnouncedSlots(std::uint32_t announced_slots);

  /// Ranks of a newly applied configuration.
  void SetRanks(const std::vector<RankShare>& ranks);

  AdmissionLoad load() const;

 private:
  using Band = detail::Band;
  using RankMap = std::map<Band, detail::RankState>;

  /// Whether the request was queued or admitted; else the reason.
  std::optional<RefusalReason> Enqueue(const WorkRequest& work,
                                       Band band,
                                       TimePoint deadline,
                                       TimePoint now,
                                       bool& runs_now);
  std::optional<RefusalReason> Demote(RequestId request, TimePoint now);
  std::optional<Duration> MeanTime(const detail::RankState& rank,
                                   std::uint64_t kind,
                                   TimePoint now) const;
  Duration LikelyTime(const detail::RankState& rank,
                      std::uint64_t kind,
                      TimePoint now) const;

  void Advance(TimePoint now);
  void AdvanceRank(detail::RankState& rank, double seconds, bool contended);
  void Dispatch(TimePoint now, AdmissionChanges& changes);
  void RefuseLate(TimePoint now, AdmissionChanges& changes);
  void Admit(detail::RankState& rank, RequestId request, TimePoint now);
  void RemoveInFlight(RequestId request);

  /// The rank that the next free slot goes to, or the end.
  RankMap::iterator PickRank(TimePoint now);
  /// Of the ranks below their guarantee, the one that has the least part of
  /// it; the most urgent of equals.
  RankMap::iterator PickEntitled();
  double FilledPart(Band priority, const detail::RankState& rank) const;
  RankMap::iterator PickOldest();
  bool IsEntitled(const detail::RankState& rank) const;
  /// Whether the rank's credit pays for a slot above the whole part of its
  /// guarantee.
  bool HasPaid(const detail::RankState& rank) const;
  bool MayBorrow(const detail::RankState& rank, TimePoint now) const;
  bool HoldsSlotsForLong(const detail::RankState& rank, TimePoint now) const;
  double ReserveFor(Band priority, const detail::RankState& rank) const;
  double Guarantee(const detail::RankState& rank) const;
  double UsableSlots(Band priority) const;
  std::size_t FreeSlots() const;
  std::size_t QueueBound() const;
  bool WouldBeLate(Band priority,
                   const detail::RankState& rank,
                   const detail::QueueKey& key,
                   TimePoint deadline,
                   std::uint64_t kind,
                   TimePoint now) const;
  TimePoint LatestStart(const detail::RankState& rank,
                        const detail::AdmissionEntry& entry,
                        TimePoint now) const;

  AdmissionOptions m_options;
  ConcurrencyLimit m_limit;
  RankMap m_ranks;
  std::unordered_map<RequestId, detail::AdmissionEntry> m_entries;
  /// How long requests of each kind hold a slot.
  std::unordered_map<std::uint64_t, ServiceTimeEstimate> m_kind_times;
  std::size_t m_in_flight = 0;
  std::size_t m_queued = 0;
  std::uint64_t m_next_arrival = 0;
  bool m_draining = false;
  bool m_has_advanced = false;
  TimePoint m_advanced_to;
};

}  // namespace banyantrail
