#pragma once

#include <cstdint>
#include <string_view>

#include "banyantrail/proxy/inbound_request.h"

namespace banyantrail {

/// Requests with a longer head are not read ahead.
inline constexpr std::size_t kMaxReadAheadHeadBytes = 4096;

/// What the bytes of a connection that are already buffered begin with.
enum class BufferedContent {
  /// Not enough bytes to tell.
  kIncomplete,
  /// A complete small head of a request without a body.
  kRequest,
  /// Anything else, such as a body, a large head or a malformed one.
  kOther,
};

struct BufferedRequest {
  BufferedContent content = BufferedContent::kIncomplete;
  /// Valid for kRequest.
  InboundRequest request;
  /// Its `bytes` are those of the request in the buffer.
  HeadText text;
};

/// Parses the first request of the buffered bytes without removing them.
BufferedRequest ParseBufferedRequest(std::string_view buffered,
                                     std::uint32_t max_header_bytes);

}  // namespace banyantrail
