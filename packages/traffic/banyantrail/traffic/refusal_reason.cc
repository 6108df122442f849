#include "banyantrail/traffic/refusal_reason.h"

#include <algorithm>

namespace banyantrail {

namespace {

struct ReasonInfo {
  std::string_view name;
  bool proves_not_run;
  std::string_view remedy;
};

constexpr std::string_view kResendLater = "Send the request again later.";
constexpr std::string_view kCheckOutcome =
    "Check whether the request took effect before sending it again.";
constexpr std::string_view kResendWithSameKey =
    "Send the request again under the same idempotency key to learn its "
    "outcome.";

/// In the order of the enumerators.
constexpr std::array<ReasonInfo, kRefusalReasonCount> kReasonInfos = {{
    {"malformed_request", true, "Correct the request's framing."},
    {"head_too_large", true, "Send fewer or shorter headers."},
    {"slow_sender", true, "Send the request headers without long pauses."},
    {"too_many_connections", true, "Reuse connections, or connect later."},
    {"no_configuration", true, kResendLater},
    {"no_route", true, "Declare a routing rule for this path and method."},
    {"no_backend_server", true, kResendLater},
    {"route_disabled", true, kResendLater},
    {"unknown_key", true, "Send a key of a declared team."},
    {"team_disabled", true, kResendLater},
    {"key_lease_expired", true, kResendLater},
    {"team_quota", true,
     "Send the request again after Retry-After, or raise the team's limit."},
    {"queue_full", true, kResendLater},
    {"deadline", true, "Allow a longer deadline, or send it again later."},
    {"draining", true, "Send the request to another node."},
    {"backend_server_down", true, kResendLater},
    {"quarantined", true,
     "Correct the request: it coincided with crashes of backend servers."},
    {"cancelled", true, "None: the caller cancelled the request."},
    {"shed_by_backend_server", true, kResendLater},
    {"team_share", true, "Send fewer requests of this team at a time."},
    {"ledger_unavailable", false, kResendWithSameKey},
    {"ledger_in_doubt", false, kResendWithSameKey},
    {"attempt_in_flight", false, kResendWithSameKey},
    {"already_ran", false, "None: the request ran; the status is recorded."},
    {"result_lost", false, kCheckOutcome},
    {"connect_failed", true, kResendLater},
    {"connection_lost", false, kCheckOutcome},
    {"answer_timeout", false, kCheckOutcome},
    {"answer_cut", false, kCheckOutcome},
    {"malformed_answer", false, kCheckOutcome},
}};

const ReasonInfo& InfoOf(RefusalReason reason) {
  return kReasonInfos.at(static_cast<std::size_t>(reason));
}

}  // namespace

std::string_view ToString(RefusalReason reason) {
  return InfoOf(reason).name;
}

std::optional<RefusalReason> ParseRefusalReason(std::string_view name) {
  const auto found = std::ranges::find(kReasonInfos, name, &ReasonInfo::name);
  if (found == kReasonInfos.end()) {
    return std::nullopt;
  }
  return static_cast<RefusalReason>(found - kReasonInfos.begin());
}

bool ProvesNotRun(RefusalReason reason) {
  return InfoOf(reason).proves_not_run;
}

RefusalReason CombinedReason(std::optional<RefusalReason> may_have_run,
                             RefusalReason last) {
  return may_have_run && ProvesNotRun(last) ? *may_have_run : last;
}

std::string_view RemedyFor(RefusalReason reason) {
  return InfoOf(reason).remedy;
}

}  // namespace banyantrail
