#include "banyantrail/traffic/choose_endpoint.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <iterator>
#include <span>

namespace banyantrail {
namespace {

constexpr std::size_t kTierCount = 3;

/// Draws from a tier before all of its endpoints are examined.
constexpr std::size_t kMaxDraws = 8;

using Candidates = std::vector<const ServiceEndpoint*>;

/// Consecutive endpoints at the same distance.
using Tier = std::span<const ServiceEndpoint>;

/// An endpoint, and its utilisation and the expected duration of the response
/// if it got the request.
struct Choice {
  const ServiceEndpoint* endpoint = nullptr;
  double utilisation = 0;
  /// In seconds; empty if unknown.
  std::optional<double> expected_seconds;
};

/// 0 for the local failure domain, 1 for the local region, 2 for the rest.
std::size_t TierOf(const ServiceEndpoint& endpoint,
                   const ChoiceOptions& options) {
  return ProximityOf(endpoint, options.domain, options.region);
}

std::array<Tier, kTierCount> SplitIntoTiers(
    const std::vector<ServiceEndpoint>& endpoints,
    const ChoiceOptions& options) {
  std::array<Tier, kTierCount> tiers;
  auto begin = endpoints.begin();
  for (std::size_t tier = 0; tier < kTierCount; ++tier) {
    const auto end = std::partition_point(
        begin, endpoints.end(), [&](const ServiceEndpoint& endpoint) {
          return TierOf(endpoint, options) <= tier;
        });
    tiers[tier] = Tier(begin, end);
    begin = end;
  }
  return tiers;
}

/// The failure rate that the better third of the endpoints does not exceed.
/// Failures that have the same cause at all endpoints, such as a nested service
/// that is overloaded, show in it.
double CommonFailureShare(const std::vector<ServiceEndpoint>& endpoints,
                          const LoadTable& loads,
                          TimePoint now) {
  constexpr std::size_t kBetterPart = 3;
  std::vector<double> shares;
  shares.reserve(endpoints.size());
  for (const ServiceEndpoint& endpoint : endpoints) {
    shares.push_back(loads.FailureShare(endpoint, now));
  }
  const auto nth =
      shares.begin() + static_cast<std::ptrdiff_t>(shares.size() / kBetterPart);
  std::ranges::nth_element(shares, nth);
  return nth == shares.end() ? 0 : *nth;
}

/// The ejected endpoints that are unreachable or fail more often than the
/// others. If they exceed the allowed share of all endpoints, only those with
/// the highest failure rates.
Candidates EffectiveEjections(const std::vector<ServiceEndpoint>& endpoints,
                              const LoadTable& loads,
                              const ChoiceOptions& options,
                              TimePoint now) {
  constexpr double kExcessFailureShare = 0.1;
  const double tolerated =
      CommonFailureShare(endpoints, loads, now) + kExcessFailureShare;
  Candidates ejected;
  for (const ServiceEndpoint& endpoint : endpoints) {
    const bool is_outlier = loads.IsUnreachable(endpoint) ||
                            loads.FailureShare(endpoint, now) > tolerated;
    if (is_outlier && loads.IsEjected(endpoint, now)) {
      ejected.push_back(&endpoint);
    }
  }
  const auto allowed = static_cast<std::size_t>(
      options.max_ejected_share * static_cast<double>(endpoints.size()));
  if (ejected.size() > allowed) {
    std::ranges::stable_sort(ejected, std::ranges::greater{},
                             [&](const auto* endpoint) {
                               return loads.FailureShare(*endpoint, now);
                             });
    ejected.resize(allowed);
  }
  return ejected;
}

/// Decides which endpoints are candidates for one request.
class CandidateFilter {
 public:
  CandidateFilter(const std::vector<ServiceEndpoint>& endpoints,
                  const LoadTable& loads,
                  const ChoiceOptions& options,
                  const ChoiceRequest& request,
                  TimePoint now)
      : m_endpoints(endpoints),
        m_loads(loads),
        m_options(options),
        m_request(request),
        m_now(now) {}

  bool IsExcluded(const ServiceEndpoint& endpoint) const {
    const bool was_tried = std::ranges::any_of(
        m_request.excluded, [&endpoint](const EndpointKey& key) {
          return key.owner == endpoint.owner && key.id == endpoint.id;
        });
    return was_tried ||
           (m_request.is_excluded && m_request.is_excluded(endpoint));
  }

  bool IsOutlier(const ServiceEndpoint& endpoint) {
    if (!m_loads.IsEjected(endpoint, m_now)) {
      return false;
    }
    if (!m_ejected) {
      m_ejected = EffectiveEjections(m_endpoints, m_loads, m_options, m_now);
    }
    return std::ranges::find(*m_ejected, &endpoint) != m_ejected->end();
  }

  bool IsCandidate(const ServiceEndpoint& endpoint, bool outliers) {
    return IsOutlier(endpoint) == outliers && !IsExcluded(endpoint);
  }

