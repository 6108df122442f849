#pragma once

#include "banyantrail/proxy/attempt.h"
#include "banyantrail/proxy/link_gate.h"

namespace banyantrail {

/// How the relay of a response ended.
enum class RelayOutcome {
  /// The whole response was forwarded.
  kComplete,
  /// Reading the response failed before any of it was forwarded. The caller can
  /// still get an error response.
  kNothingSent,
  /// The response broke off after part of it was forwarded. The caller's
  /// connection was closed in the middle of the message, so that the caller
  /// cannot mistake the part for a complete response.
  kTruncated,
  /// Writing to the caller failed.
  kCallerDisconnected,
};

/// Forwards the response of an attempt to the downstream connection with the
/// given head. The body streams with back-pressure. With `link`, a large body
/// is sent in slices that wait for their turn; null if the response uses no
/// low-bandwidth link.
asio::awaitable<RelayOutcome> RelayResponse(Attempt& attempt,
                                            Downstream& downstream,
                                            http::response_header<> head,
                                            bool keep_alive,
                                            TimePoint deadline,
                                            const LinkUse* link = nullptr);

}  // namespace banyantrail
