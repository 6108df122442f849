#pragma once

#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

namespace banyantrail {

namespace http = boost::beast::http;

/// Messages whose body is held in memory.
using HttpRequest = http::request<http::string_body>;
using HttpResponse = http::response<http::string_body>;

}  // namespace banyantrail
