#pragma once

#include "banyantrail/proxy/attempt.h"

namespace banyantrail {

/// How the relay of an answer ended.
enum class RelayOutcome {
  /// The whole answer was passed on.
  kWhole,
  /// Nothing was passed on: the answer's framing does not show where it ends,
  /// or it broke before its first byte. The caller can still be told so.
  kNothingSent,
  /// The answer broke off midway. The caller's connection was closed in the
  /// middle of the message, so that it cannot take the part for the whole.
  kCut,
  /// The caller stopped to read.
  kCallerGone,
};

/// Passes the answer of an attempt on to the downstream connection, with the
/// given head. Both bodies stream with back-pressure.
asio::awaitable<RelayOutcome> RelayAnswer(Attempt& attempt,
                                          Downstream& downstream,
                                          http::response_header<> head,
                                          bool keep_alive,
                                          TimePoint deadline);

}  // namespace banyantrail
