#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <vector>

#include "banyantrail/core/clock.h"
#include "banyantrail/core/ids.h"
#include "banyantrail/core/random.h"
#include "banyantrail/traffic/load_table.h"
#include "banyantrail/traffic/routing_snapshot.h"

namespace banyantrail {

/// Load-balancing algorithm within a failure domain or region.
enum class ChoiceMethod {
  /// Power of two choices: of two random endpoints, the one with the smaller
  /// product of utilisation and latency. A slow backend server thus gets
  /// requests only when the fast ones are loaded.
  kTwoChoices,
  /// Power of two choices by utilisation only; for benchmarks.
  kTwoChoicesByUtilisation,
  /// A random endpoint; for benchmarks.
  kRandom,
};

/// Settings of the choice of an endpoint.
struct ChoiceOptions {
  /// Location of the node that chooses.
  DomainId domain;
  RegionId region;
  /// Requests of unknown duration or target latency spill over to other failure
  /// domains, and then to other regions, if the utilisation of the endpoint
  /// chosen closer by would exceed this.
  double spill_utilisation = 0.8;
  /// Other requests spill over only if their response is expected to take more
  /// than this fraction of the time left close by, and less farther away.
  double spill_time_fraction = 0.5;
  /// Requests with larger bodies leave the local failure domain only if none of
  /// its endpoints is usable or all of them have refused the request: moving
  /// the body between domains costs more than waiting.
  std::uint64_t max_spill_bytes = 16U << 10U;
  /// Requests with larger bodies do not leave the local failure domain even if
  /// all of its endpoints have refused them.
  std::uint64_t max_cross_domain_bytes = 128U << 10U;
  /// Maximum share of a service's endpoints that may be ejected as outliers.
  double max_ejected_share = 0.34;
  ChoiceMethod method = ChoiceMethod::kTwoChoices;
};

/// Properties of a request that affect the choice of its endpoint.
struct ChoiceRequest {
  std::uint64_t body_bytes = 0;
  /// Endpoints that earlier attempts have tried.
  std::vector<EndpointKey> excluded;
  /// Further endpoints that are not to be chosen. Empty for none.
  std::function<bool(const ServiceEndpoint&)> is_excluded;
  /// Time left for the response to be of full use, or until the deadline if
  /// that is out of reach. Empty if unknown.
  std::optional<Duration> time_left;
  /// How long responses on the request's route have taken lately, for endpoints
  /// whose own service time is not known.
  std::optional<Duration> expected_duration;
  /// Kind of the request, see LoadTable::ServiceTime.
  std::uint64_t kind = 0;
};

/// Chooses an endpoint for a request. `endpoints` must be ordered as in a
/// RoutingSnapshot: those of the local failure domain first, then those of
/// other domains in the local region, then those of other regions.
///
/// An endpoint close by is preferred as long as the response is expected in
/// time there, since bytes between domains cost more than a short wait. Ejected
/// outliers are used only if no other endpoint is left, excluded endpoints
/// never. Returns null if all endpoints are excluded.
///
/// The cost does not grow with the number of endpoints unless most of a tier is
/// excluded or ejected.
const ServiceEndpoint* ChooseEndpoint(
    const std::vector<ServiceEndpoint>& endpoints,
    const LoadTable& loads,
    const ChoiceOptions& options,
    TimePoint now,
    Rng& rng,
    const ChoiceRequest& request = {});

/// Whether a request that the excluded endpoints refused may be sent to another
/// one. If its body exceeds `max_cross_domain_bytes`, only endpoints of the
/// local failure domain count.
bool MayTryAnotherEndpoint(const std::vector<ServiceEndpoint>& endpoints,
                           const ChoiceOptions& options,
                           const ChoiceRequest& request);

}  // namespace banyantrail
