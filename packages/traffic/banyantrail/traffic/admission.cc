#include "banyantrail/traffic/admission.h"

#include <algorithm>
#include <cmath>

namespace banyantrail {

namespace {

using detail::AdmissionEntry;
using detail::FromSeconds;
using detail::kFirstLateBand;
using detail::kNestedCallBand;
using detail::QueueKey;
using detail::RankScheduler;
using detail::RankState;
using detail::SecondsSinceEpoch;
using detail::ToSeconds;

constexpr double kPercent = 100;
/// Factor on the shares of all ranks but the most urgent, so that moments
/// without waiting requests do not take them below their share on average.
constexpr double kLowerRankShareFactor = 1.01;
/// Lower bound on the slots assumed when estimating a waiting time.
constexpr double kMinUsableSlots = 0.25;
/// Interval between checks of waiting ranks while slots are free. Credit and
/// demand change with time even if no request arrives or ends.
constexpr milliseconds kRecheckInterval{10};

}  // namespace

AdmissionQueue::AdmissionQueue(AdmissionOptions options)
    : m_options(std::move(options)),
      m_limit(m_options.limit, m_options.announced_slots) {
  SetRanks(m_options.ranks);
}

OfferResult AdmissionQueue::Offer(RequestId request,
                                  std::uint8_t rank_priority,
                                  TimePoint deadline,
                                  TimePoint now) {
  return Offer(
      {.id = request, .rank_priority = rank_priority, .deadline = deadline},
      now);
}

OfferResult AdmissionQueue::Offer(const AdmissionRequest& request,
                                  TimePoint now) {
  Advance(now);
  if (m_draining) {
    return Refused{.reason = RefusalReason::kDraining};
  }
  if (request.deadline <= now) {
    return Refused{.reason = RefusalReason::kDeadline};
  }
  m_has_teams = m_has_teams || (request.team != 0 && CountsForTeam(request));
  bool runs_now = false;
  std::optional<RefusalReason> refusal = RefusalReason::kDeadline;
  if (request.is_nested_call) {
    refusal =
        Enqueue(request, kNestedCallBand, request.deadline, now, runs_now);
  } else {
    const TimePoint first =
        std::min(request.target.value_or(request.deadline), request.deadline);
    refusal = Enqueue(request, request.rank_priority, first, now, runs_now);
    if (refusal && first < request.deadline) {
      const bool is_own_share = refusal == RefusalReason::kTeamShare;
      refusal = Enqueue(request, kFirstLateBand + request.rank_priority,
                        request.deadline, now, runs_now);
      if (refusal && is_own_share) {
        refusal = RefusalReason::kTeamShare;
      }
    }
  }
  if (refusal) {
    return Refused{.reason = *refusal};
  }
  return runs_now ? OfferResult(Admitted{}) : OfferResult(Queued{});
}

std::optional<RefusalReason> AdmissionQueue::Enqueue(
    const AdmissionRequest& request,
    Band band,
    TimePoint deadline,
    TimePoint now,
    bool& runs_now) {
  if (deadline <= now) {
    return RefusalReason::kDeadline;
  }
  RankState& rank = m_ranks[band];
  const detail::QueuedRequest queued{
      .team = CountsForTeam(request) ? request.team : 0,
      .key = {.urgency = m_options.order_by_rank ? deadline : TimePoint{},
              .arrival = m_next_arrival++,
              .request = request.id},
      .cost = ToSeconds(MeanServiceTime(rank, request.kind, now)
                            .value_or(detail::kDefaultServiceTime))};
  runs_now = FreeSlots() > 0 && rank.queue.WouldBeNext(queued) &&
             Scheduler(now).MayRun(rank);
  std::optional<RequestId> victim;
  if (!runs_now) {
    if (rank.queue.size() >= MaxQueueLength()) {
      victim = VictimOfFullQueue(band, rank, queued);
      if (!victim) {
        return FullQueueReason(band, rank, queued.team);
      }
    }
    if (WouldMissDeadline(band, rank, queued, deadline, request.kind, now)) {
      return LateReason(band, rank, queued, deadline, request.kind, now);
    }
  }
  if (victim) {
    Evict(rank, *victim, FullQueueReason(band, rank, queued.team));
  }
  m_entries[request.id] = {.band = band,
                           .queued = queued,
                           .band_deadline = deadline,
                           .caller_deadline = request.deadline,
                           .kind = request.kind};
  if (runs_now) {
    Admit(rank, request.id, now);
  } else {
    rank.queue.Insert(queued);
    ++m_queued;
  }
  return std::nullopt;
}

bool AdmissionQueue::CountsForTeam(const AdmissionRequest& request) const {
  return m_options.order_by_rank && !request.is_nested_call;
}

bool AdmissionQueue::IsFair(Band band) const {
  return m_has_teams && band != kNestedCallBand;
}

/// The request that gives way to the new one: the least urgent one of the team
/// with most requests queued. Empty if that is the new one.
std::optional<RequestId> AdmissionQueue::VictimOfFullQueue(
    Band band,
    const RankState& rank,
    const detail::QueuedRequest& queued) const {
  if (!IsFair(band)) {
    return std::nullopt;
  }
  const TeamHash team = rank.queue.LargestBacklog(queued.team);
  if (rank.queue.Backlog(team) == 0) {
    return std::nullopt;
  }
  const QueueKey& last = rank.queue.LeastUrgent(team);
  if (team == queued.team && last < queued.key) {
    return std::nullopt;
  }
  return last.request;
}

/// The reason for refusing a request of the team with most requests queued.
/// The queue is full for every team only if none has more than one request in
/// it: a team without any would get a place otherwise.
RefusalReason AdmissionQueue::FullQueueReason(Band band,
                                              const RankState& rank,
                                              TeamHash newcomer) const {
  const TeamHash team = rank.queue.LargestBacklog(newcomer);
  const std::size_t others = team == newcomer ? 0 : 1;
  return IsFair(band) && rank.queue.Backlog(team) > others
             ? RefusalReason::kTeamShare
             : RefusalReason::kQueueFull;
}

/// The reason for refusing a request that would miss its deadline. If one of a
/// team that has not used its share would meet it, the deadline does not tell
/// the entry node that the backend server has no room.
RefusalReason AdmissionQueue::LateReason(Band band,
                                         const RankState& rank,
                                         detail::QueuedRequest queued,
                                         TimePoint deadline,
                                         std::uint64_t kind,
                                         TimePoint now) {
  queued.team = detail::kUnknownTeam;
  const bool is_own_share =
      IsFair(band) &&
      !WouldMissDeadline(band, rank, queued, deadline, kind, now);
  return is_own_share ? RefusalReason::kTeamShare : RefusalReason::kDeadline;
}

/// Refuses a queued request. The next call that returns changes reports it.
void AdmissionQueue::Evict(RankState& rank,
                           RequestId request,
                           RefusalReason reason) {
  const auto found = m_entries.find(request);
  rank.queue.Erase(found->second.queued);
  --m_queued;
  m_entries.erase(found);
  m_evicted.push_back({.request = request, .reason = reason});
}

/// Adds the requests that earlier calls evicted to the changes.
void AdmissionQueue::ReportEvicted(AdmissionChanges& changes) {
  changes.refused.insert(changes.refused.end(), m_evicted.begin(),
                         m_evicted.end());
  m_evicted.clear();
}

/// Moves a request that cannot meet its target behind all that can. The caller
/// has already removed it from its queue. Returns the reason if the request is
/// refused instead.
std::optional<RefusalReason> AdmissionQueue::Demote(RequestId request,
                                                    TimePoint now) {
  const AdmissionEntry entry = m_entries.at(request);
  m_entries.erase(request);
  const bool may_wait = entry.band >= 0 && entry.band < kFirstLateBand &&
                        entry.band_deadline < entry.caller_deadline;
  if (!may_wait) {
    return RefusalReason::kDeadline;
  }
  const Band band = kFirstLateBand + entry.band;
  RankState& rank = m_ranks[band];
  detail::QueuedRequest queued = entry.queued;
  queued.key.urgency = entry.caller_deadline;
  if (WouldMissDeadline(band, rank, queued, entry.caller_deadline, entry.kind,
                        now)) {
    return LateReason(band, rank, queued, entry.caller_deadline, entry.kind,
                      now);
  }
  m_entries[request] = entry;
  m_entries[request].band = band;
  m_entries[request].queued = queued;
  m_entries[request].band_deadline = entry.caller_deadline;
  rank.queue.Insert(queued);
  ++m_queued;
  return std::nullopt;
}

AdmissionChanges AdmissionQueue::Release(RequestId request,
                                         AttemptOutcome outcome,
                                         TimePoint now) {
  Advance(now);
  const auto found = m_entries.find(request);
  if (found == m_entries.end() || !found->second.in_flight) {
    return {};
  }
  const Band band = found->second.band;
  const std::uint64_t kind = found->second.kind;
  const std::size_t in_flight = m_in_flight;
  RemoveInFlight(request, now);
  switch (outcome.result) {
    case AttemptResult::kCompleted:
    case AttemptResult::kTimedOut:
      m_ranks[band].service_time.Record(outcome.latency, now);
      if (kind != 0) {
        m_kind_times[kind].Record(outcome.latency, now);
      }
      RecordLatency(band, outcome, in_flight, now);
      break;
    case AttemptResult::kShed:
      m_limit.OnShed(in_flight, now);
      break;
    case AttemptResult::kFailed:
      m_limit.OnFailure();
      break;
  }
  AdmissionChanges changes;
  Dispatch(now, changes);
  return changes;
}

void AdmissionQueue::RecordLatency(Band band,
                                   const AttemptOutcome& outcome,
                                   std::size_t in_flight,
                                   TimePoint now) {
  if (outcome.result == AttemptResult::kTimedOut &&
      m_options.limit.per_response_slow_start) {
    m_limit.OnFailure();
  } else {
    m_limit.OnLatency(static_cast<std::uint8_t>(band), outcome.latency,
                      in_flight, now);
  }
}

AdmissionChanges AdmissionQueue::Cancel(RequestId request, TimePoint now) {
  Advance(now);
  const auto found = m_entries.find(request);
  if (found == m_entries.end()) {
    return {};
  }
  if (found->second.in_flight) {
    RemoveInFlight(request, now);
  } else {
    m_ranks[found->second.band].queue.Erase(found->second.queued);
    --m_queued;
    m_entries.erase(found);
  }
  AdmissionChanges changes;
  Dispatch(now, changes);
  return changes;
}

AdmissionChanges AdmissionQueue::Expire(TimePoint now) {
  Advance(now);
  AdmissionChanges changes;
  Dispatch(now, changes);
  return changes;
}

std::optional<TimePoint> AdmissionQueue::NextWakeup(TimePoint now) const {
  if (!m_evicted.empty()) {
    return now;
  }
  if (m_queued == 0) {
    return std::nullopt;
  }
  TimePoint next = TimePoint::max();
  for (const auto& [band, rank] : m_ranks) {
    if (!rank.queue.empty()) {
      const RequestId first = rank.queue.MostUrgent().request;
      next = std::min(next, LatestStart(rank, m_entries.at(first), now));
    }
  }
  if (FreeSlots() > 0) {
    next = std::min<TimePoint>(next, now + kRecheckInterval);
  }
  return std::max(next, now);
}

AdmissionChanges AdmissionQueue::Drain(TimePoint now) {
  Advance(now);
  m_draining = true;
  AdmissionChanges changes;
  ReportEvicted(changes);
  for (auto& [band, rank] : m_ranks) {
    for (const QueueKey& key : rank.queue.by_urgency()) {
      changes.refused.push_back(
          {.request = key.request, .reason = RefusalReason::kDraining});
      m_entries.erase(key.request);
    }
    m_queued -= rank.queue.size();
    rank.queue.Clear();
  }
  return changes;
}

void AdmissionQueue::Restart(std::uint32_t announced_slots, TimePoint now) {
  Advance(now);
  m_draining = false;
  m_options.announced_slots = announced_slots;
  m_limit.Restart(announced_slots);
  for (auto& [band, rank] : m_ranks) {
    rank.service_time = ServiceTimeEstimate();
  }
  m_kind_times.clear();
}

void AdmissionQueue::SetAnnouncedSlots(std::uint32_t announced_slots) {
  m_options.announced_slots = announced_slots;
  m_limit.SetAnnouncedSlots(announced_slots);
}

void AdmissionQueue::SetRanks(const std::vector<RankShare>& ranks) {
  for (auto& [band, rank] : m_ranks) {
    rank.share = 0;
  }
  for (const RankShare& declared : ranks) {
    m_ranks[declared.priority].share += declared.share_percent / kPercent;
  }
  for (auto it = m_ranks.begin(); it != m_ranks.end(); ++it) {
    it->second.share *= it == m_ranks.begin() ? 1 : kLowerRankShareFactor;
  }
}

AdmissionLoad AdmissionQueue::load() const {
  return {.in_flight = m_in_flight,
          .queued = m_queued,
          .limit = static_cast<std::size_t>(m_limit.value())};
}

std::optional<Duration> AdmissionQueue::ServiceTime(std::uint64_t kind,
                                                    TimePoint now) const {
  const auto found = m_kind_times.find(kind);
  return found == m_kind_times.end() ? std::nullopt : found->second.Mean(now);
}

void AdmissionQueue::Advance(TimePoint now) {
  const double elapsed_seconds =
      m_has_advanced ? ToSeconds(now - m_last_advance) : 0.0;
  m_has_advanced = true;
  m_last_advance = now;
  if (elapsed_seconds <= 0) {
    return;
  }
  RankScheduler scheduler = Scheduler(now);
  for (auto& [band, rank] : m_ranks) {
    const bool contended = m_queued > rank.queue.size();
    scheduler.AdvanceRank(rank, elapsed_seconds, contended);
  }
}

void AdmissionQueue::Dispatch(TimePoint now, AdmissionChanges& changes) {
  ReportEvicted(changes);
  DemoteOrRefuseLate(now, changes);
  while (m_queued > 0 && FreeSlots() > 0) {
    const auto picked = Scheduler(now).Pick();
    if (picked == m_ranks.end()) {
      return;
    }
    RankState& rank = picked->second;
    const RequestId request = m_options.order_by_rank
                                  ? rank.queue.Next().request
                                  : rank.queue.MostUrgent().request;
    rank.queue.Erase(m_entries.at(request).queued);
    --m_queued;
    Admit(rank, request, now);
    changes.admitted.push_back(request);
  }
}

void AdmissionQueue::DemoteOrRefuseLate(TimePoint now,
                                        AdmissionChanges& changes) {
  // Requests are demoted to bands that this loop visits later.
  for (auto it = m_ranks.begin(); it != m_ranks.end(); ++it) {
    RankState& rank = it->second;
    while (!rank.queue.empty()) {
      const RequestId first = rank.queue.MostUrgent().request;
      if (now < LatestStart(rank, m_entries.at(first), now)) {
        break;
      }
      rank.queue.Erase(m_entries.at(first).queued);
      --m_queued;
      const std::optional<RefusalReason> refusal = Demote(first, now);
      if (refusal) {
        changes.refused.push_back({.request = first, .reason = *refusal});
      }
    }
  }
}

void AdmissionQueue::Admit(RankState& rank, RequestId request, TimePoint now) {
  AdmissionEntry& entry = m_entries.at(request);
  entry.in_flight = true;
  entry.admitted_at = now;
  rank.queue.OnAdmitted(entry.queued.team, entry.queued.cost);
  rank.admitted_at_sum += SecondsSinceEpoch(now);
  ++rank.in_flight;
  ++m_in_flight;
}

void AdmissionQueue::RemoveInFlight(RequestId request, TimePoint now) {
  const auto found = m_entries.find(request);
  RankState& rank = m_ranks[found->second.band];
  const AdmissionEntry& entry = found->second;
  rank.queue.OnReleased(entry.queued.team, entry.queued.cost,
                        ToSeconds(now - entry.admitted_at));
  rank.admitted_at_sum -= SecondsSinceEpoch(entry.admitted_at);
  --rank.in_flight;
  --m_in_flight;
  if (rank.in_flight == 0) {
    rank.admitted_at_sum = 0;
  }
  m_entries.erase(found);
}

std::size_t AdmissionQueue::FreeSlots() const {
  const auto limit = static_cast<std::size_t>(m_limit.value());
  return limit > m_in_flight ? limit - m_in_flight : 0;
}

std::size_t AdmissionQueue::MaxQueueLength() const {
  return m_options.max_queued_per_slot *
         std::max<std::size_t>(m_options.announced_slots, 1);
}

std::optional<Duration> AdmissionQueue::MeanServiceTime(const RankState& rank,
                                                        std::uint64_t kind,
                                                        TimePoint now) const {
  const auto found = m_kind_times.find(kind);
  if (found != m_kind_times.end() && found->second.Mean(now)) {
    return found->second.Mean(now);
  }
  return rank.service_time.Mean(now);
}

Duration AdmissionQueue::UpperServiceTime(const RankState& rank,
                                          std::uint64_t kind,
                                          TimePoint now) const {
  const auto found = m_kind_times.find(kind);
  if (found != m_kind_times.end() && found->second.UpperEstimate(now)) {
    return *found->second.UpperEstimate(now);
  }
  return rank.service_time.UpperEstimate(now).value_or(Duration{});
}

bool AdmissionQueue::WouldMissDeadline(Band band,
                                       const RankState& rank,
                                       const detail::QueuedRequest& queued,
                                       TimePoint deadline,
                                       std::uint64_t kind,
                                       TimePoint now) {
  const std::optional<Duration> mean = MeanServiceTime(rank, kind, now);
  if (!m_options.refuse_early || !mean.has_value()) {
    return false;
  }
  const auto ahead = static_cast<double>(rank.queue.CountAhead(queued));
  const RankScheduler scheduler = Scheduler(now);
  const double slots = std::max({scheduler.UsableSlots(band),
                                 scheduler.Guarantee(rank), kMinUsableSlots});
  const Duration rank_mean = rank.service_time.Mean(now).value_or(*mean);
  const Duration wait = scheduler.WaitForMoreUrgentBands(band) +
                        FromSeconds((ahead + 1) * ToSeconds(rank_mean) / slots);
  return deadline < now + wait + UpperServiceTime(rank, kind, now);
}

TimePoint AdmissionQueue::LatestStart(const RankState& rank,
                                      const AdmissionEntry& entry,
                                      TimePoint now) const {
  if (!m_options.refuse_early) {
    return entry.band_deadline;
  }
  return entry.band_deadline - UpperServiceTime(rank, entry.kind, now);
}

}  // namespace banyantrail
