#include "banyantrail/proxy/answer_head.h"

#include <algorithm>

#include "banyantrail/proxy/header_rules.h"
#include "banyantrail/wire/mesh_headers.h"

namespace banyantrail {
namespace {

http::status StatusFor(RefusalReason reason) {
  switch (reason) {
    case RefusalReason::kMalformedRequest:
      return http::status::bad_request;
    case RefusalReason::kHeadTooLarge:
      return http::status::request_header_fields_too_large;
    case RefusalReason::kSlowSender:
      return http::status::request_timeout;
    case RefusalReason::kNoRoute:
      return http::status::not_found;
    case RefusalReason::kDeadline:
    case RefusalReason::kAnswerTimeout:
      return http::status::gateway_timeout;
    case RefusalReason::kConnectionLost:
    case RefusalReason::kAnswerCut:
    case RefusalReason::kMalformedAnswer:
      return http::status::bad_gateway;
    case RefusalReason::kAttemptInFlight:
    case RefusalReason::kAlreadyRan:
    case RefusalReason::kResultLost:
    case RefusalReason::kLedgerInDoubt:
      return http::status::conflict;
    default:
      return http::status::service_unavailable;
  }
}

}  // namespace

http::request_header<> ForwardedHead(const InboundRequest& request) {
  http::request_header<> head = request.head();
  StripHopByHopFields(head);
  head.erase(http::field::content_length);
  return head;
}

http::response_header<> ReturnedHead(const Attempt& attempt) {
  http::response_header<> head = attempt.answer->get();
  StripHopByHopFields(head);
  return head;
}

void SetField(http::fields& fields,
              std::string_view name,
              std::string_view value) {
  fields.set(beast::string_view(name.data(), name.size()),
             beast::string_view(value.data(), value.size()));
}

std::string RemainingMs(TimePoint deadline) {
  const auto remaining =
      std::chrono::duration_cast<milliseconds>(deadline - SystemClock().Now());
  return std::to_string(std::max<milliseconds::rep>(remaining.count(), 1));
}

SystemAnswer RefusalAnswer(RefusalReason reason) {
  const SystemOutcome outcome =
      ProvesNotRun(reason) ? SystemOutcome::kNotRun : SystemOutcome::kUnknown;
  return {.status = StatusFor(reason),
          .outcome = outcome,
          .reason = std::string(ToString(reason)),
          .remedy = std::string(RemedyFor(reason))};
}

}  // namespace banyantrail
