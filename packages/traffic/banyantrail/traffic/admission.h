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

/// Identifies a request within one node process.
using RequestId = std::uint64_t;

/// Priority of a rank and its guaranteed share of a backend server's slots,
/// from RankObject.
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
  /// Maximum length of each rank's queue, per announced slot.
  std::size_t max_queued_per_slot = 4;
  /// Ranks whose requests hold a slot for longer than this may not borrow
  /// slots that other ranks need.
  Duration max_borrower_hold_time = milliseconds{250};
  ConcurrencyLimitOptions limit;

  /// If false, requests are served in order of arrival.
  bool order_by_rank = true;
  /// If false, priority is strict: a rank gets slots only while all more urgent
  /// ranks have empty queues.
  bool guarantee_shares = true;
  /// If false, long-running requests may borrow every slot.
  bool reserve_slots = true;
  /// If true, requests that cannot finish by their deadline are refused early.
  /// If false, only the deadline and the queue length bound the waiting time.
  bool refuse_early = true;

  friend bool operator==(const AdmissionOptions&,
                         const AdmissionOptions&) = default;
};

/// A request offered to the queue.
struct AdmissionRequest {
  RequestId id = 0;
  std::uint8_t rank_priority = 0;
  /// When the caller stops waiting.
  TimePoint deadline;
  /// When the response should be complete; later responses are of little use.
  /// Empty if the route declares no target latency.
  std::optional<TimePoint> target = std::nullopt;
  /// Made by another request while it runs. Refusing it would waste the work
  /// already done for that request.
  bool is_nested_call = false;
  /// Requests of the same kind have similar service times, which are estimated
  /// per kind. 0 if unknown.
  std::uint64_t kind = 0;

  friend bool operator==(const AdmissionRequest&,
                         const AdmissionRequest&) = default;
};

/// The request may be sent to the backend server immediately.
struct Admitted {
  friend bool operator==(const Admitted&, const Admitted&) = default;
};

/// The request is queued; the AdmissionChanges of a later call report it
/// admitted or refused.
struct Queued {
  friend bool operator==(const Queued&, const Queued&) = default;
};

/// The request was not run, and the queue keeps no record of it.
struct Refused {
  RefusalReason reason = RefusalReason::kQueueFull;

  friend bool operator==(const Refused&, const Refused&) = default;
};

using OfferResult = std::variant<Admitted, Queued, Refused>;

/// How an admitted request ended.
enum class AttemptResult : std::uint8_t {
  /// A complete response arrived, with any status.
  kCompleted,
  /// The deadline passed before the response was complete.
  kTimedOut,
  /// The backend server reported that it shed the request.
  kShed,
  /// The connection could not be established or was lost.
  kFailed,
};

/// How an admitted request ended, and the time since its admission.
struct AttemptOutcome {
  AttemptResult result = AttemptResult::kCompleted;
  Duration latency{};
};

/// A queued request that was refused without being run.
struct RefusedRequest {
  RequestId request = 0;
  RefusalReason reason = RefusalReason::kDeadline;

  friend bool operator==(const RefusedRequest&,
                         const RefusedRequest&) = default;
};

/// Queued requests that a call admitted or refused.
struct AdmissionChanges {
  std::vector<RequestId> admitted;
  std::vector<RefusedRequest> refused;

  friend bool operator==(const AdmissionChanges&,
                         const AdmissionChanges&) = default;
};

/// The load that the owner node reports with each response.
struct AdmissionLoad {
  std::size_t in_flight = 0;
  std::size_t queued = 0;
  /// Concurrency limit, rounded down.
  std::size_t limit = 0;

  friend bool operator==(const AdmissionLoad&, const AdmissionLoad&) = default;
};

namespace detail {

/// Order of service within a band.
struct QueueKey {
  /// The deadline of the request in its band; constant if requests are served
  /// in order of arrival.
  TimePoint urgency;
  std::uint64_t arrival = 0;
  RequestId request = 0;

  friend bool operator<(const QueueKey& a, const QueueKey& b) {
    return std::tie(a.urgency, a.arrival, a.request) <
           std::tie(b.urgency, b.arrival, b.request);
  }
};

/// Order of service among requests; smaller values go first. Nested calls come
/// before all ranks, then the ranks by priority, then requests that cannot meet
/// their target any more, by the priority of their rank.
using Band = int;
inline constexpr Band kNestedCallBand = -1;
inline constexpr Band kFirstLateBand = 256;

struct AdmissionEntry {
  Band band = 0;
  bool in_flight = false;
  QueueKey key;
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
  std::set<QueueKey> queue;
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

}  // namespace detail

/// Admission control for one backend server, run by its owner node.
///
/// Free slots go first to ranks below their guaranteed share, starting with the
/// one that uses the smallest part of it, then to the most urgent rank with
/// waiting requests. Unused shares are thus lent to other ranks. Since slots
/// are not preempted, long-running requests may not borrow slots that other
/// ranks have recently needed.
///
/// All functions take the current time, which must not decrease. Expire must be
/// called at the time given by NextWakeup.
class AdmissionQueue {
 public:
  explicit AdmissionQueue(AdmissionOptions options);

