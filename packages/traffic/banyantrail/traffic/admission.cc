#include "banyantrail/traffic/admission.h"

#include <algorithm>
#include <cmath>

namespace banyantrail {

namespace {

using detail::AdmissionEntry;
using detail::kCallBand;
using detail::kFirstLateBand;
using detail::QueueKey;
using detail::RankState;

constexpr double kPercent = 100;
/// Factor on the shares of all ranks but the most urgent, so that moments
/// without waiting requests do not take them below their share on average.
constexpr double kShareMargin = 1.01;
/// Maximum credit of a rank, unless one request is expected to need more.
constexpr double kMostOwed = 5;
constexpr milliseconds kUnknownServiceTime{50};
/// Time constant of the average of a rank's demand.
constexpr double kDemandSeconds = 2;
/// No slots are reserved for a rank with a lower demand.
constexpr double kLeastDemand = 0.01;
/// Slots reserved for the most urgent rank in addition to its demand.
constexpr double kUrgentMargin = 0.5;
/// Lower bound on the slots assumed when estimating a waiting time.
constexpr double kLeastUsableSlots = 0.25;
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

double SecondsOf(TimePoint time) {
  return ToSeconds(time.time_since_epoch());
}

/// How long the rank's requests hold a slot: the mean of those that ended or
/// the mean age of those in flight, whichever is longer. Empty if there are
/// neither.
std::optional<Duration> HoldTime(const RankState& rank, TimePoint now) {
  std::optional<Duration> hold = rank.service_time.Mean(now);
  if (rank.in_flight > 0) {
    const double mean_start =
        rank.admitted_at_sum / static_cast<double>(rank.in_flight);
    const Duration age = FromSeconds(SecondsOf(now) - mean_start);
    hold = std::max(hold.value_or(Duration{}), age);
  }
  return hold;
}

/// Slot-seconds that a request of the rank is expected to use.
double CreditUnit(const RankState& rank, TimePoint now) {
  return ToSeconds(rank.service_time.Mean(now).value_or(kUnknownServiceTime));
}

double Fraction(double value) {
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
  return Offer({.request = request,
                .rank_priority = rank_priority,
                .deadline = deadline},
               now);
}

OfferResult AdmissionQueue::Offer(const WorkRequest& work, TimePoint now) {
  Advance(now);
  if (m_draining) {
    return Refused{.reason = RefusalReason::kDraining};
  }
  if (work.deadline <= now) {
    return Refused{.reason = RefusalReason::kDeadline};
  }
  bool runs_now = false;
  std::optional<RefusalReason> refusal = RefusalReason::kDeadline;
  if (work.is_call) {
    refusal = Enqueue(work, kCallBand, work.deadline, now, runs_now);
  } else {
    const TimePoint first =
        std::min(work.target.value_or(work.deadline), work.deadline);
    refusal = Enqueue(work, work.rank_priority, first, now, runs_now);
    if (refusal && first < work.deadline) {
      refusal = Enqueue(work, kFirstLateBand + work.rank_priority,
                        work.deadline, now, runs_now);
    }
  }
  if (refusal) {
    return Refused{.reason = *refusal};
  }
  return runs_now ? OfferResult(Admitted{}) : OfferResult(Queued{});
}

std::optional<RefusalReason> AdmissionQueue::Enqueue(const WorkRequest& work,
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
      .request = work.request};
  const bool is_first = rank.queue.empty() || key < *rank.queue.begin();
  const bool may_run = IsEntitled(rank) || MayBorrow(rank, now);
  runs_now = FreeSlots() > 0 && is_first && may_run;
  if (!runs_now && rank.queue.size() >= QueueBound()) {
    return RefusalReason::kQueueFull;
  }
  if (!runs_now && WouldBeLate(band, rank, key, deadline, work.kind, now)) {
    return RefusalReason::kDeadline;
  }
  m_entries[work.request] = {.priority = band,
                             .key = key,
                             .deadline = deadline,
                             .last_deadline = work.deadline,
                             .kind = work.kind};
  if (runs_now) {
    Admit(rank, work.request, now);
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
  const bool may_wait = entry.priority >= 0 &&
                        entry.priority < kFirstLateBand &&
                        entry.deadline < entry.last_deadline;
  if (!may_wait) {
    return RefusalReason::kDeadline;
  }
  const Band band = kFirstLateBand + entry.priority;
  RankState& rank = m_ranks[band];
  const QueueKey key{.urgency = entry.last_deadline,
                     .arrival = entry.key.arrival,
                     .request = request};
  if (WouldBeLate(band, rank, key, entry.last_deadline, entry.kind, now)) {
    return RefusalReason::kDeadline;
  }
  m_entries[request] = entry;
  m_entries[request].priority = band;
  m_entries[request].key = key;
  m_entries[request].deadline = entry.last_deadline;
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
  const Band priority = found->second.priority;
  const std::uint64_t kind = found->second.kind;
  const std::size_t in_flight = m_in_flight;
  RemoveInFlight(request);
  switch (outcome.end) {
    case AttemptEnd::kAnswered:
    case AttemptEnd::kTimedOut:
      m_ranks[priority].service_time.Record(outcome.latency, now);
      if (kind != 0) {
        m_kind_times[kind].Record(outcome.latency, now);
      }
      m_limit.OnLatency(static_cast<std::uint8_t>(priority), outcome.latency,
                        in_flight, now);
      break;
    case AttemptEnd::kShed:
      m_limit.OnShed(in_flight, now);
      break;
    case AttemptEnd::kFailed:
      break;
  }
  AdmissionChanges changes;
  Dispatch(now, changes);
  return changes;
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
    m_ranks[found->second.priority].queue.erase(found->second.key);
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
  for (const auto& [priority, rank] : m_ranks) {
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
  for (auto& [priority, rank] : m_ranks) {
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
  for (auto& [priority, rank] : m_ranks) {
    rank.service_time = ServiceTimeEstimate();
  }
  m_kind_times.clear();
}

void AdmissionQueue::SetAnnouncedSlots(std::uint32_t announced_slots) {
  m_options.announced_slots = announced_slots;
  m_limit.SetAnnouncedSlots(announced_slots);
}

void AdmissionQueue::SetRanks(const std::vector<RankShare>& ranks) {
  for (auto& [priority, rank] : m_ranks) {
    rank.share = 0;
  }
  for (const RankShare& declared : ranks) {
    m_ranks[declared.priority].share += declared.share_percent / kPercent;
  }
  for (auto it = m_ranks.begin(); it != m_ranks.end(); ++it) {
    it->second.share *= it == m_ranks.begin() ? 1 : kShareMargin;
  }
}

AdmissionLoad AdmissionQueue::load() const {
  return {.in_flight = m_in_flight,
          .queued = m_queued,
          .limit = static_cast<std::size_t>(m_limit.value())};
}

void AdmissionQueue::Advance(TimePoint now) {
  const double elapsed = m_has_advanced ? ToSeconds(now - m_advanced_to) : 0.0;
  m_has_advanced = true;
  m_advanced_to = now;
  if (elapsed <= 0) {
    return;
  }
  for (auto& [priority, rank] : m_ranks) {
    const bool contended = m_queued > rank.queue.size();
    AdvanceRank(rank, elapsed, contended);
  }
}

void AdmissionQueue::AdvanceRank(RankState& rank,
                                 double elapsed,
                                 bool contended) {
  const double wanted = static_cast<double>(rank.in_flight + rank.queue.size());
  rank.demand +=
      (wanted - rank.demand) * -std::expm1(-elapsed / kDemandSeconds);

  const double guarantee = Guarantee(rank);
  const auto held = static_cast<double>(rank.in_flight);
  const bool pays = held > std::floor(guarantee);
  if (pays && contended) {
    rank.credit -= (1 - Fraction(guarantee)) * elapsed;
  } else if (!pays && !rank.queue.empty()) {
    rank.credit += (guarantee - held) * elapsed;
  }
  const double unit = CreditUnit(rank, m_advanced_to);
  rank.credit = std::clamp(rank.credit, -unit, std::max(unit, kMostOwed));
}

void AdmissionQueue::Dispatch(TimePoint now, AdmissionChanges& changes) {
  RefuseLate(now, changes);
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

void AdmissionQueue::RefuseLate(TimePoint now, AdmissionChanges& changes) {
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
  rank.admitted_at_sum += SecondsOf(now);
  ++rank.in_flight;
  ++m_in_flight;
}

void AdmissionQueue::RemoveInFlight(RequestId request) {
  const auto found = m_entries.find(request);
  RankState& rank = m_ranks[found->second.priority];
  rank.admitted_at_sum -= SecondsOf(found->second.admitted_at);
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
  const auto entitled = PickEntitled();
  if (entitled != m_ranks.end()) {
    return entitled;
  }
  return std::find_if(
      m_ranks.begin(), m_ranks.end(), [this, now](const auto& item) {
        return !item.second.queue.empty() && MayBorrow(item.second, now);
      });
}

AdmissionQueue::RankMap::iterator AdmissionQueue::PickEntitled() {
  auto picked = m_ranks.end();
  double least_filled = 0;
  for (auto it = m_ranks.begin(); it != m_ranks.end(); ++it) {
    const RankState& rank = it->second;
    if (rank.queue.empty() || !IsEntitled(rank)) {
      continue;
    }
    const double filled = FilledPart(it->first, rank);
    if (picked == m_ranks.end() || filled < least_filled) {
      picked = it;
      least_filled = filled;
    }
  }
  return picked;
}

double AdmissionQueue::FilledPart(Band priority, const RankState& rank) const {
  // The most urgent rank does not use credit to take precedence over others.
  const bool repaid = priority != m_ranks.begin()->first && HasPaid(rank);
  const auto held = static_cast<double>(rank.in_flight);
  return (repaid ? held - 1 : held) / Guarantee(rank);
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

bool AdmissionQueue::IsEntitled(const RankState& rank) const {
  if (!m_options.order_by_rank || !m_options.guarantee_shares) {
    return false;
  }
  const double guarantee = Guarantee(rank);
  const double whole = std::floor(guarantee);
  const auto held = static_cast<double>(rank.in_flight);
  if (held < whole) {
    return true;
  }
  return held < whole + 1 && HasPaid(rank);
}

bool AdmissionQueue::HasPaid(const RankState& rank) const {
  const double price =
      (1 - Fraction(Guarantee(rank))) * CreditUnit(rank, m_advanced_to);
  return rank.credit >= price;
}

bool AdmissionQueue::MayBorrow(const RankState& rank, TimePoint now) const {
  if (!m_options.order_by_rank || !m_options.reserve_slots) {
    return true;
  }
  if (!HoldsSlotsForLong(rank, now)) {
    return true;
  }
  double reserved = 0;
  for (const auto& [priority, other] : m_ranks) {
    if (&other != &rank) {
      reserved += ReserveFor(priority, other);
    }
  }
  const double left = m_limit.value() - static_cast<double>(m_in_flight) - 1;
  return left >= std::floor(reserved);
}

bool AdmissionQueue::HoldsSlotsForLong(const RankState& rank,
                                       TimePoint now) const {
  // The age of a request that has just started does not tell how long it will
  // hold its slot, so a rank without measurements counts as long-running.
  if (!rank.service_time.Mean(now).has_value()) {
    return true;
  }
  return *HoldTime(rank, now) > m_options.max_lent_hold;
}

double AdmissionQueue::ReserveFor(Band priority, const RankState& rank) const {
  if (rank.demand < kLeastDemand) {
    return 0;
  }
  const bool most_urgent = priority == m_ranks.begin()->first;
  const double wanted =
      most_urgent ? std::max(rank.demand + kUrgentMargin, 1.0) : rank.demand;
  const double needed = std::min(wanted, Guarantee(rank));
  return std::max(needed - static_cast<double>(rank.in_flight), 0.0);
}

double AdmissionQueue::Guarantee(const RankState& rank) const {
  return rank.share * m_limit.value();
}

double AdmissionQueue::UsableSlots(Band priority) const {
  double usable = m_limit.value();
  for (const auto& [other_priority, other] : m_ranks) {
    const auto wanted =
        static_cast<double>(other.in_flight + other.queue.size());
    if (other_priority < priority) {
      usable -= wanted;
    } else if (other_priority > priority) {
      usable -= std::min(wanted, Guarantee(other));
    }
  }
  return usable;
}

std::size_t AdmissionQueue::FreeSlots() const {
  const auto limit = static_cast<std::size_t>(m_limit.value());
  return limit > m_in_flight ? limit - m_in_flight : 0;
}

std::size_t AdmissionQueue::QueueBound() const {
  return m_options.max_queued_per_slot *
         std::max<std::size_t>(m_options.announced_slots, 1);
}

std::optional<Duration> AdmissionQueue::MeanTime(const RankState& rank,
                                                 std::uint64_t kind,
                                                 TimePoint now) const {
  const auto found = m_kind_times.find(kind);
  if (found != m_kind_times.end() && found->second.Mean(now)) {
    return found->second.Mean(now);
  }
  return rank.service_time.Mean(now);
}

Duration AdmissionQueue::LikelyTime(const RankState& rank,
                                    std::uint64_t kind,
                                    TimePoint now) const {
  const auto found = m_kind_times.find(kind);
  if (found != m_kind_times.end() && found->second.Likely(now)) {
    return *found->second.Likely(now);
  }
  return rank.service_time.Likely(now).value_or(Duration{});
}

bool AdmissionQueue::WouldBeLate(Band priority,
                                 const RankState& rank,
                                 const QueueKey& key,
                                 TimePoint deadline,
                                 std::uint64_t kind,
                                 TimePoint now) const {
  const std::optional<Duration> mean = MeanTime(rank, kind, now);
  if (!m_options.refuse_late || !mean.has_value()) {
    return false;
  }
  const auto ahead = static_cast<double>(
      std::distance(rank.queue.begin(), rank.queue.lower_bound(key)));
  const double slots =
      std::max({UsableSlots(priority), Guarantee(rank), kLeastUsableSlots});
  const Duration rank_mean = rank.service_time.Mean(now).value_or(*mean);
  const Duration wait = FromSeconds((ahead + 1) * ToSeconds(rank_mean) / slots);
  return deadline < now + wait + LikelyTime(rank, kind, now);
}

TimePoint AdmissionQueue::LatestStart(const RankState& rank,
                                      const AdmissionEntry& entry,
                                      TimePoint now) const {
  if (!m_options.refuse_late) {
    return entry.deadline;
  }
  return entry.deadline - LikelyTime(rank, entry.kind, now);
}

}  // namespace banyantrail
