#pragma once

#include <string>

#include "banyantrail/net/http_types.h"

namespace banyantrail {

/// The bytes of a head, its closing empty line included. Writing them at once
/// takes far less time than the parser library's serializers, which walk the
/// fields piece by piece.
std::string HeadText(const http::request_header<>& head);
std::string HeadText(const http::response_header<>& head);

}  // namespace banyantrail
