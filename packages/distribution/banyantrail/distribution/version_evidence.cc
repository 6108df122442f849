#include "banyantrail/distribution/version_evidence.h"

#include <algorithm>
#include <cmath>

namespace banyantrail {
namespace {

/// Log likelihood ratio of `hits` among `trials`, of the probabilities `bad`
/// and `usual`.
double LogRatio(double hits, double trials, double usual, double bad) {
  return hits * std::log(bad / usual) +
         (trials - hits) * std::log((1 - bad) / (1 - usual));
}

/// The greater of the rates in the window and before it: while a shared fault
/// begins or ends, one of them lags behind. An estimate from few responses is
/// drawn towards `prior`.
double UsualRate(double hits,
                 double trials,
                 double hits_before,
                 double trials_before,
                 double prior) {
  constexpr double kPriorTrials = 5;
  const double now = (hits + prior * kPriorTrials) / (trials + kPriorTrials);
  const double before =
      (hits_before + prior * kPriorTrials) / (trials_before + kPriorTrials);
  return std::max(now, before);
}

/// Fewer responses of the other versions say too little to compare with.
constexpr double kMinComparison = 8;

/// Probabilities above this leave no room for a worse one.
constexpr double kMaxRate = 0.98;

template <typename Latencies>
double CountFrom(const Latencies& latencies, std::size_t first) {
  double count = 0;
  for (std::size_t i = first; i < latencies.size(); ++i) {
    count += latencies.at(i);
  }
  return count;
}

}  // namespace

void VersionEvidence::Add(std::uint32_t number, std::uint32_t count) {
  const ResponseClass response = ResponseClassOf(number);
  Route& route = m_routes[response.route];
  Sample& sample = response.is_target_version ? route.target : route.others;
  sample.responses += count;
  if (response.failed) {
    sample.failures += count;
  } else {
    sample.latencies.at(response.latency) += count;
  }
  (response.is_target_version ? m_target_responses : m_other_responses) +=
      count;
}

void VersionEvidence::EndWindow() {
  double failure_ratio = 0;
  m_worst = 0;
  for (auto& [id, route] : m_routes) {
    const double failures = FailureRatio(route);
    failure_ratio += failures;
    route.failure_sum = std::max(0.0, route.failure_sum + failures);
    route.latency_sum = std::max(0.0, route.latency_sum + LatencyRatio(route));
    Judge(route.failure_sum, "failures");
    Judge(route.latency_sum, "latency");
    Remember(route);
  }
  m_failure_sum = std::max(0.0, m_failure_sum + failure_ratio);
  Judge(m_failure_sum, "failures");
}

double VersionEvidence::FailureRatio(const Route& route) {
  /// Lowest failure rate that is taken as usual, and the additional failures
  /// that make a version bad.
  constexpr double kMinUsual = 0.01;
  constexpr double kAdditional = 0.15;
  if (route.others.responses + route.others_before.responses < kMinComparison) {
    return 0;
  }
  const double usual =
      std::clamp(UsualRate(route.others.failures, route.others.responses,
                           route.others_before.failures,
                           route.others_before.responses, kMinUsual),
                 kMinUsual, kMaxRate);
  const double bad = usual + kAdditional * (1 - usual);
  return LogRatio(route.target.failures, route.target.responses, usual, bad);
}

/// Compares how many responses take longer than almost all of those of the
/// other versions.
double VersionEvidence::LatencyRatio(const Route& route) {
  /// A response is slow from some classes above the class that holds this
  /// quantile of the others. The margin, a factor of 2 to 2.8, allows for new
  /// servers on VMs of lower speed.
  constexpr double kQuantile = 0.9;
  constexpr std::size_t kMarginClasses = 2;
  constexpr double kMinUsual = 0.06;
  constexpr double kAdditional = 0.3;
  Latencies known{};
  for (std::size_t i = 0; i < known.size(); ++i) {
    known.at(i) =
        route.others.latencies.at(i) + route.others_before.latencies.at(i);
  }
  const double total = CountFrom(known, 0);
  if (total < kMinComparison) {
    return 0;
  }
  std::size_t first_slow = 0;
  while (CountFrom(known, first_slow) > (1 - kQuantile) * total) {
    ++first_slow;
  }
  first_slow += kMarginClasses;
  const double usual = std::clamp(
      UsualRate(CountFrom(route.others.latencies, first_slow),
                CountFrom(route.others.latencies, 0),
                CountFrom(route.others_before.latencies, first_slow),
                CountFrom(route.others_before.latencies, 0), kMinUsual),
      kMinUsual, kMaxRate);
  const double bad = usual + kAdditional * (1 - usual);
  return LogRatio(CountFrom(route.target.latencies, first_slow),
                  CountFrom(route.target.latencies, 0), usual, bad);
}

void VersionEvidence::Remember(Route& route) const {
  route.target = {};
  if (route.others.responses == 0) {
    return;
  }
  const auto combine = [this](double& before, double& current) {
    before = m_options.memory * before + current;
    current = 0;
  };
  combine(route.others_before.failures, route.others.failures);
  combine(route.others_before.responses, route.others.responses);
  for (std::size_t i = 0; i < route.others.latencies.size(); ++i) {
    combine(route.others_before.latencies.at(i), route.others.latencies.at(i));
  }
}

void VersionEvidence::Judge(double sum, std::string_view kind) {
  if (sum > m_worst) {
    m_worst = sum;
    m_worst_kind = kind;
  }
}

}  // namespace banyantrail
