#pragma once

#include <cstdint>
#include <functional>
#include <vector>

#include "banyantrail/core/clock.h"
#include "banyantrail/traffic/quota_share.h"

namespace banyantrail::testing {

/// Requests per second at a node at a time.
using LoadPattern = std::function<double(std::size_t node, Duration time)>;

/// A load of one team on a fleet, in steps of one millisecond.
struct AlternativeRun {
  std::size_t nodes = 71;
  QuotaLimit limit;
  LoadPattern load;
  Duration duration = seconds(30);
  /// The store does not respond within this time; empty if both are equal.
  Duration outage_start{};
  Duration outage_end{};
};

struct AlternativeOutcome {
  double refused_share = 0;
  std::size_t max_in_window = 0;
  double messages_per_s = 0;
  double store_calls_per_s = 0;
};

/// Each node has a part of the limit in proportion to its recent demand, which
/// all nodes learn by gossip once a second, half a second later.
AlternativeOutcome RunGossipedAllowances(const AlternativeRun& run);

/// The store keeps the team's bucket. A node that runs short leases a portion
/// for its demand of 200 ms by a conditional update.
AlternativeOutcome RunStorePortions(const AlternativeRun& run);

}  // namespace banyantrail::testing
