#pragma once

#include <vector>

#include "banyantrail/proxy/attempt.h"
#include "banyantrail/proxy/link_gate.h"

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

/// Reads until the buffer holds `capacity` bytes or the body has ended. Fails
/// with a time-out after the deadline: that of the stream does not fire while
/// data is always there. Fails with connection_reset if the body ends with a
/// connection that is known to be lost.
asio::awaitable<boost::system::error_code> FillBuffer(Attempt& attempt,
                                                      BodyBuffer& buffer,
                                                      std::size_t capacity,
                                                      TimePoint deadline);

/// What the caller of RelayResponse knows of the response.
struct RelayOptions {
  /// The whole body if it was read already.
  BodyBuffer read_before = {};
  /// With it, a large body is sent in slices that wait for their turn. Null if
  /// the response uses no low-bandwidth link.
  const LinkUse* link = nullptr;
};

/// Forwards the response of an attempt to the downstream connection with the
/// given head. The body streams with back-pressure.
asio::awaitable<RelayOutcome> RelayResponse(Attempt& attempt,
                                            Downstream& downstream,
                                            http::response_header<> head,
                                            bool keep_alive,
                                            TimePoint deadline,
                                            RelayOptions options = {});

}  // namespace banyantrail
