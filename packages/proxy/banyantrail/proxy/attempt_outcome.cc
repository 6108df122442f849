#include "banyantrail/proxy/attempt_outcome.h"

#include "banyantrail/proxy/header_rules.h"
#include "banyantrail/proxy/metadata_fields.h"
#include "banyantrail/wire/mesh_headers.h"

namespace banyantrail {
namespace {

ResponseMetadata MetadataOf(const Attempt& attempt) {
  return ResponseMetadataOf(attempt.response->get());
}

/// The endpoint outcome that an owner node's refusal stands for.
EndpointOutcome RefusalOutcomeOf(const Attempt& attempt) {
  switch (ReasonOf(attempt)) {
    case RefusalReason::kQueueFull:
    case RefusalReason::kDeadline:
    case RefusalReason::kDraining:
    case RefusalReason::kShedByBackendServer:
    case RefusalReason::kTeamShare:
      return EndpointOutcome::kShed;
    case RefusalReason::kConnectFailed:
    case RefusalReason::kBackendServerDown:
      return EndpointOutcome::kConnectFailed;
    default:
      return EndpointOutcome::kFailed;
  }
}

EndpointOutcome OutcomeOf(const Attempt& attempt) {
  switch (attempt.result) {
    case UpstreamResult::kResponded:
      if (IsLocalReply(attempt)) {
        return RefusalOutcomeOf(attempt);
      }
      return http::to_status_class(attempt.response->get().result_int()) ==
                     http::status_class::server_error
                 ? EndpointOutcome::kFailed
                 : EndpointOutcome::kSuccess;
    case UpstreamResult::kNotRun:
      return EndpointOutcome::kConnectFailed;
    case UpstreamResult::kUnknown:
      return EndpointOutcome::kFailed;
    case UpstreamResult::kCallerDisconnected:
      return EndpointOutcome::kCancelled;
  }
  return EndpointOutcome::kCancelled;
}

}  // namespace

RefusalReason ReasonOf(const Attempt& attempt) {
  if (attempt.result != UpstreamResult::kResponded) {
    return attempt.reason;
  }
  return MetadataOf(attempt).refusal.value_or(
      RefusalReason::kMalformedResponse);
}

bool IsLocalReply(const Attempt& attempt) {
  return attempt.result == UpstreamResult::kResponded &&
         MetadataOf(attempt).refusal.has_value();
}

bool IsBackendResponse(const Attempt& attempt) {
  return attempt.result == UpstreamResult::kResponded &&
         !MetadataOf(attempt).refusal.has_value();
}

bool IsOverload(RefusalReason reason) {
  return reason == RefusalReason::kQueueFull ||
         reason == RefusalReason::kDeadline;
}

bool MayHaveReachedBackendServer(const Attempt& attempt) {
  if (attempt.result == UpstreamResult::kNotRun) {
    return false;
  }
  if (IsBackendResponse(attempt) ||
      attempt.result != UpstreamResult::kResponded) {
    return true;
  }
  const RefusalReason reason = ReasonOf(attempt);
  return reason == RefusalReason::kShedByBackendServer || !ProvesNotRun(reason);
}

std::optional<ReportedLoad> LoadOf(const Attempt& attempt) {
  if (attempt.result != UpstreamResult::kResponded) {
    return std::nullopt;
  }
  return MetadataOf(attempt).load;
}

std::optional<double> FailureShareOf(const Attempt& attempt) {
  constexpr double kPercent = 100;
  if (!IsBackendResponse(attempt)) {
    return std::nullopt;
  }
  const auto percent =
      NumberField(attempt.response->get(), kFailurePercentHeader);
  return percent ? *percent / kPercent : 0;
}

EndpointResult ResultOf(const Attempt& attempt, Duration latency) {
  EndpointResult result{.outcome = OutcomeOf(attempt),
                        .load = LoadOf(attempt),
                        .failure_share = FailureShareOf(attempt)};
  if (result.outcome == EndpointOutcome::kSuccess) {
    result.latency = latency;
  }
  return result;
}

}  // namespace banyantrail
