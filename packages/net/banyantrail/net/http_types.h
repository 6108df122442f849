#pragma once

#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

namespace banyantrail {

namespace http = boost::beast::http;

/// A request or answer whose body is small enough to be held whole.
using HttpRequest = http::request<http::string_body>;
using HttpResponse = http::response<http::string_body>;

}  // namespace banyantrail
