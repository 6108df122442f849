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

/// Sends requests to a node and throws the same errors as NodeClient.
template <typename T>
concept ChangeSender = requires(T& sender, const std::string& text) {
  { sender.Post(text, text) } -> std::same_as<NodeResponse>;
};

struct SubmitOptions {
  int max_attempts = 6;
  /// Delay before the second attempt; doubled for each further attempt.
  milliseconds initial_delay{200};
};

namespace detail {

template <ChangeSender Sender>
PublishOutcome SendOnce(Sender& sender, const std::string& body) {
  try {
    const NodeResponse response = sender.Post("/v1/changes", body);
    return ParseChangeResponse(
        {.http_status = response.http_status, .body = response.body});
  } catch (const Error& error) {
    const bool is_unsent = error.kind() == ErrorKind::kNetwork;
    return {.status = is_unsent ? PublishStatus::kNotRun
                                : PublishStatus::kOutcomeUnknown,
            .message = error.message(),
            .remedy = error.remedy()};
  }
}

}  // namespace detail

/// Submits a change. While the outcome is unknown, submits it again with the
/// same change id: nodes accept an id only once, so that a retry reveals
/// whether the change was accepted and does not apply it twice. `sleep` is
/// called with the delay between attempts.
template <ChangeSender Sender, std::invocable<milliseconds> Sleep>
PublishOutcome SubmitChange(Sender& sender,
                            const ChangeProposal& proposal,
                            SubmitOptions options,
                            Sleep sleep) {
  const std::string body = ToJson(proposal).dump();
  milliseconds delay = options.initial_delay;
  PublishOutcome outcome = detail::SendOnce(sender, body);
  bool is_unknown = outcome.status == PublishStatus::kOutcomeUnknown;
  for (int attempt = 1; is_unknown && attempt < options.max_attempts;
       ++attempt) {
    sleep(delay);
    delay *= 2;
    outcome = detail::SendOnce(sender, body);
    // kNotRun describes this attempt only; an earlier one may have succeeded.
    is_unknown = outcome.status == PublishStatus::kOutcomeUnknown ||
                 outcome.status == PublishStatus::kNotRun;
  }
  if (is_unknown) {
    outcome.status = PublishStatus::kOutcomeUnknown;
  }
  return outcome;
}

}  // namespace banyantrail::ctl
