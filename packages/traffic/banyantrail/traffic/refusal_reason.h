#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>

namespace banyantrail {

/// Why the proxy refused a request or returned an error of its own. The reason
/// header of the response and the metrics use the snake_case name.
enum class RefusalReason : std::uint8_t {
  // Refused before the request was routed.
  kMalformedRequest,
  kHeadTooLarge,
  kSlowSender,
  kTooManyConnections,
  kNoConfiguration,
  kNoRoute,
  kNoBackendServer,
  kRouteDisabled,
  kUnknownKey,
  kTeamDisabled,
  kKeyLeaseExpired,
  kTeamQuota,
  // Refused by the node that owns the backend server.
  kQueueFull,
  kDeadline,
  kDraining,
  kBackendServerDown,
  kQuarantined,
  kCancelled,
  kShedByBackendServer,
  kTeamShare,
  // Refused by the idempotency ledger. None of these proves "not run", because
  // an earlier attempt with the same idempotency key may have run.
  kLedgerUnavailable,
  kLedgerInDoubt,
  kAttemptInFlight,
  kAlreadyRan,
  kResultLost,
  // The attempt to reach a node or a backend server failed.
  kConnectFailed,
  kConnectionLost,
  kResponseTimeout,
  kResponseTruncated,
  kMalformedResponse,
};

/// Number of reasons; the size of arrays indexed by reason.
inline constexpr std::size_t kRefusalReasonCount =
    static_cast<std::size_t>(RefusalReason::kMalformedResponse) + 1;

/// Stable snake_case name of a reason.
std::string_view ToString(RefusalReason reason);

/// The inverse of ToString; returns nothing for an unknown name.
std::optional<RefusalReason> ParseRefusalReason(std::string_view name);

/// Whether the reason alone proves that no backend server ran the request. True
/// only for failures before the first byte was sent to a backend server, and if
/// the backend server itself reported that it shed the request.
bool ProvesNotRun(RefusalReason reason);

/// The reason to report for a request after several attempts: that of the last
/// one, unless it proves "not run" while an earlier attempt may have run.
/// `may_have_run` is the reason of such an earlier attempt, if any.
RefusalReason CombinedReason(std::optional<RefusalReason> may_have_run,
                             RefusalReason last);

/// One sentence that tells the caller how to handle the refusal.
std::string_view RemedyFor(RefusalReason reason);

}  // namespace banyantrail
