#pragma once

#include <cstdint>

#include "banyantrail/traffic/retry_policy.h"

namespace banyantrail::bench {

struct RetryChainOptions {
  RetryPolicyOptions policy;
  std::uint64_t seed = 1;
  std::uint32_t calls = 20'000;
  std::uint32_t depth = 10;
  std::uint32_t servers_per_service = 10;
  /// Of those, how many fail every request.
  std::uint32_t failing_servers = 3;
  /// Part of the failures in which the request ran, with all its nested calls,
  /// before its answer was lost. The rest did not run.
  double ran_before_failure = 0.5;
};

struct RetryChainResult {
  std::uint64_t calls = 0;
  std::uint64_t good = 0;
  /// Attempts sent to backend servers by all layers, and the first ones.
  std::uint64_t sends = 0;
  std::uint64_t first_attempts = 0;

  /// Sends per call, over those of a chain without failures.
  double SendsOverWork(std::uint32_t depth) const;
  double SendsOverFirstAttempts() const;
};

/// Calls through a chain of services, each with its own retry policy. Every
/// route is idempotent, which is the worst case for the work sent.
RetryChainResult RunRetryChain(const RetryChainOptions& options);

}  // namespace banyantrail::bench
