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
  /// Number of backend servers per service that fail every request.
  std::uint32_t failing_servers = 3;
  /// Fraction of failures in which the request was executed, including all its
  /// nested calls, before its response was lost. In all others it was not
  /// executed.
  double executed_failure_ratio = 0.5;
};

struct RetryChainResult {
  std::uint64_t calls = 0;
  std::uint64_t succeeded = 0;
  /// Attempts sent to backend servers by all layers, including retries.
  std::uint64_t attempts = 0;
  /// Attempts that were not retries.
  std::uint64_t first_attempts = 0;

  /// Attempts per call, relative to a chain without failures.
  double Amplification(std::uint32_t depth) const;
  double AttemptsPerFirstAttempt() const;
};

/// Simulates calls through a chain of services, each with its own retry policy.
/// All requests are idempotent, which allows the most retries.
RetryChainResult RunRetryChain(const RetryChainOptions& options);

}  // namespace banyantrail::bench
