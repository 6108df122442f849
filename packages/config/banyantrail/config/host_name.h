#pragma once

#include <string>
#include <string_view>

namespace banyantrail {

/// The form in which hosts are compared: in lower case and without a port.
/// `host` is the value of a Host header or a declared host.
std::string NormalizedHost(std::string_view host);

}  // namespace banyantrail
