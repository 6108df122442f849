#include "banyantrail/proxy/attempt_outcome.h"
#include "banyantrail/proxy/entry_request_context.h"

namespace banyantrail {

/// Chooses among the endpoints of the versions that the request may be sent to.
/// A request that no server of a limited version can take, and a retry, go to
/// the others.
const ServiceEndpoint* EntryStage::ChooseEndpointFor(RequestContext& context) {
  ExposureControl* const exposure = m_options.exposure;
  if (exposure == nullptr) {
    return ChooseAmongVersions(context);
  }
  const TimePoint now = SystemClock().Now();
  const ServiceName& service = context.service->name;
  context.versions = context.tried.empty()
                         ? exposure->Next(service, now)
                         : exposure->WithoutLimited(service, now);
  const ServiceEndpoint* endpoint = ChooseAmongVersions(context);
  if (endpoint == nullptr && context.versions.only) {
    context.versions = exposure->WithoutLimited(service, now);
    endpoint = ChooseAmongVersions(context);
  }
  return endpoint;
}

/// Chooses among the endpoints that were not tried yet and are not known to
/// have no capacity before the deadline. Nested calls are still sent to the
/// latter, because the owner node admits them ahead of new requests.
const ServiceEndpoint* EntryStage::ChooseAmongVersions(
    const RequestContext& context) {
  const TimePoint now = SystemClock().Now();
  const RequestUrgency urgency{.priority = context.priority,
                               .slack = context.deadline - now};
  ChoiceRequest request{
      .body_bytes = BodyBytes(context.request),
      .excluded = context.tried,
      .time_left = TimeLeft(context, now),
      .expected_duration = m_response_times[context.route->rule].Mean(now),
      .kind = KindOf(*context.route)};
  const bool is_large = request.body_bytes > m_options.choice.max_spill_bytes;
  const bool is_refusal_known = !context.is_nested_call && !is_large;
  if (is_refusal_known || m_options.exposure != nullptr) {
    request.is_excluded = [&](const ServiceEndpoint& endpoint) {
      return !context.versions.Allows(endpoint) ||
             (is_refusal_known &&
              m_refusals.WouldRefuse(endpoint, urgency, now));
    };
  }
  return ChooseEndpoint(context.service->endpoints, m_loads, m_options.choice,
                        now, m_rng, request);
}

/// The time for a response of full use, or until the deadline when the target
/// has passed or none is declared.
Duration EntryStage::TimeLeft(const RequestContext& context, TimePoint now) {
  const bool can_meet_target = context.target && *context.target > now;
  return (can_meet_target ? *context.target : context.deadline) - now;
}

/// Remembers whether the owner node had capacity, for ExcludedEndpoints.
void EntryStage::RecordAdmission(const RequestContext& context,
                                 const ServiceEndpoint& endpoint,
                                 const Attempt& attempt) {
  if (context.is_nested_call || attempt.result != UpstreamResult::kResponded) {
    return;
  }
  if (IsBackendResponse(attempt)) {
    m_refusals.OnAdmitted(KeyOf(endpoint));
  } else if (IsOverload(ReasonOf(attempt))) {
    const TimePoint now = SystemClock().Now();
    m_refusals.OnRefused(
        KeyOf(endpoint),
        {.priority = context.priority, .slack = context.deadline - now}, now);
  }
}

/// Counts a response for the roll-out of its service, if there is one. Refusals
/// by the owner node say nothing about the version.
void EntryStage::RecordVersion(const RequestContext& context,
                               const ServiceEndpoint& endpoint,
                               EndpointOutcome outcome,
                               Duration latency) {
  const ServiceName& service = context.service->name;
  const RolloutDirectiveMessage* rollout =
      m_options.exposure == nullptr ? nullptr
                                    : m_options.exposure->RolloutOf(service);
  const bool is_response = outcome == EndpointOutcome::kSuccess ||
                           outcome == EndpointOutcome::kFailed;
  if (rollout == nullptr || !is_response) {
    return;
  }
  m_options.rollout_counter->Record(
      {.service = service,
       .rule = context.route->rule,
       .is_target_version = endpoint.version == rollout->target_version,
       .failed = outcome == EndpointOutcome::kFailed,
       .is_warming_up = m_options.exposure->IsWarmingUp(
           service, endpoint.version, SystemClock().Now()),
       .latency = latency});
}

}  // namespace banyantrail
