#pragma once

#include <map>
#include <string>

namespace banyantrail {

/// Key-value pairs that operators attach to services, proxies and backend
/// servers, and that selectors match.
using Labels = std::map<std::string, std::string>;

}  // namespace banyantrail
