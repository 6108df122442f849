#include "banyantrail/traffic/quota_share.h"

#include <algorithm>

namespace banyantrail {
namespace {

// Uses of the headroom. The rest covers tokens that are spent some time after
// they were lent, the time between the grant of a token and the execution of
// the request, and holders that change.

/// Added to the capacities of the holders' buckets. Half of the slack, because
/// the burst of a team of few requests per second is one or two tokens for each
/// holder.
constexpr double kCapacityOfOverage = 0.2;
constexpr double kCapacityOfSlack = 0.5;
/// Capacities of the nodes' fixed parts.
constexpr double kFixedCapacityPart = 0.1;
/// Rate of the fixed parts: as many tokens in one window.
constexpr double kFixedRatePart = 0.1;

double SecondsOf(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

double Ratio(std::size_t part, std::size_t whole) {
  return static_cast<double>(part) /
         static_cast<double>(std::max<std::size_t>(whole, 1));
}

}  // namespace

double QuotaHeadroom(const QuotaLimit& limit, const QuotaBound& bound) {
  const double window = SecondsOf(bound.window);
  return bound.overage * (limit.requests_per_s * window + limit.burst) +
         bound.slack;
}

QuotaShare HolderShare(const QuotaLimit& limit,
                       const QuotaFleet& fleet,
                       const QuotaBound& bound) {
  const double part = Ratio(fleet.reachable_domain_nodes, fleet.domain_nodes) *
                      Ratio(1, fleet.domains);
  const double overage = QuotaHeadroom(limit, bound) - bound.slack;
  const double capacity = limit.burst + kCapacityOfOverage * overage +
                          kCapacityOfSlack * bound.slack;
  // A bucket of less than one token would never lend.
  return {.rate = part * limit.requests_per_s,
          .capacity = std::max(part * capacity, 1.0)};
}

QuotaShare FixedShare(const QuotaLimit& limit,
                      const QuotaFleet& fleet,
                      const QuotaBound& bound) {
  const double headroom = QuotaHeadroom(limit, bound);
  const double node = Ratio(1, fleet.nodes);
  return {.rate = node * kFixedRatePart * headroom / SecondsOf(bound.window),
          .capacity = node * kFixedCapacityPart * headroom};
}

}  // namespace banyantrail