  /// Admits, queues or refuses a request. A request that cannot meet its target
  /// waits behind all that still can; one that cannot meet its deadline either
  /// is refused.
  OfferResult Offer(const AdmissionRequest& request, TimePoint now);

  /// As above, for a request without a target. It is refused if its queue is
  /// full, if it cannot finish before `deadline`, or if the backend server is
  /// draining.
  OfferResult Offer(RequestId request,
                    std::uint8_t rank_priority,
                    TimePoint deadline,
                    TimePoint now);

  /// Frees the slot of an admitted request that ended. Unknown requests are
  /// ignored.
  AdmissionChanges Release(RequestId request,
                           AttemptOutcome outcome,
                           TimePoint now);

  /// The caller disconnected: drops a queued request, or frees the slot of an
  /// admitted one without recording its latency.
  AdmissionChanges Cancel(RequestId request, TimePoint now);

  /// Refuses queued requests that can no longer finish in time and admits those
  /// that may run.
  AdmissionChanges Expire(TimePoint now);

  /// When Expire must be called next; empty if no request is queued.
  std::optional<TimePoint> NextWakeup(TimePoint now) const;

  /// Refuses all queued and all later requests. Requests in flight run to
  /// completion.
  AdmissionChanges Drain(TimePoint now);

  /// The backend server registered again after a drain or a crash: the limit
  /// and the service times are learned anew, with slow start. Requests in
  /// flight stay tracked.
  void Restart(std::uint32_t announced_slots, TimePoint now);

  /// The running backend server announced a different number of slots.
  void SetAnnouncedSlots(std::uint32_t announced_slots);

  /// Applies the ranks of a new configuration.
  void SetRanks(const std::vector<RankShare>& ranks);

  AdmissionLoad load() const;

  /// How long requests of the kind hold a slot; empty if none ended recently.
  std::optional<Duration> ServiceTime(std::uint64_t kind, TimePoint now) const;

 private:
  using Band = detail::Band;
  using RankMap = std::map<Band, detail::RankState>;

  /// Returns the reason if the request was refused; otherwise sets `runs_now`
  /// if it was admitted rather than queued.
  std::optional<RefusalReason> Enqueue(const AdmissionRequest& request,
                                       Band band,
                                       TimePoint deadline,
                                       TimePoint now,
                                       bool& runs_now);
  std::optional<RefusalReason> Demote(RequestId request, TimePoint now);
  std::optional<Duration> MeanServiceTime(const detail::RankState& rank,
                                          std::uint64_t kind,
                                          TimePoint now) const;
  Duration UpperServiceTime(const detail::RankState& rank,
                            std::uint64_t kind,
                            TimePoint now) const;

  void RecordLatency(Band band,
                     const AttemptOutcome& outcome,
                     std::size_t in_flight,
                     TimePoint now);
  void Advance(TimePoint now);
  void AdvanceRank(detail::RankState& rank,
                   double elapsed_seconds,
                   bool contended);
  void Dispatch(TimePoint now, AdmissionChanges& changes);
  void DemoteOrRefuseLate(TimePoint now, AdmissionChanges& changes);
  void Admit(detail::RankState& rank, RequestId request, TimePoint now);
  void RemoveInFlight(RequestId request);

  /// The rank that gets the next free slot, or the end iterator if none may.
  RankMap::iterator PickRank(TimePoint now);
  /// The rank below its guarantee that uses the smallest part of it; the most
  /// urgent one among equals.
  RankMap::iterator PickBelowGuarantee();
  double UsedShareOfGuarantee(Band band, const detail::RankState& rank) const;
  RankMap::iterator PickOldest();
  bool IsBelowGuarantee(const detail::RankState& rank) const;
  /// Whether the rank has enough credit for one slot above the integer part of
  /// its guarantee.
  bool CanAffordExtraSlot(const detail::RankState& rank) const;
  bool MayBorrow(const detail::RankState& rank, TimePoint now) const;
  bool IsLongRunning(const detail::RankState& rank, TimePoint now) const;
  double ReservedSlots(Band band, const detail::RankState& rank) const;
  double Guarantee(const detail::RankState& rank) const;
  double UsableSlots(Band band) const;
  Duration WaitForMoreUrgentBands(Band band, TimePoint now) const;
  std::size_t FreeSlots() const;
  std::size_t MaxQueueLength() const;
  bool WouldMissDeadline(Band band,
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
  /// How long requests hold a slot, by kind.
  std::unordered_map<std::uint64_t, ServiceTimeEstimate> m_kind_times;
  std::size_t m_in_flight = 0;
  std::size_t m_queued = 0;
  std::uint64_t m_next_arrival = 0;
  bool m_draining = false;
  bool m_has_advanced = false;
  TimePoint m_last_advance;
};

}  // namespace banyantrail
