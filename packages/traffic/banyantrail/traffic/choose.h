#pragma once

#include <cstdint>
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
  /// Requests with larger bodies leave the own domain only when none of its
  /// endpoints is usable, or each of them has refused the request: moving them
  /// between domains costs more than a wait.
  std::uint64_t max_spill_bytes = 16U << 10U;
  /// Requests with larger bodies than this stay with their domain when its
  /// endpoints have no room.
  std::uint64_t max_moved_bytes = 128U << 10U;
  /// At most this share of a service's endpoints is held back as outliers.
  double max_ejected_share = 0.34;
  ChoiceMethod method = ChoiceMethod::kTwoChoices;
};

/// What matters of a request for the choice of its endpoint.
struct ChoiceRequest {
  /// Size of its body.
  std::uint64_t body_bytes = 0;
  /// Endpoints that a retry already tried.
  std::vector<EndpointKey> excluded;
};

/// Chooses an endpoint for a request: the own failure domain first, then other
/// domains of the own region, then other regions. Outliers are passed over, and
/// the excluded ones always. Returns null when every endpoint is excluded.
const ServiceEndpoint* Choose(const std::vector<ServiceEndpoint>& endpoints,
                              const LoadTable& loads,
                              const ChoiceOptions& options,
                              TimePoint now,
                              Rng& rng,
                              const ChoiceRequest& request = {});

/// Whether a request that the excluded endpoints had no room for may be offered
/// to another one. One that is too large to be moved between domains may not
/// once the endpoints of its own are all excluded.
bool MayTryAnother(const std::vector<ServiceEndpoint>& endpoints,
                   const ChoiceOptions& options,
                   const ChoiceRequest& request);

}  // namespace banyantrail
