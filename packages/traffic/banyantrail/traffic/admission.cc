#include "banyantrail/traffic/admission.h"

#include <algorithm>
#include <cmath>

namespace banyantrail {

namespace {

using detail::AdmissionEntry;
using detail::kFirstLateBand;
using detail::kNestedCallBand;
using detail::QueueKey;
using detail::RankState;

constexpr double kPercent = 100;
/// Factor on the shares of all ranks but the most urgent, so that moments
/// without waiting requests do not take them below their share on average.
constexpr double kLowerRankShareFactor = 1.01;
/// Maximum credit of a rank, unless one request is expected to need more.
constexpr double kMaxCreditSlotSeconds = 5;
constexpr milliseconds kDefaultServiceTime{50};
/// Time constant of the average of a rank's demand.
constexpr double kDemandTimeConstantSeconds = 2;
/// No slots are reserved for a rank with a lower demand.
constexpr double kMinDemand = 0.01;
/// Slots reserved for the most urgent rank in addition to its demand.
constexpr double kTopRankReserveMargin = 0.5;
/// Lower bound on the slots assumed when estimating a waiting time.
constexpr double kMinUsableSlots = 0.25;
/// Interval between checks of waiting ranks while slots are free. Credit and
/// demand change with time even if no request arrives or ends.
constexpr milliseconds kRecheckInterval{10};

double ToSeconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

Duration FromSeconds(double value) {
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(value));
}

double SecondsSinceEpoch(TimePoint time) {
  return ToSeconds(time.time_since_epoch());
}

/// How long the rank's requests hold a slot: the mean of those that ended or
/// the mean age of those in flight, whichever is longer. Empty if there are
/// neither.
std::optional<Duration> SlotHoldTime(const RankState& rank, TimePoint now) {
  std::optional<Duration> hold = rank.service_time.Mean(now);
  if (rank.in_flight > 0) {
    const double mean_start =
        rank.admitted_at_sum / static_cast<double>(rank.in_flight);
    const Duration age = FromSeconds(SecondsSinceEpoch(now) - mean_start);
    hold = std::max(hold.value_or(Duration{}), age);
  }
  return hold;
}

/// Slot-seconds that a request of the rank is expected to use.
double ExpectedSlotSeconds(const RankState& rank, TimePoint now) {
  return ToSeconds(rank.service_time.Mean(now).value_or(kDefaultServiceTime));
}

double FractionalPart(double value) {
  return value - std::floor(value);
}

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
      refusal = Enqueue(request, kFirstLateBand + request.rank_priority,
                        request.deadline, now, runs_now);
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
  const QueueKey key{
      .urgency = m_options.order_by_rank ? deadline : TimePoint{},
      .arrival = m_next_arrival++,
      .request = request.id};
  const bool is_first = rank.queue.empty() || key < *rank.queue.begin();
  const bool may_run = IsBelowGuarantee(rank) || MayBorrow(rank, now);
  runs_now = FreeSlots() > 0 && is_first && may_run;
  if (!runs_now && rank.queue.size() >= MaxQueueLength()) {
    return RefusalReason::kQueueFull;
  }
  if (!runs_now &&
      WouldMissDeadline(band, rank, key, deadline, request.kind, now)) {
    return RefusalReason::kDeadline;
  }
  m_entries[request.id] = {.band = band,
                           .key = key,
                           .band_deadline = deadline,
                           .caller_deadline = request.deadline,
                           .kind = request.kind};
  if (runs_now) {
    Admit(rank, request.id, now);
  } else {
    rank.queue.insert(key);
    ++m_queued;
  }
  return std::nullopt;
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
  const QueueKey key{.urgency = entry.caller_deadline,
                     .arrival = entry.key.arrival,
                     .request = request};
  if (WouldMissDeadline(band, rank, key, entry.caller_deadline, entry.kind,
                        now)) {
    return RefusalReason::kDeadline;
  }
  m_entries[request] = entry;
  m_entries[request].band = band;
  m_entries[request].key = key;
  m_entries[request].band_deadline = entry.caller_deadline;
  rank.queue.insert(key);
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
  RemoveInFlight(request);
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
    RemoveInFlight(request);
  } else {
    m_ranks[found->second.band].queue.erase(found->second.key);
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
  if (m_queued == 0) {
    return std::nullopt;
  }
  TimePoint next = TimePoint::max();
  for (const auto& [band, rank] : m_ranks) {
    if (!rank.queue.empty()) {
      const RequestId first = rank.queue.begin()->request;
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
  for (auto& [band, rank] : m_ranks) {
    for (const QueueKey& key : rank.queue) {
      changes.refused.push_back(
          {.request = key.request, .reason = RefusalReason::kDraining});
      m_entries.erase(key.request);
    }
    m_queued -= rank.queue.size();
    rank.queue.clear();
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
  for (auto& [band, rank] : m_ranks) {
    const bool contended = m_queued > rank.queue.size();
    AdvanceRank(rank, elapsed_seconds, contended);
  }
}

void AdmissionQueue::AdvanceRank(RankState& rank,
                                 double elapsed_seconds,
                                 bool contended) {
  const double wanted = static_cast<double>(rank.in_flight + rank.queue.size());
  const auto held = static_cast<double>(rank.in_flight);
  const double weight =
      -std::expm1(-elapsed_seconds / kDemandTimeConstantSeconds);
  rank.demand += (wanted - rank.demand) * weight;
  rank.mean_in_flight += (held - rank.mean_in_flight) * weight;

  const double guarantee = Guarantee(rank);
  const bool uses_extra_slot = held > std::floor(guarantee);
  if (uses_extra_slot && contended) {
    rank.credit -= (1 - FractionalPart(guarantee)) * elapsed_seconds;
  } else if (!uses_extra_slot && !rank.queue.empty()) {
    rank.credit += (guarantee - held) * elapsed_seconds;
  }
  const double unit = ExpectedSlotSeconds(rank, m_last_advance);
  rank.credit =
      std::clamp(rank.credit, -unit, std::max(unit, kMaxCreditSlotSeconds));
}

void AdmissionQueue::Dispatch(TimePoint now, AdmissionChanges& changes) {
  DemoteOrRefuseLate(now, changes);
  while (m_queued > 0 && FreeSlots() > 0) {
    const auto picked = PickRank(now);
    if (picked == m_ranks.end()) {
      return;
    }
    RankState& rank = picked->second;
    const RequestId request = rank.queue.begin()->request;
    rank.queue.erase(rank.queue.begin());
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
      const RequestId first = rank.queue.begin()->request;
      if (now < LatestStart(rank, m_entries.at(first), now)) {
        break;
      }
      rank.queue.erase(rank.queue.begin());
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
  rank.admitted_at_sum += SecondsSinceEpoch(now);
  ++rank.in_flight;
  ++m_in_flight;
}

void AdmissionQueue::RemoveInFlight(RequestId request) {
  const auto found = m_entries.find(request);
  RankState& rank = m_ranks[found->second.band];
  rank.admitted_at_sum -= SecondsSinceEpoch(found->second.admitted_at);
  --rank.in_flight;
  --m_in_flight;
  if (rank.in_flight == 0) {
    rank.admitted_at_sum = 0;
  }
  m_entries.erase(found);
}

AdmissionQueue::RankMap::iterator AdmissionQueue::PickRank(TimePoint now) {
  if (!m_options.order_by_rank) {
    return PickOldest();
  }
  const auto below_guarantee = PickBelowGuarantee();
  if (below_guarantee != m_ranks.end()) {
    return below_guarantee;
  }
  return std::find_if(
      m_ranks.begin(), m_ranks.end(), [this, now](const auto& item) {
        return !item.second.queue.empty() && MayBorrow(item.second, now);
      });
}

AdmissionQueue::RankMap::iterator AdmissionQueue::PickBelowGuarantee() {
  auto picked = m_ranks.end();
  double least_used = 0;
  for (auto it = m_ranks.begin(); it != m_ranks.end(); ++it) {
    const RankState& rank = it->second;
    if (rank.queue.empty() || !IsBelowGuarantee(rank)) {
      continue;
    }
    const double used_share = UsedShareOfGuarantee(it->first, rank);
    if (picked == m_ranks.end() || used_share < least_used) {
      picked = it;
      least_used = used_share;
    }
  }
  return picked;
}

double AdmissionQueue::UsedShareOfGuarantee(Band band,
                                            const RankState& rank) const {
  // The most urgent rank does not use credit to take precedence over others.
  const bool uses_credit =
      band != m_ranks.begin()->first && CanAffordExtraSlot(rank);
  const auto held = static_cast<double>(rank.in_flight);
  return (uses_credit ? held - 1 : held) / Guarantee(rank);
}

AdmissionQueue::RankMap::iterator AdmissionQueue::PickOldest() {
  auto oldest = m_ranks.end();
  for (auto it = m_ranks.begin(); it != m_ranks.end(); ++it) {
    const std::set<QueueKey>& queue = it->second.queue;
    if (queue.empty()) {
      continue;
    }
    if (oldest == m_ranks.end() ||
        *queue.begin() < *oldest->second.queue.begin()) {
      oldest = it;
    }
  }
  return oldest;
}

bool AdmissionQueue::IsBelowGuarantee(const RankState& rank) const {
  if (!m_options.order_by_rank || !m_options.guarantee_shares) {
    return false;
  }
  const double guarantee = Guarantee(rank);
  const double whole_slots = std::floor(guarantee);
  const auto held = static_cast<double>(rank.in_flight);
  if (held < whole_slots) {
    return true;
  }
  return held < whole_slots + 1 && CanAffordExtraSlot(rank);
}

bool AdmissionQueue::CanAffordExtraSlot(const RankState& rank) const {
  const double price = (1 - FractionalPart(Guarantee(rank))) *
                       ExpectedSlotSeconds(rank, m_last_advance);
  return rank.credit >= price;
}

bool AdmissionQueue::MayBorrow(const RankState& rank, TimePoint now) const {
  if (!m_options.order_by_rank || !m_options.reserve_slots) {
    return true;
  }
  if (!IsLongRunning(rank, now)) {
    return true;
  }
  double reserved = 0;
  for (const auto& [band, other] : m_ranks) {
    if (&other != &rank) {
      reserved += ReservedSlots(band, other);
    }
  }
  const double left = m_limit.value() - static_cast<double>(m_in_flight) - 1;
  return left >= std::floor(reserved);
}

bool AdmissionQueue::IsLongRunning(const RankState& rank, TimePoint now) const {
  // The age of a request that has just started does not tell how long it will
  // hold its slot, so a rank without measurements counts as long-running.
  if (!rank.service_time.Mean(now).has_value()) {
    return true;
  }
  return *SlotHoldTime(rank, now) > m_options.max_borrower_hold_time;
}

double AdmissionQueue::ReservedSlots(Band band, const RankState& rank) const {
  if (rank.demand < kMinDemand) {
    return 0;
  }
  const bool most_urgent = band == m_ranks.begin()->first;
  const double wanted = most_urgent
                            ? std::max(rank.demand + kTopRankReserveMargin, 1.0)
                            : rank.demand;
  const double needed = std::min(wanted, Guarantee(rank));
  return std::max(needed - static_cast<double>(rank.in_flight), 0.0);
}

double AdmissionQueue::Guarantee(const RankState& rank) const {
  return rank.share * m_limit.value();
}

/// The slots that the band can count on while it waits. More urgent bands keep
/// the share that they had lately, not every slot that they hold at this
/// moment: those become free before a waiting request is late.
double AdmissionQueue::UsableSlots(Band band) const {
  double usable = m_limit.value();
  for (const auto& [other_band, other] : m_ranks) {
    if (other_band < band) {
      usable -= other.mean_in_flight;
    } else if (other_band > band) {
      const auto wanted =
          static_cast<double>(other.in_flight + other.queue.size());
      usable -= std::min(wanted, Guarantee(other));
    }
  }
  return usable;
}

/// Time that the queued requests of more urgent bands occupy all slots.
Duration AdmissionQueue::WaitForMoreUrgentBands(Band band,
                                                TimePoint now) const {
  double slot_seconds = 0;
  for (const auto& [other_band, other] : m_ranks) {
    if (other_band < band) {
      slot_seconds += static_cast<double>(other.queue.size()) *
                      ExpectedSlotSeconds(other, now);
    }
  }
  return FromSeconds(slot_seconds / std::max(m_limit.value(), 1.0));
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
                                       const QueueKey& key,
                                       TimePoint deadline,
                                       std::uint64_t kind,
                                       TimePoint now) const {
  const std::optional<Duration> mean = MeanServiceTime(rank, kind, now);
  if (!m_options.refuse_early || !mean.has_value()) {
    return false;
  }
  const auto ahead = static_cast<double>(
      std::distance(rank.queue.begin(), rank.queue.lower_bound(key)));
  const double slots =
      std::max({UsableSlots(band), Guarantee(rank), kMinUsableSlots});
  const Duration rank_mean = rank.service_time.Mean(now).value_or(*mean);
  const Duration wait = WaitForMoreUrgentBands(band, now) +
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
