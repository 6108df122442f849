#pragma once

#include <boost/beast/http/message.hpp>
#include <boost/system/error_code.hpp>

#include "banyantrail/net/http_types.h"

namespace banyantrail {

/// Checks what Beast's parser accepts in the head of a response although it
/// makes the response unusable. Returns
/// - bad_status if the status is not in the range 100 to 599 (RFC 9110,
///   section 15);
/// - bad_transfer_encoding if the body has another transfer coding than chunks,
///   so that its bytes are not those of the content.
boost::system::error_code CheckResponseHead(
    const http::response_header<>& head);

}  // namespace banyantrail
