#include "banyantrail/traffic/rank_scheduler.h"

#include <algorithm>
#include <cmath>

namespace banyantrail::detail {
namespace {

/// Maximum credit of a rank, unless one request is expected to need more.
constexpr double kMaxCreditSlotSeconds = 5;
/// Time constant of the average of a rank's demand.
constexpr double kDemandTimeConstantSeconds = 2;
/// No slots are reserved for a rank with a lower demand.
constexpr double kMinDemand = 0.01;
/// Slots reserved for the most urgent rank in addition to its demand.
constexpr double kTopRankReserveMargin = 0.5;

double FractionalPart(double value) {
  return value - std::floor(value);
}

}  // namespace

RankMap::iterator RankScheduler::Pick() {
  if (!m_options.order_by_rank) {
    return PickOldest();
  }
  const auto below_guarantee = PickBelowGuarantee();
  if (below_guarantee != m_ranks.end()) {
    return below_guarantee;
  }
  return std::find_if(m_ranks.begin(), m_ranks.end(), [this](const auto& item) {
    return !item.second.queue.empty() && MayBorrow(item.second);
  });
}

RankMap::iterator RankScheduler::PickBelowGuarantee() {
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

double RankScheduler::UsedShareOfGuarantee(Band band,
                                           const RankState& rank) const {
  // The most urgent rank does not use credit to take precedence over others.
  const bool uses_credit =
      band != m_ranks.begin()->first && CanAffordExtraSlot(rank);
  const auto held = static_cast<double>(rank.in_flight);
  return (uses_credit ? held - 1 : held) / Guarantee(rank);
}

RankMap::iterator RankScheduler::PickOldest() {
  auto oldest = m_ranks.end();
  for (auto it = m_ranks.begin(); it != m_ranks.end(); ++it) {
    const TeamQueue& queue = it->second.queue;
    if (queue.empty()) {
      continue;
    }
    if (oldest == m_ranks.end() ||
        queue.MostUrgent() < oldest->second.queue.MostUrgent()) {
      oldest = it;
    }
  }
  return oldest;
}

bool RankScheduler::IsBelowGuarantee(const RankState& rank) const {
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

bool RankScheduler::CanAffordExtraSlot(const RankState& rank) const {
  const double price =
      (1 - FractionalPart(Guarantee(rank))) * ExpectedSlotSeconds(rank, m_now);
  return rank.credit >= price;
}

bool RankScheduler::MayBorrow(const RankState& rank) const {
  if (!m_options.order_by_rank || !m_options.reserve_slots) {
    return true;
  }
  if (!IsLongRunning(rank)) {
    return true;
  }
  double reserved = 0;
  for (const auto& [band, other] : m_ranks) {
    if (&other != &rank) {
      reserved += ReservedSlots(band, other);
    }
  }
  const double left = m_limit - static_cast<double>(m_in_flight) - 1;
  return left >= std::floor(reserved);
}

bool RankScheduler::IsLongRunning(const RankState& rank) const {
  // The age of a request that has just started does not tell how long it will
  // hold its slot, so a rank without measurements counts as long-running.
  if (!rank.service_time.Mean(m_now).has_value()) {
    return true;
  }
  return *SlotHoldTime(rank, m_now) > m_options.max_borrower_hold_time;
}

double RankScheduler::ReservedSlots(Band band, const RankState& rank) const {
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

double RankScheduler::Guarantee(const RankState& rank) const {
  return rank.share * m_limit;
}

/// The slots that the band can count on while it waits. More urgent bands keep
/// the share that they had lately, not every slot that they hold at this
/// moment: those become free before a waiting request is late.
double RankScheduler::UsableSlots(Band band) const {
  double usable = m_limit;
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
Duration RankScheduler::WaitForMoreUrgentBands(Band band) const {
  double slot_seconds = 0;
  for (const auto& [other_band, other] : m_ranks) {
    if (other_band < band) {
      slot_seconds += static_cast<double>(other.queue.size()) *
                      ExpectedSlotSeconds(other, m_now);
    }
  }
  return FromSeconds(slot_seconds / std::max(m_limit, 1.0));
}

void RankScheduler::AdvanceRank(RankState& rank,
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
  const double unit = ExpectedSlotSeconds(rank, m_now);
  rank.credit =
      std::clamp(rank.credit, -unit, std::max(unit, kMaxCreditSlotSeconds));
}

}  // namespace banyantrail::detail
