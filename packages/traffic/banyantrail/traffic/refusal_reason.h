#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>

namespace banyantrail {

/// Why the system itself answered a request. Each reason has a counter in the
/// metrics under its snake_case name, and the answer's reason header carries
/// the same name.
enum class RefusalReason : std::uint8_t {
  // Refused before the request was routed.
  kMalformedRequest,
  kHeadTooLarge,
  kSlowSender,
  kTooManyConnections,
  kNoConfiguration,
  kNoRoute,
  kNoBackendServer,
  // Refused by the node that owns the backend server.
  kQueueFull,
  kDeadline,
  kDraining,
  kBackendServerDown,
  kQuarantined,
  kCancelled,
  kShedByBackendServer,
  // Refused by the once-only ledger. None of them proves "not run": nobody
  // knows
  // then whether an earlier attempt under the same idempotency key ran.
  kLedgerUnavailable,
  kLedgerInDoubt,
  kAttemptInFlight,
  kAlreadyRan,
  kResultLost,
  // The attempt to reach a node or a backend server failed.
  kConnectFailed,
  kConnectionLost,
  kAnswerTimeout,
  kAnswerCut,
  kMalformedAnswer,
};

/// Number of reasons, for arrays of counters.
inline constexpr std::size_t kRefusalReasonCount =
    static_cast<std::size_t>(RefusalReason::kMalformedAnswer) + 1;

/// Stable snake_case name of a reason.
std::string_view ToString(RefusalReason reason);

/// The inverse of ToString; empty for any other text.
std::optional<RefusalReason> ParseRefusalReason(std::string_view name);

/// Whether the reason alone proves that no backend server ran the request.
/// True only for refusals that precede the first byte sent to a backend server,
/// and for a backend server's own statement that it shed the request.
bool ProvesNotRun(RefusalReason reason);

/// The reason to give for a request after several attempts: the last one,
/// unless an earlier attempt may have run and the last alone would deny it.
/// `may_have_run` is the reason of such an attempt, if there was one.
RefusalReason ReasonForAll(std::optional<RefusalReason> may_have_run,
                           RefusalReason last);

/// One sentence for the caller: what it can do about the refusal.
std::string_view RemedyFor(RefusalReason reason);

}  // namespace banyantrail
