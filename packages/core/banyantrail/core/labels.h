#pragma once

#include <map>
#include <string>

namespace banyantrail {

/// Key-value pairs attached to services, proxies and backend servers. Selectors
/// match those of proxies.
using Labels = std::map<std::string, std::string>;

}  // namespace banyantrail
