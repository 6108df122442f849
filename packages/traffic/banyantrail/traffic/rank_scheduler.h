#pragma once

#include <cstddef>

#include "banyantrail/core/clock.h"
#include "banyantrail/traffic/admission_types.h"
#include "banyantrail/traffic/rank_state.h"

namespace banyantrail::detail {

/// Decides which rank gets the next free slot of a backend server, and which
/// slots a rank can count on. A view of the state of an AdmissionQueue at one
/// moment.
class RankScheduler {
 public:
  /// `limit` is the concurrency limit, `in_flight` the requests of all ranks
  /// that hold a slot. The references must outlive the scheduler.
  RankScheduler(const AdmissionOptions& options,
                RankMap& ranks,
                double limit,
                std::size_t in_flight,
                TimePoint now)
      : m_options(options),
        m_ranks(ranks),
        m_limit(limit),
        m_in_flight(in_flight),
        m_now(now) {}

  /// The rank that gets the next free slot, or the end iterator if none may.
  RankMap::iterator Pick();

  /// Whether a request of the rank may take a free slot.
  bool MayRun(const RankState& rank) const {
    return IsBelowGuarantee(rank) || MayBorrow(rank);
  }

  /// Slots that the rank is guaranteed.
  double Guarantee(const RankState& rank) const;

  /// The slots that the band can count on while it waits. More urgent bands
  /// keep the share that they had lately, not every slot that they hold at this
  /// moment: those become free before a waiting request is late.
  double UsableSlots(Band band) const;

  /// Time that the queued requests of more urgent bands occupy all slots.
  Duration WaitForMoreUrgentBands(Band band) const;

  /// Updates the averages and the credit of a rank after a period in which
  /// nothing changed. `contended`: requests of other ranks waited.
  void AdvanceRank(RankState& rank, double elapsed_seconds, bool contended);

 private:
  /// The rank below its guarantee that uses the smallest part of it; the most
  /// urgent one among equals.
  RankMap::iterator PickBelowGuarantee();
  double UsedShareOfGuarantee(Band band, const RankState& rank) const;
  RankMap::iterator PickOldest();
  bool IsBelowGuarantee(const RankState& rank) const;
  /// Whether the rank has enough credit for one slot above the integer part of
  /// its guarantee.
  bool CanAffordExtraSlot(const RankState& rank) const;
  bool MayBorrow(const RankState& rank) const;
  bool IsLongRunning(const RankState& rank) const;
  double ReservedSlots(Band band, const RankState& rank) const;

  const AdmissionOptions& m_options;
  RankMap& m_ranks;
  double m_limit;
  std::size_t m_in_flight;
  TimePoint m_now;
};

}  // namespace banyantrail::detail
