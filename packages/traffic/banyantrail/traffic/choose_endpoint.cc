#include "banyantrail/traffic/choose_endpoint.h"

#include <algorithm>
#include <array>
#include <cmath>

namespace banyantrail {
namespace {

constexpr std::size_t kTierCount = 3;

using Candidates = std::vector<const ServiceEndpoint*>;

/// An endpoint and its utilisation if it got the request.
struct Choice {
  const ServiceEndpoint* endpoint = nullptr;
  double utilisation = 0;
};

/// 0 for the local failure domain, 1 for the local region, 2 for the rest.
std::size_t TierOf(const ServiceEndpoint& endpoint,
                   const ChoiceOptions& options) {
  if (endpoint.domain == options.domain) {
    return 0;
  }
  return endpoint.region == options.region ? 1 : 2;
}

/// The ejected endpoints. If they exceed the allowed share of all endpoints,
/// only those with the highest failure rates.
Candidates EffectiveEjections(const std::vector<ServiceEndpoint>& endpoints,
                              const LoadTable& loads,
                              const ChoiceOptions& options,
                              TimePoint now) {
  Candidates ejected;
  for (const ServiceEndpoint& endpoint : endpoints) {
    if (loads.IsEjected(endpoint, now)) {
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

Choice BetterOfTwo(const Candidates& candidates,
                   const LoadTable& loads,
                   const ChoiceOptions& options,
                   TimePoint now,
                   Rng& rng) {
  const auto choice_of = [&](std::size_t index) {
    return Choice{candidates[index],
                  loads.UtilisationWithOneMore(*candidates[index], now)};
  };
  const std::size_t first = UniformIndex(rng, candidates.size());
  const Choice left = choice_of(first);
  if (candidates.size() == 1 || options.method == ChoiceMethod::kRandom) {
    return left;
  }
  std::size_t second = UniformIndex(rng, candidates.size() - 1);
  second += second >= first ? 1 : 0;
  const Choice right = choice_of(second);
  const double ratio =
      options.method == ChoiceMethod::kTwoChoices
          ? LatencyRatio(*left.endpoint, *right.endpoint, loads, now)
          : 1;
  return left.utilisation * ratio <= right.utilisation ? left : right;
}

Choice ChooseByTier(const std::array<Candidates, kTierCount>& tiers,
                    const LoadTable& loads,
                    const ChoiceOptions& options,
                    TimePoint now,
                    Rng& rng,
                    const ChoiceRequest& request) {
  const bool may_spill = request.body_bytes <= options.max_spill_bytes;
  Choice best;
  for (const Candidates& tier : tiers) {
    if (tier.empty()) {
      continue;
    }
    const Choice choice = BetterOfTwo(tier, loads, options, now, rng);
    if (best.endpoint == nullptr || choice.utilisation < best.utilisation) {
      best = choice;
    }
    if (!may_spill || best.utilisation <= options.spill_utilisation) {
      break;
    }
  }
  return best;
}

}  // namespace

const ServiceEndpoint* ChooseEndpoint(
    const std::vector<ServiceEndpoint>& endpoints,
    const LoadTable& loads,
    const ChoiceOptions& options,
    TimePoint now,
    Rng& rng,
    const ChoiceRequest& request) {
  const Candidates ejected = EffectiveEjections(endpoints, loads, options, now);
  std::array<Candidates, kTierCount> usable;
  std::array<Candidates, kTierCount> outliers;
  for (const ServiceEndpoint& endpoint : endpoints) {
    const bool is_excluded =
        std::ranges::find(request.excluded, KeyOf(endpoint)) !=
        request.excluded.end();
    if (is_excluded) {
      continue;
    }
    const bool is_outlier =
        std::ranges::find(ejected, &endpoint) != ejected.end();
    (is_outlier ? outliers : usable)[TierOf(endpoint, options)].push_back(
        &endpoint);
  }
  const Choice choice = ChooseByTier(usable, loads, options, now, rng, request);
  if (choice.endpoint != nullptr) {
    return choice.endpoint;
  }
  return ChooseByTier(outliers, loads, options, now, rng, request).endpoint;
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
