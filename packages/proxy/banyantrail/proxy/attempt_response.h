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

/// Reads the head of "100 Continue", or of a final response in its place.
/// Passes over other informational (1xx) ones.
asio::awaitable<boost::system::error_code> ReadContinueOrFinalHead(
    Attempt& attempt,
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
