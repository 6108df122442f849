#include "banyantrail/proxy/attempt_outcome.h"
#include "banyantrail/proxy/entry_request_context.h"

namespace banyantrail {

/// Chooses among the endpoints that were not tried yet and are not known to
/// have no capacity before the deadline. Nested calls are still sent to the
/// latter, because the owner node admits them ahead of new requests.
const ServiceEndpoint* EntryStage::ChooseEndpointFor(
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
  if (!context.is_nested_call && !is_large) {
    request.is_excluded = [&](const ServiceEndpoint& endpoint) {
      return m_refusals.WouldRefuse(endpoint, urgency, now);
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

}  // namespace banyantrail
