#pragma once

#include <vector>

#include "banyantrail/core/clock.h"
#include "banyantrail/core/ids.h"
#include "banyantrail/core/random.h"
#include "banyantrail/traffic/load_table.h"
#include "banyantrail/traffic/routing_snapshot.h"

namespace banyantrail {

/// How one of several backend servers is chosen.
enum class ChoiceMethod {
  /// The one of two random ones where utilisation times latency is less, so
  /// that a slow backend server gets work only when the fast ones are loaded.
  kTwoChoices,
  /// For comparison only: the less utilised of two random ones.
  kTwoChoicesByLoad,
  /// For comparison only.
  kRandom,
};

/// Settings of Choose.
struct ChoiceOptions {
  /// Where the choosing node stands.
  DomainId domain;
  RegionId region;
  /// Requests leave the own domain, and then the own region, when the better of
  /// two there would use more than this share of its capacity.
  double spill_utilisation = 0.8;
  /// At most this share of a service's endpoints is held back as outliers.
  double max_ejected_share = 0.34;
  ChoiceMethod method = ChoiceMethod::kTwoChoices;
};

/// Chooses an endpoint for a request: the own failure domain first, then other
/// domains of the own region, then other regions. Outliers are passed over, and
/// those in `excluded` always, which are the ones a retry already tried.
/// Returns null when every endpoint is excluded.
const ServiceEndpoint* Choose(const std::vector<ServiceEndpoint>& endpoints,
                              const LoadTable& loads,
                              const ChoiceOptions& options,
                              TimePoint now,
                              Rng& rng,
                              const std::vector<EndpointKey>& excluded = {});

}  // namespace banyantrail
