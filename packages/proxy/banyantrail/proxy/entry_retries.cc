#include <algorithm>

#include "banyantrail/proxy/attempt_outcome.h"
#include "banyantrail/proxy/entry_request_context.h"
#include "banyantrail/traffic/body_transfers.h"

namespace banyantrail {

/// Whether a retry costs no backend server anything and little else: none of
/// the attempt reached one, and the request is small or was tried only a few
/// times.
bool EntryStage::IsFreeRetry(const RequestContext& context,
                             RefusalReason reason) {
  constexpr std::size_t kMaxFreeRetries = 2;
  const bool reached_no_server =
      IsOverload(reason) || reason == RefusalReason::kConnectFailed;
  const bool is_body_unsent =
      IsOverload(reason) && BodyBytes(context.request) >= kLargeBodyBytes;
  return is_body_unsent ||
         (reached_no_server && context.tried.size() <= kMaxFreeRetries);
}

/// Decides whether to try another endpoint, and counts the decision.
bool EntryStage::ShouldRetry(const RequestContext& context,
                             const Attempt& attempt) {
  if (IsBackendResponse(attempt)) {
    return false;
  }
  const RefusalReason reason = ReasonOf(attempt);
  const bool lost_again =
      reason == RefusalReason::kConnectionLost && context.tried.size() > 1;
  if (lost_again) {
    // A retry lost its connection too: the request itself may crash backend
    // servers.
    m_options.hooks.count_retry("second_connection_lost");
    return false;
  }
  const FailedAttempt failed{
      .reason = reason,
      .idempotent = context.route->idempotent,
      .body_replayable = !context.request.body_consumed,
      .attempts = context.sends,
      .max_attempts = context.route->max_attempts,
      .is_free = IsFreeRetry(context, reason),
      .depth = std::max<std::uint32_t>(DepthOf(context.request.head()),
                                       context.is_nested_call ? 1 : 0),
      .deadline = context.deadline};
  const ChoiceRequest next_choice{.body_bytes = BodyBytes(context.request),
                                  .excluded = context.tried};
  if ((IsOverload(reason) || reason == RefusalReason::kTeamShare) &&
      !MayTryAnotherEndpoint(context.service->endpoints, m_options.choice,
                             next_choice)) {
    m_options.hooks.count_retry("too_large_to_move");
    return false;
  }
  const RetryDecision decision =
      RetryPolicyFor(context.service->name).Decide(failed, SystemClock().Now());
  m_options.hooks.count_retry(ToString(decision));
  const bool has_untried =
      context.tried.size() < context.service->endpoints.size();
  const bool retry = IsRetry(decision) && has_untried;
  if (retry) {
    ReportDecision(context, "sent_again", ToString(reason), 0);
  }
  return retry;
}

/// Divides the retry burst of the fleet among the nodes, assuming one backend
/// server for each node. The buckets for both kinds of retries share it.
void EntryStage::UpdateRetryBurst() {
  constexpr double kRetryBuckets = 2;
  if (m_options.fleet_retry_burst <= 0) {
    return;
  }
  std::size_t nodes = 0;
  for (const RoutedService& service : m_snapshot->services()) {
    nodes += service.endpoints.size();
  }
  m_options.retries.burst =
      m_options.fleet_retry_burst /
      (kRetryBuckets * static_cast<double>(std::max<std::size_t>(nodes, 1)));
  for (auto& [service, policy] : m_retry_policies) {
    policy.SetBurst(m_options.retries.burst);
  }
}

RetryPolicy& EntryStage::RetryPolicyFor(const ServiceName& service) {
  return m_retry_policies.try_emplace(service, m_options.retries).first->second;
}

}  // namespace banyantrail
