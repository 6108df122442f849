#pragma once

#include <cstddef>

#include "banyantrail/core/clock.h"

namespace banyantrail {

/// How many requests of one team may run over all nodes in any window:
/// (requests_per_s x window + burst) x (1 + overage) + slack.
struct QuotaBound {
  Duration window = seconds(5);
  double overage = 0.1;
  double slack = 20;

  friend bool operator==(const QuotaBound&, const QuotaBound&) = default;
};

/// The declared limit of one team over all nodes.
struct QuotaLimit {
  double requests_per_s = 0;
  double burst = 0;

  friend bool operator==(const QuotaLimit&, const QuotaLimit&) = default;
};

/// Sizes of the fleet as one node knows them. Members that failed or cannot be
/// reached count, because they may still serve requests elsewhere; members that
/// announced their departure do not.
struct QuotaFleet {
  std::size_t domains = 1;
  std::size_t nodes = 1;
  /// Nodes of this node's failure domain, and those of them that are reachable.
  std::size_t domain_nodes = 1;
  std::size_t reachable_domain_nodes = 1;

  friend bool operator==(const QuotaFleet&, const QuotaFleet&) = default;
};

/// Rate in tokens per second and capacity in tokens of one bucket.
struct QuotaShare {
  double rate = 0;
  double capacity = 0;

  friend bool operator==(const QuotaShare&, const QuotaShare&) = default;
};

/// Tokens that the bound leaves above the limit in one window.
double QuotaHeadroom(const QuotaLimit& limit, const QuotaBound& bound);

/// The part of the limit that the holder of this node's failure domain lends.
/// The domains have equal parts. Of its domain's part a holder lends the
/// fraction of nodes that it reaches, so that the two sides of a partition
/// within a domain do not lend the part twice.
QuotaShare HolderShare(const QuotaLimit& limit,
                       const QuotaFleet& fleet,
                       const QuotaBound& bound);

/// The fixed part of one node, which it spends without asking. It comes from
/// the headroom, not from the limit: a fixed part of the limit would be lost to
/// a team whose callers use only some nodes.
QuotaShare FixedShare(const QuotaLimit& limit,
                      const QuotaFleet& fleet,
                      const QuotaBound& bound);

}  // namespace banyantrail
