#pragma once

#include <string_view>

namespace banyantrail {

/// Prefix of every header that nodes exchange among themselves. Requests from
/// callers are stripped of all headers that start with it, but for the two
/// that callers may set.
inline constexpr std::string_view kInternalHeaderPrefix = "x-banyantrail-";

/// Caller to entry node, entry node to owner node, owner node to backend
/// server: milliseconds that the sender still waits. Relative, because clocks
/// differ.
inline constexpr std::string_view kDeadlineHeader = "x-banyantrail-deadline-ms";

/// Entry node to owner node: the service beside the entry node, where the
/// request began.
inline constexpr std::string_view kCallerServiceHeader =
    "x-banyantrail-caller-service";

/// Entry node to owner node: milliseconds within which an answer is of full
/// use, 0 when that time has passed. Absent when not declared.
inline constexpr std::string_view kTargetHeader = "x-banyantrail-target-ms";

/// Entry node to owner node: "1" when a run that is under way makes the call.
inline constexpr std::string_view kCallHeader = "x-banyantrail-call";

/// Entry node to owner node: the routing rule.
inline constexpr std::string_view kRuleHeader = "x-banyantrail-rule";

/// Entry node to owner node: the declared rank's priority, 0 first.
inline constexpr std::string_view kPriorityHeader = "x-banyantrail-priority";

/// Entry node to owner node: "1" when the route is declared idempotent.
inline constexpr std::string_view kIdempotentHeader =
    "x-banyantrail-idempotent";

/// Entry node to owner node: the service and the backend server it chose.
inline constexpr std::string_view kServiceHeader = "x-banyantrail-service";
inline constexpr std::string_view kBackendServerHeader =
    "x-banyantrail-backend-server";

/// Entry node to owner node: a hash of a body that the owner node does not read
/// before it admits the request.
inline constexpr std::string_view kBodyHashHeader = "x-banyantrail-body-hash";

/// How many nodes a chain of nested calls has passed; carried by backend
/// servers from call to call.
inline constexpr std::string_view kDepthHeader = "x-banyantrail-depth";

/// Caller to entry node: the key under which an order may be sent again.
inline constexpr std::string_view kIdempotencyKeyHeader = "idempotency-key";

/// On each answer the system itself makes: "not-run" or "outcome-unknown".
inline constexpr std::string_view kOutcomeHeader = "x-banyantrail-outcome";
inline constexpr std::string_view kOutcomeNotRun = "not-run";
inline constexpr std::string_view kOutcomeUnknown = "outcome-unknown";

/// On each refusal: the typed reason, as counted in the metrics.
inline constexpr std::string_view kReasonHeader = "x-banyantrail-reason";

/// Owner node to entry node, on every answer: requests in flight and the
/// current limit, as "in_flight/limit".
inline constexpr std::string_view kLoadHeader = "x-banyantrail-load";

}  // namespace banyantrail
