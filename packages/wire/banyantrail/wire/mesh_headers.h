#pragma once

#include <string_view>

namespace banyantrail {

/// Prefix of the headers that nodes exchange. Headers with this prefix are
/// removed from callers' requests, except the deadline and the depth.
inline constexpr std::string_view kInternalHeaderPrefix = "x-banyantrail-";

/// Entry node to owner node: a RequestMetadata. Owner node to entry node, on
/// responses to such requests: requests in flight, the current concurrency
/// limit and the service time in milliseconds, as
/// "in_flight/limit/service_time", followed by a semicolon and the reason if
/// the owner node refused the request. Short, because it goes with every
/// request.
inline constexpr std::string_view kMetadataHeader = "x-bt";

// Nodes of mesh version 0 use the headers below, up to the body hash, in place
// of kMetadataHeader.

/// Caller to entry node, entry node to owner node, owner node to backend
/// server: milliseconds that the sender will still wait. A duration instead of
/// a point in time, because the clocks of machines differ.
inline constexpr std::string_view kDeadlineHeader = "x-banyantrail-deadline-ms";

/// Entry node to owner node: the service on the entry node's VM, where the
/// request originated.
inline constexpr std::string_view kCallerServiceHeader =
    "x-banyantrail-caller-service";

/// Entry node to owner node: milliseconds left of the target latency, within
/// which a response has its full value; 0 when that time has passed. Absent
/// when no target latency is declared.
inline constexpr std::string_view kTargetLatencyHeader =
    "x-banyantrail-target-ms";

/// Entry node to owner node: "1" for a nested call, made by a backend server
/// while it runs another request.
inline constexpr std::string_view kNestedCallHeader = "x-banyantrail-call";

/// Entry node to owner node: the routing rule that matched.
inline constexpr std::string_view kRoutingRuleHeader = "x-banyantrail-rule";

/// Entry node to owner node: the priority of the declared rank, 0 for the most
/// urgent.
inline constexpr std::string_view kPriorityHeader = "x-banyantrail-priority";

/// Entry node to owner node: "1" when the route is declared idempotent.
inline constexpr std::string_view kIdempotentHeader =
    "x-banyantrail-idempotent";

/// Entry node to owner node: the requested service and the backend server that
/// the entry node chose.
inline constexpr std::string_view kServiceHeader = "x-banyantrail-service";
inline constexpr std::string_view kBackendServerHeader =
    "x-banyantrail-backend-server";

/// Entry node to owner node: a hash of a large body, which the owner node does
/// not read before it admits the request.
inline constexpr std::string_view kBodyHashHeader = "x-banyantrail-body-hash";

/// Number of nodes that a chain of nested calls has passed. Backend servers
/// copy it to the calls that they make.
inline constexpr std::string_view kDepthHeader = "x-banyantrail-depth";

/// Caller to entry node: the idempotency key, under which the caller may send
/// the request again.
inline constexpr std::string_view kIdempotencyKeyHeader = "idempotency-key";

/// On each response made by the mesh itself: "not-run" or "outcome-unknown".
inline constexpr std::string_view kOutcomeHeader = "x-banyantrail-outcome";
inline constexpr std::string_view kOutcomeNotRun = "not-run";
inline constexpr std::string_view kOutcomeUnknown = "outcome-unknown";

/// On each refusal: its reason, as counted in the metrics.
inline constexpr std::string_view kReasonHeader = "x-banyantrail-reason";

/// Owner node to entry node, on every response to a node of mesh version 0:
/// requests in flight and the
/// current concurrency limit, as "in_flight/limit".
inline constexpr std::string_view kLoadHeader = "x-banyantrail-load";

/// Owner node to entry node: the percentage of recent requests that the backend
/// server failed, if it is worth avoiding. A header of its own, because entry
/// nodes of an older build do not accept further fields in kMetadataHeader.
inline constexpr std::string_view kFailurePercentHeader =
    "x-banyantrail-failure-percent";

}  // namespace banyantrail
