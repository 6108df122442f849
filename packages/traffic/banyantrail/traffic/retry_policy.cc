#include "banyantrail/traffic/retry_policy.h"

#include <algorithm>
#include <array>

namespace banyantrail {

namespace {

/// In the order of the enumerators.
constexpr std::array<std::string_view, kRetryDecisionCount> kDecisionNames = {
    "retry_not_run",      "retry_idempotent",   "not_retryable",
    "outcome_unknown",    "inner_layer",        "body_consumed",
    "attempts_exhausted", "deadline_too_close", "budget_empty",
};

enum class Retryability : std::uint8_t {
  kNever,
  /// Another backend server may accept the request; the retry takes a token.
  kElsewhere,
  /// As kElsewhere, but no backend server received the attempt, so the retry
  /// needs no token.
  kElsewhereWithoutToken,
  kOnlyIdempotent,
};

Retryability RetryabilityOf(RefusalReason reason) {
  switch (reason) {
    case RefusalReason::kDraining:
    case RefusalReason::kBackendServerDown:
      return Retryability::kElsewhereWithoutToken;
    case RefusalReason::kQueueFull:
    case RefusalReason::kDeadline:
    case RefusalReason::kShedByBackendServer:
    case RefusalReason::kTeamShare:
    case RefusalReason::kConnectFailed:
      return Retryability::kElsewhere;
    case RefusalReason::kConnectionLost:
    case RefusalReason::kResponseTimeout:
    case RefusalReason::kResponseTruncated:
    case RefusalReason::kMalformedResponse:
      return Retryability::kOnlyIdempotent;
    case RefusalReason::kMalformedRequest:
    case RefusalReason::kHeadTooLarge:
    case RefusalReason::kSlowSender:
    case RefusalReason::kTooManyConnections:
    case RefusalReason::kNoConfiguration:
    case RefusalReason::kNoRoute:
    case RefusalReason::kNoBackendServer:
    case RefusalReason::kQuarantined:
    case RefusalReason::kCancelled:
    case RefusalReason::kLedgerUnavailable:
    case RefusalReason::kLedgerInDoubt:
    case RefusalReason::kAttemptInFlight:
    case RefusalReason::kAlreadyRan:
    case RefusalReason::kResultLost:
      return Retryability::kNever;
  }
  return Retryability::kNever;
}

}  // namespace

std::string_view ToString(RetryDecision decision) {
  return kDecisionNames.at(static_cast<std::size_t>(decision));
}

bool IsRetry(RetryDecision decision) {
  return decision == RetryDecision::kRetryNotRun ||
         decision == RetryDecision::kRetryIdempotent;
}

RetryPolicy::RetryPolicy(RetryPolicyOptions options)
    : m_options(options),
      m_not_run_tokens(options.burst),
      m_unknown_tokens(options.burst) {}

void RetryPolicy::SetBurst(double burst) {
  m_options.burst = std::max(burst, 1.0);
  m_not_run_tokens = std::min(m_not_run_tokens, m_options.burst);
  m_unknown_tokens = std::min(m_unknown_tokens, m_options.burst);
}

void RetryPolicy::OnFirstAttempt() {
  m_not_run_tokens =
      std::min(m_not_run_tokens + m_options.not_run_ratio, m_options.burst);
  m_unknown_tokens =
      std::min(m_unknown_tokens + m_options.unknown_ratio, m_options.burst);
}

RetryDecision RetryPolicy::Decide(const FailedAttempt& attempt, TimePoint now) {
  const RetryDecision decision = DecideWithoutBudget(attempt, now);
  const bool is_free =
      RetryabilityOf(attempt.reason) == Retryability::kElsewhereWithoutToken ||
      (decision == RetryDecision::kRetryNotRun && attempt.is_free);
  if (!IsRetry(decision) || is_free) {
    return decision;
  }
  double& tokens = decision == RetryDecision::kRetryNotRun ? m_not_run_tokens
                                                           : m_unknown_tokens;
  return TakeToken(tokens) ? decision : RetryDecision::kBudgetEmpty;
}

RetryDecision RetryPolicy::DecideWithoutBudget(const FailedAttempt& attempt,
                                               TimePoint now) const {
  const Retryability retryability = RetryabilityOf(attempt.reason);
  if (retryability == Retryability::kNever) {
    return RetryDecision::kNotRetryable;
  }
  const bool outcome_unknown = retryability == Retryability::kOnlyIdempotent;
  if (outcome_unknown && !attempt.idempotent) {
    return RetryDecision::kOutcomeUnknown;
  }
  const bool is_nested_retry =
      outcome_unknown && m_options.outermost_layer_only && attempt.depth > 0;
  if (attempt.forwarded || is_nested_retry) {
    return RetryDecision::kInnerLayer;
  }
  if (!attempt.body_replayable) {
    return RetryDecision::kBodyConsumed;
  }
  const std::uint32_t max_attempts =
      attempt.max_attempts > 0 ? attempt.max_attempts : m_options.max_attempts;
  if (attempt.attempts >= max_attempts) {
    return RetryDecision::kAttemptsExhausted;
  }
  if (now + attempt.expected_duration >= attempt.deadline) {
    return RetryDecision::kDeadlineTooClose;
  }
  return outcome_unknown ? RetryDecision::kRetryIdempotent
                         : RetryDecision::kRetryNotRun;
}

bool RetryPolicy::TakeToken(double& tokens) const {
  if (!m_options.use_budget) {
    return true;
  }
  if (tokens < 1) {
    return false;
  }
  tokens -= 1;
  return true;
}

}  // namespace banyantrail
