#include <utility>

#include "banyantrail/core/digest.h"
#include "banyantrail/proxy/attempt_outcome.h"
#include "banyantrail/proxy/entry_request_context.h"
#include "banyantrail/proxy/metadata_fields.h"
#include "banyantrail/traffic/body_transfers.h"
#include "banyantrail/wire/mesh_headers.h"

namespace banyantrail {

AttemptOptions EntryStage::AttemptOptionsFor(
    const RequestContext& context,
    const ServiceEndpoint& endpoint) const {
  AttemptOptions options{.server = endpoint.mesh_address,
                         .head = ForwardedHead(context.request),
                         .deadline = context.deadline,
                         .expect_continue = true};
  StripInternalFields(options.head, m_options.dialect);
  SetTeamField(context, options.head);
  if (endpoint.mesh_version > 0) {
    // The metadata holds both.
    EraseField(options.head, m_options.dialect.deadline);
    EraseField(options.head, kDepthHeader);
  }
  SetRequestMetadata(options.head, MetadataFor(context, endpoint),
                     endpoint.mesh_version);
  return options;
}

/// Replaces the key, which backend servers must not see, by the team's name.
void EntryStage::SetTeamField(const RequestContext& context,
                              http::fields& head) const {
  if (context.snapshot->teams().empty()) {
    return;
  }
  head.erase(http::field::authorization);
  EraseField(head, m_options.dialect.team);
  if (context.team != nullptr) {
    SetField(head, m_options.dialect.team, context.team->name.str());
  }
}

RequestMetadata EntryStage::MetadataFor(const RequestContext& context,
                                        const ServiceEndpoint& endpoint) const {
  RequestMetadata metadata{.time_left = RemainingTime(context.deadline),
                           .depth = DepthOf(context.request.head()) + 1,
                           .priority = context.priority,
                           .is_idempotent = context.route->idempotent,
                           .is_nested_call = context.is_nested_call,
                           .kind = KindOf(*context.route),
                           .service = context.service->name,
                           .server = endpoint.id,
                           .caller_service = m_options.local_service};
  if (context.target) {
    metadata.target_left = RemainingTime(*context.target);
  }
  if (context.request.body.size() >= kLargeBodyBytes) {
    metadata.body_hash = std::to_string(Hash64(context.request.body));
  }
  return metadata;
}

asio::awaitable<void> EntryStage::Forward(Downstream& downstream,
                                          RequestContext& context) {
  if (!context.is_nested_call) {
    RetryPolicyFor(context.service->name).OnFirstAttempt();
  }
  while (true) {
    const ServiceEndpoint* endpoint = ChooseEndpointFor(context);
    if (endpoint == nullptr) {
      // Endpoints exist, but none has capacity before the deadline.
      const bool has_endpoints = !context.service->endpoints.empty();
      co_await Refuse(downstream, context,
                      has_endpoints ? RefusalReason::kQueueFull
                                    : RefusalReason::kNoBackendServer);
      co_return;
    }
    const RolloutCounter::InFlight in_flight(
        m_options.rollout_counter, context.service->name, endpoint->version);
    Attempt attempt = co_await TryEndpoint(downstream, context, *endpoint);
    if (attempt.result == UpstreamResult::kCallerDisconnected) {
      downstream.must_close = true;
      co_return;
    }
    if (IsLocalReply(attempt)) {
      co_await DiscardRefusalBody(m_pool, attempt);
    }
    if (ShouldRetry(context, attempt)) {
      const std::optional<RefusalReason> refusal = RecheckKey(context);
      if (refusal) {
        co_await Refuse(downstream, context, *refusal);
        co_return;
      }
      continue;
    }
    if (attempt.result == UpstreamResult::kResponded) {
      co_await ReturnResponse(downstream, context, attempt);
    } else {
      co_await Refuse(downstream, context, attempt.reason);
    }
    co_return;
  }
}

asio::awaitable<Attempt> EntryStage::TryEndpoint(
    Downstream& downstream,
    RequestContext& context,
    const ServiceEndpoint& endpoint) {
  context.tried.push_back(KeyOf(endpoint));
  const TimePoint started = SystemClock().Now();
  m_loads.OnStart(endpoint, started);
  AttemptOptions options = AttemptOptionsFor(context, endpoint);
  options.in_use = &context.turn.upstream;
  options.may_send = [&turn = context.turn] { return !turn.is_cancelled(); };
  Attempt attempt = co_await MakeAttempt(m_pool, downstream, context.request,
                                         std::move(options));
  if (context.turn.is_cancelled() &&
      attempt.result != UpstreamResult::kResponded) {
    attempt.result = UpstreamResult::kCallerDisconnected;
    attempt.reason = RefusalReason::kCancelled;
  }
  const TimePoint now = SystemClock().Now();
  EndpointResult result = ResultOf(attempt, now - started);
  result.kind = KindOf(*context.route);
  m_loads.OnResult(endpoint, result, now);
  RecordVersion(context, endpoint, result.outcome, now - started);
  if (IsBackendResponse(attempt)) {
    m_response_times[context.route->rule].Record(now - started, now);
  }
  context.last_load = LoadOf(attempt);
  context.sends += MayHaveReachedBackendServer(attempt) ? 1 : 0;
  if (!IsBackendResponse(attempt) && !ProvesNotRun(ReasonOf(attempt))) {
    context.may_have_run = ReasonOf(attempt);
  }
  RecordAdmission(context, endpoint, attempt);
  if (attempt.result == UpstreamResult::kUnknown) {
    m_pool.DropIdle(endpoint.mesh_address);
  }
  co_return attempt;
}

}  // namespace banyantrail
