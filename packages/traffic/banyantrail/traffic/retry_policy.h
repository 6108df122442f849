#pragma once

#include <cstddef>
#include <cstdint>
#include <string_view>

#include "banyantrail/core/clock.h"
#include "banyantrail/traffic/refusal_reason.h"

namespace banyantrail {

/// Whether a failed attempt is sent again, and if not, why. Each has a counter
/// in the metrics under its snake_case name.
enum class RetryDecision : std::uint8_t {
  /// Not run is proven: send it to another backend server.
  kRetryNotRun,
  /// The outcome is unknown, but the route is idempotent.
  kRetryIdempotent,
  /// The refusal would be the same everywhere.
  kNotRetryable,
  /// It may have run, and the route is not idempotent.
  kOutcomeUnknown,
  /// Another layer decides on this retry.
  kInnerLayer,
  /// Its body was streamed and is gone.
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
/// Retries of requests that did not run add sends but no work: the nested calls
/// are made once. Retries of unknown outcome repeat the whole chain below, so
/// only the outermost layer makes them. A chain of any depth thus sends at most
/// (1 + not_run_ratio) * (1 + unknown_ratio) = 1.19 times its work, and a burst
/// of `burst` on top.
struct RetryPolicyOptions {
  /// Tokens for retries that are proven not run, per first attempt.
  double not_run_ratio = 0.1;
  /// Tokens for retries of unknown outcome, per first attempt.
  double unknown_ratio = 0.08;
  /// Tokens that a bucket holds at most and starts with.
  double burst = 10;
  /// Times that one request is sent at most, the first included.
  std::uint32_t max_attempts = 3;
  /// Off: retries are not bounded by first attempts. For comparison.
  bool use_budget = true;
  /// Off: every layer retries requests of unknown outcome. For comparison.
  bool one_layer = true;
};

/// An attempt that failed, as the node that sent it sees it.
struct FailedAttempt {
  RefusalReason reason = RefusalReason::kConnectionLost;
  /// As declared by the routing rule.
  bool idempotent = false;
  /// Whether the body can be sent again from its start.
  bool body_replayable = true;
  /// Backend servers that may have got the request, this one included.
  std::uint32_t attempts = 1;
  /// As declared by the routing rule; 0 leaves it to the policy's options.
  std::uint32_t max_attempts = 0;
  /// The request has a large body, of which nothing was sent: another owner
  /// node costs one small message, so that the retry needs no token.
  bool body_held_back = false;
  /// Nesting of the call, from the depth header; 0 from an outside caller.
  std::uint32_t depth = 0;
  /// The request came from another node, which decides on retries itself.
  bool forwarded = false;
  TimePoint deadline;
  /// How long an attempt usually takes; zero when not known.
  Duration expected_duration{};
};

/// Decides on retries of one service's requests at their entry node. Retries
/// are paid from a token bucket that first attempts fill, so that a failing
/// service gets less extra work, not more. Refusals by a node that cost no
/// backend server anything (a drain, a backend server known to be down) are
/// retried without a token, so that a planned stop refuses nothing.
class RetryPolicy {
 public:
  explicit RetryPolicy(RetryPolicyOptions options = {});

  /// Bounds what the buckets hold from now on. Below one token a retry has to
  /// wait for first attempts to pay for it.
  void SetBurst(double burst);

  /// Call once for each request that is sent for the first time.
  void OnFirstAttempt();

  /// Decides, and takes a token when the answer is a retry that needs one.
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
