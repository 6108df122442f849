#pragma once

#include <optional>
#include <string>

#include "banyantrail/net/http_types.h"
#include "banyantrail/proxy/attempt.h"
#include "banyantrail/proxy/system_answer.h"
#include "banyantrail/traffic/refusal_reason.h"
#include "banyantrail/wire/edge_dialect.h"

namespace banyantrail {

/// The head of a request as it goes to the next server: end-to-end fields
/// only.
http::request_header<> ForwardedHead(const InboundRequest& request);

/// The head of an answer as it goes back: end-to-end fields and its length.
http::response_header<> ReturnedHead(const Attempt& attempt);

/// Sets a header by its name.
void SetField(http::fields& fields,
              std::string_view name,
              std::string_view value);

/// Milliseconds from now to the deadline, at least 1.
std::string RemainingMs(TimePoint deadline);

/// The system's answer for a refusal: status, remedy and proof follow from the
/// reason.
SystemAnswer RefusalAnswer(RefusalReason reason,
                           const EdgeDialect& dialect = {});

/// What a backend server's answer says of the run.
enum class AnswerClaim {
  /// It comes from the awaited request, whole or not.
  kAnswer,
  /// The backend server says that it did not run the request.
  kNotRun,
  /// It belongs to another request.
  kForeign,
  /// A success without the backend server's proof, or with a coded body.
  kMalformed,
};

/// Judges the head of an answer to the request named `request_id`.
AnswerClaim ClaimOf(const http::response_header<>& head,
                    std::string_view request_id,
                    const EdgeDialect& dialect);

/// How long the connection of this answer may idle by the server's word; empty
/// when it does not say.
std::optional<Duration> KeepAliveTime(const http::response_header<>& head);

}  // namespace banyantrail
