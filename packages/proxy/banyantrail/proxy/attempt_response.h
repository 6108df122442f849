#pragma once

#include <string_view>

#include "banyantrail/proxy/attempt.h"
#include "banyantrail/wire/edge_dialect.h"

namespace banyantrail {

// How an attempt reads responses from its connection. Each function returns an
// error of the connection or of the HTTP library; after one the connection
// cannot be used any more.

/// What identifies the response to a request.
struct ExpectedResponse {
  std::string_view request_id;
  const EdgeDialect* dialect = nullptr;
};

/// Reads the next response head, which may be an informational (1xx) one.
asio::awaitable<boost::system::error_code> ReadResponseHead(Attempt& attempt,
                                                            http::verb method);

/// Reads responses until one matches the request. A server may have sent
/// duplicate responses to earlier requests on the connection.
asio::awaitable<boost::system::error_code> ReadMatchingResponseHead(
    Attempt& attempt,
    http::verb method,
    ExpectedResponse expected);

/// Reads and discards the rest of a response. Fails with bad_status if only the
/// end of the connection ends it, and with body_limit if it is too long.
asio::awaitable<boost::system::error_code> DiscardResponseBody(
    Attempt& attempt);

}  // namespace banyantrail
