#include "banyantrail/traffic/retry_policy.h"

#include <set>
#include <string_view>

#include "bench/retry_chain.h"

#include <CppUTest/TestHarness.h>

using banyantrail::FailedAttempt;
using banyantrail::IsRetry;
using banyantrail::kRefusalReasonCount;
using banyantrail::kRetryDecisionCount;
using banyantrail::ProvesNotRun;
using banyantrail::RefusalReason;
using banyantrail::RetryDecision;
using banyantrail::RetryPolicy;
using banyantrail::seconds;
using banyantrail::TimePoint;
using banyantrail::ToString;
using banyantrail::bench::RetryChainOptions;
using banyantrail::bench::RunRetryChain;

namespace {

constexpr double kMaxAmplification = 1.2;
const TimePoint kNow = TimePoint{} + seconds(1000);

FailedAttempt FailedWith(RefusalReason reason) {
  return {.reason = reason, .deadline = kNow + seconds(1)};
}

}  // namespace

TEST_GROUP(RetryPolicy){};

TEST(RetryPolicy, DecisionNamesAreUnique) {
  std::set<std::string_view> names;
  for (std::size_t i = 0; i < kRetryDecisionCount; ++i) {
    names.insert(ToString(static_cast<RetryDecision>(i)));
  }
  LONGS_EQUAL(kRetryDecisionCount, names.size());
}

TEST(RetryPolicy, AttemptsThatMayHaveRunAreRetriedOnlyIfIdempotent) {
  for (std::size_t i = 0; i < kRefusalReasonCount; ++i) {
    const auto reason = static_cast<RefusalReason>(i);
    RetryPolicy policy;
    const RetryDecision decision = policy.Decide(FailedWith(reason), kNow);
    CHECK(!IsRetry(decision) || ProvesNotRun(reason));
  }
}

TEST(RetryPolicy, IdempotentRequestsAreRetriedOnlyAtTheOutermostLayer) {
  RetryPolicy policy;
  FailedAttempt attempt = FailedWith(RefusalReason::kConnectionLost);
  attempt.idempotent = true;
  CHECK(policy.Decide(attempt, kNow) == RetryDecision::kRetryIdempotent);
  attempt.depth = 1;
  CHECK(policy.Decide(attempt, kNow) == RetryDecision::kInnerLayer);
}

TEST(RetryPolicy, NestedRequestsThatDidNotRunAreRetried) {
  RetryPolicy policy;
  FailedAttempt attempt = FailedWith(RefusalReason::kConnectFailed);
  attempt.depth = 5;
  CHECK(policy.Decide(attempt, kNow) == RetryDecision::kRetryNotRun);
}

TEST(RetryPolicy, OnlyTheEntryNodeRetries) {
  RetryPolicy policy;
  FailedAttempt attempt = FailedWith(RefusalReason::kConnectFailed);
  attempt.forwarded = true;
  CHECK(policy.Decide(attempt, kNow) == RetryDecision::kInnerLayer);
}

TEST(RetryPolicy, RespectsDeadlineMaxAttemptsAndBody) {
  RetryPolicy policy;
  FailedAttempt attempt = FailedWith(RefusalReason::kQueueFull);
  attempt.expected_duration = seconds(1);
  CHECK(policy.Decide(attempt, kNow) == RetryDecision::kDeadlineTooClose);
  attempt.attempts = 3;
  CHECK(policy.Decide(attempt, kNow) == RetryDecision::kAttemptsExhausted);
  attempt.body_replayable = false;
  CHECK(policy.Decide(attempt, kNow) == RetryDecision::kBodyConsumed);
}

TEST(RetryPolicy, RetryAfterADrainNeedsNoToken) {
  RetryPolicy policy({.burst = 0});
  CHECK(policy.Decide(FailedWith(RefusalReason::kQueueFull), kNow) ==
        RetryDecision::kBudgetEmpty);
  CHECK(policy.Decide(FailedWith(RefusalReason::kDraining), kNow) ==
        RetryDecision::kRetryNotRun);
}

// Guards against large uploads failing with an empty retry budget. Seen in the
// simulated day liushu-hq-grown, quiet-1: a domain with one of six backend
// servers gets a third of the uploads, and each of 60 entry nodes gets one
// retry token per ten seconds.
TEST(RetryPolicy, RetryOfAnUnsentBodyNeedsNoToken) {
  RetryPolicy policy({.burst = 0});
  FailedAttempt attempt = FailedWith(RefusalReason::kDeadline);
  attempt.is_free = true;
  CHECK(policy.Decide(attempt, kNow) == RetryDecision::kRetryNotRun);
  // Attempts that may have run always need a token.
  attempt.reason = RefusalReason::kConnectionLost;
  attempt.idempotent = true;
  CHECK(policy.Decide(attempt, kNow) == RetryDecision::kBudgetEmpty);
}

TEST(RetryPolicy, FirstAttemptsFillTheBudget) {
  RetryPolicy policy({.not_run_ratio = 0.5, .burst = 1});
  const FailedAttempt attempt = FailedWith(RefusalReason::kQueueFull);
  CHECK(policy.Decide(attempt, kNow) == RetryDecision::kRetryNotRun);
  CHECK(policy.Decide(attempt, kNow) == RetryDecision::kBudgetEmpty);
  policy.OnFirstAttempt();
  policy.OnFirstAttempt();
  CHECK(policy.Decide(attempt, kNow) == RetryDecision::kRetryNotRun);
}

TEST(RetryPolicy, RetriesOfAChainOfTenLayersAddAtMostAFifth) {
  for (const double executed_failure_ratio : {0.0, 0.5, 1.0}) {
    const RetryChainOptions options{.executed_failure_ratio =
                                        executed_failure_ratio};
    const auto result = RunRetryChain(options);
    CHECK(result.Amplification(options.depth) <= kMaxAmplification);
    CHECK(result.AttemptsPerFirstAttempt() <= kMaxAmplification);
  }
}

TEST(RetryPolicy, WithoutBudgetAndOutermostLayerTheChainSendsFarMore) {
  const RetryChainOptions options{
      .policy = {.use_budget = false, .outermost_layer_only = false},
      .calls = 500,
      .executed_failure_ratio = 1};
  CHECK(RunRetryChain(options).Amplification(options.depth) >
        kMaxAmplification);
}
