#pragma once

#include <cstdint>

#include "banyantrail/core/clock.h"
#include "banyantrail/traffic/quota_share.h"

namespace banyantrail {

/// A token bucket that starts empty. A full one would let each restart of its
/// node exceed the limit by the burst.
class QuotaBucket {
 public:
  /// The bucket refills from `start` on.
  explicit QuotaBucket(TimePoint start) : m_refilled_at(start) {}

  /// Changes rate and capacity. Tokens above the new capacity are dropped.
  void SetShare(const QuotaShare& share, TimePoint now);

  /// Takes up to `max` whole tokens and returns their number.
  std::uint32_t Take(std::uint32_t max, TimePoint now);

  /// Time until the bucket would have received `tokens` tokens, if none were
  /// taken; at most one hour.
  Duration TimeUntil(double tokens, TimePoint now);

 private:
  void Refill(TimePoint now);

  QuotaShare m_share;
  double m_tokens = 0;
  TimePoint m_refilled_at;
};

}  // namespace banyantrail
