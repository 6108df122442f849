#pragma once

#include <string>

#include "banyantrail/net/http_types.h"

namespace banyantrail {

/// Serializes a head, including the empty line at its end. Writing the text in
/// one piece is much faster than with the serializers of Boost.Beast, which
/// emit the fields one by one.
std::string SerializeHead(const http::request_header<>& head);
std::string SerializeHead(const http::response_header<>& head);

}  // namespace banyantrail
