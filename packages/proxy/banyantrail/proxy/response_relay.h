#pragma once

#include <vector>

#include "banyantrail/proxy/attempt.h"

namespace banyantrail {

/// Buffer size for a response body. A response up to this size is read
/// completely before any of it is forwarded, so that an error response can
/// still replace one that breaks off.
inline constexpr std::size_t kRelayBufferBytes = 64U << 10U;

/// The part of a response body that was read but not yet forwarded.
struct BodyBuffer {
  std::vector<char> bytes;
  std::size_t size = 0;
};

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

/// Reads until the buffer is full or the body has ended. Fails with a time-out
/// after the deadline: that of the stream does not fire while data is always
/// there.
asio::awaitable<boost::system::error_code> FillBuffer(Attempt& attempt,
                                                      BodyBuffer& buffer,
                                                      TimePoint deadline);

/// Forwards the response of an attempt to the downstream connection with the
/// given head. The body streams with back-pressure. `read_before` holds the
/// whole body if it was read already.
asio::awaitable<RelayOutcome> RelayResponse(Attempt& attempt,
                                            Downstream& downstream,
                                            http::response_header<> head,
                                            bool keep_alive,
                                            TimePoint deadline,
                                            BodyBuffer read_before = {});

}  // namespace banyantrail
