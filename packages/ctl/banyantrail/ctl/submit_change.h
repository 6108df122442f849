#pragma once

#include <concepts>
#include <string>
#include <utility>

#include "banyantrail/config/change.h"
#include "banyantrail/config/publish_outcome.h"
#include "banyantrail/core/clock.h"
#include "banyantrail/core/errors.h"
#include "banyantrail/ctl/node_client.h"

namespace banyantrail::ctl {

/// What sends a proposal to a node; throws as NodeClient does.
template <typename T>
concept ChangeSender = requires(T& sender, const std::string& text) {
  { sender.Post(text, text) } -> std::same_as<NodeAnswer>;
};

struct SubmitOptions {
  int max_attempts = 6;
  /// Before the second attempt; doubles for each further one.
  milliseconds first_delay{200};
};

namespace detail {

template <ChangeSender Sender>
PublishOutcome SendOnce(Sender& sender, const std::string& body) {
  try {
    const NodeAnswer answer = sender.Post("/v1/changes", body);
    return ParseChangeResponse(
        {.http_status = answer.http_status, .body = answer.body});
  } catch (const Error& error) {
    const bool is_unsent = error.kind() == ErrorKind::kNetwork;
    return {.status = is_unsent ? PublishStatus::kNotRun
                                : PublishStatus::kOutcomeUnknown,
            .message = error.message(),
            .remedy = error.remedy()};
  }
}

}  // namespace detail

/// Sends a change. While its outcome is unknown, sends it again under the same
/// id, which settles whether it was accepted and never makes a second change.
/// `sleep` waits for the given duration between attempts.
template <ChangeSender Sender, std::invocable<milliseconds> Sleep>
PublishOutcome SubmitChange(Sender& sender,
                            const ChangeProposal& proposal,
                            SubmitOptions options,
                            Sleep sleep) {
  const std::string body = ToJson(proposal).dump();
  milliseconds delay = options.first_delay;
  PublishOutcome outcome = detail::SendOnce(sender, body);
  bool is_unknown = outcome.status == PublishStatus::kOutcomeUnknown;
  for (int attempt = 1; is_unknown && attempt < options.max_attempts;
       ++attempt) {
    sleep(delay);
    delay *= 2;
    outcome = detail::SendOnce(sender, body);
    // A refusal says nothing about the earlier attempt.
    is_unknown = outcome.status == PublishStatus::kOutcomeUnknown ||
                 outcome.status == PublishStatus::kNotRun;
  }
  if (is_unknown) {
    outcome.status = PublishStatus::kOutcomeUnknown;
  }
  return outcome;
}

}  // namespace banyantrail::ctl
