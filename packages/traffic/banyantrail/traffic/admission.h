#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

#include "banyantrail/core/clock.h"
#include "banyantrail/traffic/admission_types.h"
#include "banyantrail/traffic/concurrency_limit.h"
#include "banyantrail/traffic/rank_scheduler.h"
#include "banyantrail/traffic/rank_state.h"
#include "banyantrail/traffic/refusal_reason.h"
#include "banyantrail/traffic/service_time.h"

namespace banyantrail {

/// Admission control for one backend server, run by its owner node.
///
/// Free slots go first to ranks below their guaranteed share, starting with the
/// one that uses the smallest part of it, then to the most urgent rank with
/// waiting requests. Unused shares are thus lent to other ranks. Since slots
/// are not preempted, long-running requests may not borrow slots that other
/// ranks have recently needed.
///
/// Within a rank, teams share the slots by start-time fair queueing on service
/// time; see TeamQueue.
///
/// All functions take the current time, which must not decrease. Expire must be
/// called at the time given by NextWakeup.
class AdmissionQueue {
 public:
  explicit AdmissionQueue(AdmissionOptions options);

  /// Admits, queues or refuses a request. If teams share a full queue, a queued
  /// request of another team may be refused for it; the next call that returns
  /// AdmissionChanges reports that, and NextWakeup asks for one at once. A
  /// request that cannot meet its target waits behind all that still can; one
  /// that cannot meet its deadline either is refused.
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

  /// Returns the reason if the request was refused; otherwise sets `runs_now`
  /// if it was admitted rather than queued.
  std::optional<RefusalReason> Enqueue(const AdmissionRequest& request,
                                       Band band,
                                       TimePoint deadline,
                                       TimePoint now,
                                       bool& runs_now);
  /// Whether the request is queued under its team.
  bool CountsForTeam(const AdmissionRequest& request) const;
  /// Whether a full queue of the band is shared between teams.
  bool IsFair(Band band) const;
  std::optional<RequestId> VictimOfFullQueue(
      Band band,
      const detail::RankState& rank,
      const detail::QueuedRequest& queued) const;
  RefusalReason FullQueueReason(Band band,
                                const detail::RankState& rank,
                                TeamHash newcomer) const;
  RefusalReason LateReason(Band band,
                           const detail::RankState& rank,
                           detail::QueuedRequest queued,
                           TimePoint deadline,
                           std::uint64_t kind,
                           TimePoint now);
  void Evict(detail::RankState& rank, RequestId request, RefusalReason reason);
  void ReportEvicted(AdmissionChanges& changes);
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
  void Dispatch(TimePoint now, AdmissionChanges& changes);
  void DemoteOrRefuseLate(TimePoint now, AdmissionChanges& changes);
  void Admit(detail::RankState& rank, RequestId request, TimePoint now);
  void RemoveInFlight(RequestId request, TimePoint now);

  /// The state of the ranks at `now`, to which they must have been advanced.
  detail::RankScheduler Scheduler(TimePoint now) {
    return {m_options, m_ranks, m_limit.value(), m_in_flight, now};
  }
  std::size_t FreeSlots() const;
  std::size_t MaxQueueLength() const;
  bool WouldMissDeadline(Band band,
                         const detail::RankState& rank,
                         const detail::QueuedRequest& queued,
                         TimePoint deadline,
                         std::uint64_t kind,
                         TimePoint now);
  TimePoint LatestStart(const detail::RankState& rank,
                        const detail::AdmissionEntry& entry,
                        TimePoint now) const;

  AdmissionOptions m_options;
  ConcurrencyLimit m_limit;
  detail::RankMap m_ranks;
  std::unordered_map<RequestId, detail::AdmissionEntry> m_entries;
  /// How long requests hold a slot, by kind.
  std::unordered_map<std::uint64_t, ServiceTimeEstimate> m_kind_times;
  /// Evicted requests that no call has reported yet.
  std::vector<RefusedRequest> m_evicted;
  /// A request with a team has been offered. Without teams a full queue refuses
  /// the new request, whatever its urgency.
  bool m_has_teams = false;
  std::size_t m_in_flight = 0;
  std::size_t m_queued = 0;
  std::uint64_t m_next_arrival = 0;
  bool m_draining = false;
  bool m_has_advanced = false;
  TimePoint m_last_advance;
};

}  // namespace banyantrail
