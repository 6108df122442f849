#pragma once

#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

namespace banyantrail {

namespace http = boost::beast::http;

/// Messages whose body is held in memory.
using HttpRequest = http::request<http::string_body>;
using HttpResponse = http::response<http::string_body>;

/// Whether the status of a response is 1xx. Beast 1.74 does not know all of
/// these codes, such as 103, and has no class for those.
inline bool IsInformational(unsigned status) {
  constexpr unsigned kCodesPerClass = 100;
  return status / kCodesPerClass == 1;
}

}  // namespace banyantrail
