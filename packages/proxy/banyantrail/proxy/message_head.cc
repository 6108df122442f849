#include "banyantrail/proxy/message_head.h"

#include <algorithm>
#include <charconv>

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
    case RefusalReason::kUnknownKey:
      return http::status::unauthorized;
    case RefusalReason::kTeamQuota:
      return http::status::too_many_requests;
    case RefusalReason::kDeadline:
    case RefusalReason::kResponseTimeout:
      return http::status::gateway_timeout;
    case RefusalReason::kConnectionLost:
    case RefusalReason::kResponseTruncated:
    case RefusalReason::kMalformedResponse:
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
  http::response_header<> head = attempt.response->get();
  StripHopByHopFields(head);
  return head;
}

void SetField(http::fields& fields,
              std::string_view name,
              std::string_view value) {
  fields.set(beast::string_view(name.data(), name.size()),
             beast::string_view(value.data(), value.size()));
}

void EraseField(http::fields& fields, std::string_view name) {
  fields.erase(beast::string_view(name.data(), name.size()));
}

milliseconds RemainingTime(TimePoint deadline) {
  return std::max(
      std::chrono::duration_cast<milliseconds>(deadline - SystemClock().Now()),
      milliseconds(1));
}

std::string RemainingMs(TimePoint deadline) {
  return std::to_string(RemainingTime(deadline).count());
}

LocalReply RefusalReply(RefusalReason reason, const EdgeDialect& dialect) {
  const ExecutionOutcome outcome = ProvesNotRun(reason)
                                       ? ExecutionOutcome::kNotRun
                                       : ExecutionOutcome::kUnknown;
  http::status status = StatusFor(reason);
  const bool is_server_error =
      http::to_status_class(status) == http::status_class::server_error;
  if (dialect.refuses_with_503 && outcome == ExecutionOutcome::kNotRun &&
      is_server_error) {
    status = http::status::service_unavailable;
  }
  return {.status = status,
          .outcome = outcome,
          .reason = std::string(ToString(reason)),
          .remedy = std::string(RemedyFor(reason))};
}

ResponseVerdict ClassifyResponse(const http::response_header<>& head,
                                 std::string_view request_id,
                                 const EdgeDialect& dialect) {
  if (!dialect.request_id.empty()) {
    const std::string_view echoed = FieldValue(head, dialect.request_id);
    if (!echoed.empty() && echoed != request_id) {
      return ResponseVerdict::kOtherRequest;
    }
  }
  const std::string_view not_run = FieldValue(head, dialect.not_run);
  const bool reports_not_run =
      !not_run.empty() &&
      (dialect.not_run_value.empty() || not_run == dialect.not_run_value);
  const bool is_success = http::to_status_class(head.result_int()) ==
                          http::status_class::successful;
  const bool is_misdirected =
      head.result() == http::status::misdirected_request &&
      !dialect.expected_server.empty();
  if (is_misdirected || (reports_not_run && !is_success)) {
    return ResponseVerdict::kNotRun;
  }
  const bool lacks_stamp = !dialect.response_stamp.empty() &&
                           FieldValue(head, dialect.response_stamp).empty();
  const bool is_encoded = !dialect.response_stamp.empty() &&
                          head.count(http::field::content_encoding) > 0;
  return is_success && (lacks_stamp || is_encoded) ? ResponseVerdict::kMalformed
                                                   : ResponseVerdict::kMatching;
}

std::optional<Duration> KeepAliveTimeout(const http::response_header<>& head) {
  constexpr std::string_view kTimeout = "timeout=";
  const std::string_view value = FieldValue(head, "keep-alive");
  const std::size_t start = value.find(kTimeout);
  if (start == std::string_view::npos) {
    return std::nullopt;
  }
  const std::string_view digits = value.substr(start + kTimeout.size());
  unsigned count = 0;
  const auto [end, error] =
      std::from_chars(digits.data(), digits.data() + digits.size(), count);
  if (error != std::errc()) {
    return std::nullopt;
  }
  return seconds(count);
}

}  // namespace banyantrail
