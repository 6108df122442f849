#pragma once

#include <cstddef>
#include <cstdint>
#include <string_view>

#include "banyantrail/core/clock.h"
#include "banyantrail/traffic/refusal_reason.h"

namespace banyantrail {

/// Whether a failed attempt is retried, and if not, why. The metrics count each
/// decision under its snake_case name.
enum class RetryDecision : std::uint8_t {
  /// Retry at another backend server: the attempt provably was not run.
  kRetryNotRun,
  /// Retry: the outcome is unknown, but the route is idempotent.
  kRetryIdempotent,
  /// Any other node or backend server would refuse the request, too.
  kNotRetryable,
  /// The attempt may have run, and the route is not idempotent.
  kOutcomeUnknown,
  /// Another layer of the call chain decides on the retry.
  kInnerLayer,
  /// The body was streamed and cannot be sent again.
  kBodyConsumed,
  kAttemptsExhausted,
  kDeadlineTooClose,
  kBudgetEmpty,
};

inline constexpr std::size_t kRetryDecisionCount =
    static_cast<std::size_t>(RetryDecision::kBudgetEmpty) + 1;

/// Stable snake_case name of a decision.
std::string_view ToString(RetryDecision decision);

/// Whether the decision is to send the request again.
bool IsRetry(RetryDecision decision);

/// Settings of RetryPolicy.
///
/// Retries of attempts that were not run add traffic but no work, since their
/// nested calls are made only once. Retries with unknown outcome may repeat all
/// nested calls, so only the outermost layer makes them. A call chain of any
/// depth thus sends at most (1 + not_run_ratio) * (1 + unknown_ratio) = 1.19
/// times its requests without retries, plus the initial burst of tokens.
struct RetryPolicyOptions {
  /// Tokens added per first attempt for retries of attempts that provably were
  /// not run.
  double not_run_ratio = 0.1;
  /// Tokens added per first attempt for retries with unknown outcome.
  double unknown_ratio = 0.08;
  /// Capacity and initial fill of each token bucket.
  double burst = 10;
  /// Maximum number of attempts of one request, including the first.
  std::uint32_t max_attempts = 3;
  /// If false, retries need no tokens. For benchmarks.
  bool use_budget = true;
  /// If false, every layer retries requests with unknown outcome. For
  /// benchmarks.
  bool outermost_layer_only = true;
};

/// A failed attempt, as seen by the node that sent it.
struct FailedAttempt {
  RefusalReason reason = RefusalReason::kConnectionLost;
  /// Declared by the routing rule.
  bool idempotent = false;
  /// Whether the body can be sent again from its start.
  bool body_replayable = true;
  /// Number of backend servers that may have received the request so far,
  /// including that of this attempt.
  std::uint32_t attempts = 1;
  /// Declared by the routing rule; 0 to use that of RetryPolicyOptions.
  std::uint32_t max_attempts = 0;
  /// No backend server received any of the attempt, and asking another owner
  /// node costs little, so the retry needs no token.
  bool is_free = false;
  /// Nesting depth of the request, from the depth header; 0 for requests that
  /// are not nested calls.
  std::uint32_t depth = 0;
  /// The request was forwarded by another node, which decides on retries.
  bool forwarded = false;
  TimePoint deadline;
  /// Expected duration of another attempt; zero if unknown.
  Duration expected_duration{};
};

/// Decides at the entry node which requests of a service are retried. Retries
/// take tokens from buckets that first attempts fill, so that the retries of a
/// failing service stay a small fraction of its requests. Refusals that cost no
/// backend server any work (draining, or a backend server known to be down) are
/// retried without a token, so that a graceful shutdown fails no
/// requests.
class RetryPolicy {
 public:
  explicit RetryPolicy(RetryPolicyOptions options = {});

  /// Sets the capacity of the token buckets, at least 1. While a bucket holds
  /// less than one token, retries are denied until first attempts have added
  /// enough.
  void SetBurst(double burst);

  /// Must be called once per request, when it is first sent.
  void OnFirstAttempt();

  /// Returns the decision, and takes a token if it is a retry that needs one.
  RetryDecision Decide(const FailedAttempt& attempt, TimePoint now);

 private:
  RetryDecision DecideWithoutBudget(const FailedAttempt& attempt,
                                    TimePoint now) const;
  bool TakeToken(double& tokens) const;

  RetryPolicyOptions m_options;
  double m_not_run_tokens;
  double m_unknown_tokens;
};

}  // namespace banyantrail
