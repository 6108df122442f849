#include "bench/retry_chain.h"

#include <random>
#include <vector>

#include "banyantrail/core/random.h"

namespace banyantrail::bench {

namespace {

class RetryChain {
 public:
  explicit RetryChain(const RetryChainOptions& options)
      : m_options(options),
        m_rng(options.seed),
        m_policies(options.depth, RetryPolicy(options.policy)) {}

  RetryChainResult Run() {
    for (std::uint32_t call = 0; call < m_options.calls; ++call) {
      ++m_result.calls;
      m_result.succeeded += Call(0) ? 1 : 0;
    }
    return m_result;
  }

 private:
  /// Calls the service at the given depth and returns whether the call
  /// succeeded. A failure at a deeper layer arrives as a complete error
  /// response of this layer's backend server, so it is returned and not retried
  /// here.
  bool Call(std::uint32_t depth) {
    if (depth == m_options.depth) {
      return true;
    }
    ++m_result.first_attempts;
    m_policies[depth].OnFirstAttempt();
    FailedAttempt failed_attempt{.idempotent = true,
                                 .attempts = 0,
                                 .depth = depth,
                                 .deadline = TimePoint::max()};
    for (;;) {
      ++m_result.attempts;
      ++failed_attempt.attempts;
      if (!ChoosesFailingServer()) {
        return Call(depth + 1);
      }
      failed_attempt.reason = RefusalReason::kConnectFailed;
      if (std::bernoulli_distribution(m_options.executed_failure_ratio)(
              m_rng)) {
        failed_attempt.reason = RefusalReason::kConnectionLost;
        Call(depth + 1);
      }
      if (!IsRetry(m_policies[depth].Decide(failed_attempt, TimePoint{}))) {
        return false;
      }
    }
  }

  bool ChoosesFailingServer() {
    return UniformIndex(m_rng, m_options.servers_per_service) <
           m_options.failing_servers;
  }

  const RetryChainOptions& m_options;
  Rng m_rng;
  std::vector<RetryPolicy> m_policies;
  RetryChainResult m_result;
};

}  // namespace

double RetryChainResult::Amplification(std::uint32_t depth) const {
  return static_cast<double>(attempts) / static_cast<double>(calls * depth);
}

double RetryChainResult::AttemptsPerFirstAttempt() const {
  return static_cast<double>(attempts) / static_cast<double>(first_attempts);
}

RetryChainResult RunRetryChain(const RetryChainOptions& options) {
  return RetryChain(options).Run();
}

}  // namespace banyantrail::bench