 private:
  const std::vector<ServiceEndpoint>& m_endpoints;
  const LoadTable& m_loads;
  const ChoiceOptions& m_options;
  const ChoiceRequest& m_request;
  TimePoint m_now;
  /// Determined when the first ejected endpoint is met.
  std::optional<Candidates> m_ejected;
};

/// Up to two different random candidates of the tier.
Candidates DrawTwo(Tier tier,
                   CandidateFilter& filter,
                   bool outliers,
                   Rng& rng) {
  Candidates drawn;
  for (std::size_t i = 0; i < kMaxDraws && tier.size() > kMaxDraws; ++i) {
    const ServiceEndpoint& endpoint = tier[UniformIndex(rng, tier.size())];
    const bool is_new = drawn.empty() || drawn.front() != &endpoint;
    if (is_new && filter.IsCandidate(endpoint, outliers)) {
      drawn.push_back(&endpoint);
    }
    if (drawn.size() == 2) {
      return drawn;
    }
  }
  Candidates all;
  for (const ServiceEndpoint& endpoint : tier) {
    if (filter.IsCandidate(endpoint, outliers)) {
      all.push_back(&endpoint);
    }
  }
  drawn.clear();
  std::sample(all.begin(), all.end(), std::back_inserter(drawn), 2, rng);
  // The sample keeps their order, which would decide between equal candidates.
  std::ranges::shuffle(drawn, rng);
  return drawn;
}

/// Latency of `left` relative to `right`; 1 if either is unknown.
double LatencyRatio(const ServiceEndpoint& left,
                    const ServiceEndpoint& right,
                    const LoadTable& loads,
                    TimePoint now) {
  const auto left_latency = loads.Latency(left, now);
  const auto right_latency = loads.Latency(right, now);
  if (!left_latency || !right_latency) {
    return 1;
  }
  return std::chrono::duration<double>(*left_latency) /
         std::chrono::duration<double>(*right_latency);
}

/// A request that finds every slot taken waits for about as long as the
/// requests ahead of it take.
Choice ChoiceOf(const ServiceEndpoint& endpoint,
                const LoadTable& loads,
                const ChoiceRequest& request,
                TimePoint now) {
  Choice choice{.endpoint = &endpoint,
                .utilisation = loads.UtilisationWithOneMore(endpoint, now)};
  std::optional<Duration> service_time =
      loads.ServiceTime(endpoint, request.kind, now);
  if (!service_time) {
    service_time = request.expected_duration;
  }
  if (service_time) {
    choice.expected_seconds =
        std::max(1.0, choice.utilisation) *
        std::chrono::duration<double>(*service_time).count();
  }
  return choice;
}

/// The better of one or two candidates.
Choice BetterOf(const Candidates& candidates,
                const LoadTable& loads,
                const ChoiceOptions& options,
                const ChoiceRequest& request,
                TimePoint now) {
  const Choice left = ChoiceOf(*candidates[0], loads, request, now);
  if (candidates.size() == 1 || options.method == ChoiceMethod::kRandom) {
    return left;
  }
  const Choice right = ChoiceOf(*candidates[1], loads, request, now);
  const double ratio =
      options.method == ChoiceMethod::kTwoChoices
          ? LatencyRatio(*left.endpoint, *right.endpoint, loads, now)
          : 1;
  return left.utilisation * ratio <= right.utilisation ? left : right;
}

/// Whether the response can be expected in time from the chosen endpoint.
bool IsExpectedInTime(const Choice& choice,
                      const ChoiceOptions& options,
                      const ChoiceRequest& request) {
  const std::chrono::duration<double> time_left = *request.time_left;
  return *choice.expected_seconds <=
         options.spill_time_fraction * time_left.count();
}

/// Whether a request stays with the chosen endpoint although there are others
/// farther away.
bool IsGoodEnough(const Choice& choice,
                  const ChoiceOptions& options,
                  const ChoiceRequest& request) {
  if (request.time_left && choice.expected_seconds) {
    return IsExpectedInTime(choice, options, request);
  }
  return choice.utilisation <= options.spill_utilisation;
}

/// Whether an endpoint farther away is worth the transfer.
bool IsBetter(const Choice& farther,
              const Choice& closer,
              const ChoiceOptions& options,
              const ChoiceRequest& request) {
  if (request.time_left && farther.expected_seconds &&
      closer.expected_seconds) {
    return *farther.expected_seconds < *closer.expected_seconds &&
           IsExpectedInTime(farther, options, request);
  }
  return farther.utilisation < closer.utilisation;
}

}  // namespace

const ServiceEndpoint* ChooseEndpoint(
    const std::vector<ServiceEndpoint>& endpoints,
    const LoadTable& loads,
    const ChoiceOptions& options,
    TimePoint now,
    Rng& rng,
    const ChoiceRequest& request) {
  CandidateFilter filter(endpoints, loads, options, request, now);
  const bool may_spill = request.body_bytes <= options.max_spill_bytes;
  const std::array<Tier, kTierCount> tiers = SplitIntoTiers(endpoints, options);
  for (const bool outliers : {false, true}) {
    Choice best;
    for (const Tier tier : tiers) {
      const Candidates candidates = DrawTwo(tier, filter, outliers, rng);
      if (candidates.empty()) {
        continue;
      }
      const Choice choice = BetterOf(candidates, loads, options, request, now);
      if (best.endpoint == nullptr ||
          IsBetter(choice, best, options, request)) {
        best = choice;
      }
      if (!may_spill || IsGoodEnough(best, options, request)) {
        break;
      }
    }
    if (best.endpoint != nullptr) {
      return best.endpoint;
    }
  }
  return nullptr;
}

bool MayTryAnotherEndpoint(const std::vector<ServiceEndpoint>& endpoints,
                           const ChoiceOptions& options,
                           const ChoiceRequest& request) {
  const bool may_leave_domain =
      request.body_bytes <= options.max_cross_domain_bytes;
  return std::ranges::any_of(endpoints, [&](const ServiceEndpoint& endpoint) {
    const bool is_excluded =
        std::ranges::find(request.excluded, KeyOf(endpoint)) !=
        request.excluded.end();
    return !is_excluded &&
           (may_leave_domain || endpoint.domain == options.domain);
  });
}

}  // namespace banyantrail
