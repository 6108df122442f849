#pragma once

#include <optional>
#include <string>

#include "banyantrail/net/http_types.h"
#include "banyantrail/proxy/attempt.h"
#include "banyantrail/proxy/system_answer.h"
#include "banyantrail/traffic/refusal_reason.h"

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
SystemAnswer RefusalAnswer(RefusalReason reason);

}  // namespace banyantrail
