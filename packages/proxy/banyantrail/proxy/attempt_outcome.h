#pragma once

#include "banyantrail/proxy/attempt.h"
#include "banyantrail/traffic/load_table.h"
#include "banyantrail/traffic/refusal_reason.h"

namespace banyantrail {

// What an attempt of the entry node to send a request to an owner node tells
// about the request and about the endpoint.

/// Whether the owner node made the response itself.
bool IsLocalReply(const Attempt& attempt);

/// Whether the response is that of a backend server.
bool IsBackendResponse(const Attempt& attempt);

/// Why an attempt brought no response from a backend server.
RefusalReason ReasonOf(const Attempt& attempt);

/// Whether the owner node had no capacity before the deadline. False for
/// kTeamShare: the owner node may have capacity for other teams.
bool IsOverload(RefusalReason reason);

/// Whether the request may have reached a backend server.
bool MayHaveReachedBackendServer(const Attempt& attempt);

/// The load that the owner node reported with its response.
std::optional<ReportedLoad> LoadOf(const Attempt& attempt);

/// The share of requests that the backend server fails, as its owner node
/// reports it: 0 if it reports none. Empty if the response is not that of a
/// backend server.
std::optional<double> FailureShareOf(const Attempt& attempt);

/// The result for the statistics of the endpoint. `latency` is the duration of
/// the attempt.
EndpointResult ResultOf(const Attempt& attempt, Duration latency);

}  // namespace banyantrail
