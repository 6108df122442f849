#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>

#include "banyantrail/core/clock.h"
#include "banyantrail/wire/rollout_messages.h"

namespace banyantrail {

/// Sequential test of a new version of a service against the other versions.
///
/// For each route, and for failures and slow responses separately, a cumulative
/// sum of log likelihood ratios compares "as good as the others" with "clearly
/// worse". The sum never falls below 0, so that a version that becomes bad late
/// is found as fast as one that is bad from the start. What counts as usual is
/// taken from the responses of the other versions over the same time, so that a
/// fault that all versions share is no evidence.
class VersionEvidence {
 public:
  struct Options {
    /// Value of the sum from which the new version is considered bad. A good
    /// one reaches it about once in exp(limit) responses.
    double limit = 10;
    /// Weight of earlier responses of the other versions relative to those of
    /// the current window, per window with such responses.
    double memory = 0.7;
  };

  VersionEvidence() : VersionEvidence(Options{}) {}
  explicit VersionEvidence(Options options) : m_options(options) {}

  /// Counts responses of the class with this number, see ResponseClass, in the
  /// current window.
  void Add(std::uint32_t number, std::uint32_t count);

  /// Ends a window: compares the versions over it.
  void EndWindow();

  /// The greatest sum, relative to the limit: at least 1 if the new version is
  /// bad.
  double score() const { return m_worst / m_options.limit; }
  bool is_bad() const { return score() >= 1; }

  /// What the greatest sum is about: "failures" or "latency".
  std::string_view worst_kind() const { return m_worst_kind; }

  /// All responses of the new version, and of the others, so far.
  std::uint64_t target_responses() const { return m_target_responses; }
  std::uint64_t other_responses() const { return m_other_responses; }

 private:
  using Latencies = std::array<double, ResponseClass::kLatencyClasses>;

  /// Responses of one version on one route.
  struct Sample {
    double failures = 0;
    double responses = 0;
    /// Of those that did not fail.
    Latencies latencies{};
  };

  struct Route {
    Sample target;
    Sample others;
    /// The others before the current window, with decaying weight.
    Sample others_before;
    double failure_sum = 0;
    double latency_sum = 0;
  };

  static double FailureRatio(const Route& route);
  static double LatencyRatio(const Route& route);
  void Remember(Route& route) const;
  void Judge(double sum, std::string_view kind);

  Options m_options;
  std::map<std::uint16_t, Route> m_routes;
  /// The sum of the failures of all routes: finds a low failure rate that is
  /// spread over many routes.
  double m_failure_sum = 0;
  double m_worst = 0;
  std::string_view m_worst_kind = "failures";
  std::uint64_t m_target_responses = 0;
  std::uint64_t m_other_responses = 0;
};

}  // namespace banyantrail
