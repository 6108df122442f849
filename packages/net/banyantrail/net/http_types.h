#pragma once

#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>
#include <cstddef>

namespace banyantrail {

namespace http = boost::beast::http;

/// Messages whose body is held in memory.
using HttpRequest = http::request<http::string_body>;
using HttpResponse = http::response<http::string_body>;

/// Most bytes of a message that a connection holds before they are parsed,
/// beyond the limit of its head. Beast has no limit of its own for the line of
/// a chunk's size or for a trailer, and would wait for its end for ever.
inline constexpr std::size_t kMaxUnparsedBytes = 64U << 10U;

/// Informational responses (1xx) after which a response counts as malformed.
inline constexpr int kMaxInformationalResponses = 16;

/// Whether the status of a response is 1xx. Beast 1.74 does not know all of
/// these codes, such as 103, and has no class for those.
inline bool IsInformational(unsigned status) {
  constexpr unsigned kCodesPerClass = 100;
  return status / kCodesPerClass == 1;
}

}  // namespace banyantrail
