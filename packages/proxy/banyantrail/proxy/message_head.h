#pragma once

#include <optional>
#include <string>

#include "banyantrail/net/http_types.h"
#include "banyantrail/proxy/attempt.h"
#include "banyantrail/proxy/local_reply.h"
#include "banyantrail/traffic/refusal_reason.h"
#include "banyantrail/wire/edge_dialect.h"

namespace banyantrail {

/// The request head to forward: end-to-end fields only, without the framing.
http::request_header<> ForwardedHead(const InboundRequest& request);

/// The response head to return: end-to-end fields and the content length.
http::response_header<> ReturnedHead(const Attempt& attempt);

void SetField(http::fields& fields,
              std::string_view name,
              std::string_view value);

void EraseField(http::fields& fields, std::string_view name);

/// Time from now to the deadline, at least 1 ms.
milliseconds RemainingTime(TimePoint deadline);
std::string RemainingMs(TimePoint deadline);

/// The reply for a refusal. Status, outcome and remedy follow from the reason.
LocalReply RefusalReply(RefusalReason reason, const EdgeDialect& dialect = {});

/// How the response of a backend server relates to the request sent to it.
enum class ResponseVerdict {
  /// It is the response to this request.
  kMatching,
  /// It states that the backend server did not run the request.
  kNotRun,
  /// It is the response to another request.
  kOtherRequest,
  /// A success without the header that proves its origin, or with an encoded
  /// body.
  kMalformed,
};

/// Classifies the head of a response that was read for the request
/// `request_id`.
ResponseVerdict ClassifyResponse(const http::response_header<>& head,
                                 std::string_view request_id,
                                 const EdgeDialect& dialect);

/// The idle time-out in the server's Keep-Alive header; empty when absent.
std::optional<Duration> KeepAliveTimeout(const http::response_header<>& head);

}  // namespace banyantrail
