#pragma once

#include <string>
#include <string_view>

#include "banyantrail/net/http_types.h"
#include "banyantrail/proxy/connection.h"

namespace banyantrail {

/// What is known about a request that no backend server responded to.
enum class ExecutionOutcome {
  /// It is proven not to have run, and may be sent again.
  kNotRun,
  /// It may have run.
  kUnknown,
};

/// A response that the system itself makes instead of a backend server.
struct LocalReply {
  http::status status = http::status::service_unavailable;
  ExecutionOutcome outcome = ExecutionOutcome::kNotRun;
  /// Label of the refusal in the metrics, in snake_case.
  std::string reason;
  /// Advice for the caller.
  std::string remedy;
  /// Load of the backend server, for the entry node; empty when unknown.
  std::string load;
  /// Value of kMetadataHeader, for an entry node that understands it. The reply
  /// then has no other header of the system and no body.
  std::string metadata;
  /// Recorded HTTP status of an earlier run under the same idempotency key; 0
  /// if there is none.
  unsigned recorded_status = 0;
  /// Value of "Retry-After"; 0 for no such header.
  Duration retry_after{};
  /// Write `retry_after` as a decimal fraction instead of whole seconds.
  bool fractional_retry_after = false;
};

/// Builds the HTTP message.
HttpResponse BuildLocalReply(const LocalReply& reply);

/// Sends the message. If that fails, the connection is marked for closing.
asio::awaitable<void> SendLocalReply(Downstream& downstream,
                                     LocalReply reply,
                                     bool keep_alive);

}  // namespace banyantrail
