#pragma once

#include <optional>

#include "banyantrail/core/clock.h"

namespace banyantrail {

/// The share of recent requests that a backend server failed, weighted by age.
/// Its owner node sees all of them and reports the share, so that each entry
/// node does not have to fail requests of its own to find out.
class FailureShare {
 public:
  /// A request ended.
  void Record(bool failed, TimePoint now);

  /// Empty while there are too few recent requests.
  std::optional<double> Value(TimePoint now) const;

 private:
  static double DecayFactor(Duration age);

  /// Decayed counts as of `m_counted_at`.
  double m_requests = 0;
  double m_failures = 0;
  TimePoint m_counted_at;
};

}  // namespace banyantrail
