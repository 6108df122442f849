#include "banyantrail/config/host_name.h"

#include <algorithm>

namespace banyantrail {
namespace {

/// An IPv6 address stands in brackets and contains colons itself.
std::string_view WithoutPort(std::string_view host) {
  const std::size_t bracket = host.starts_with('[') ? host.find(']') : 0;
  return host.substr(0, host.find(':', bracket));
}

char ToLower(char c) {
  return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c;
}

}  // namespace

std::string NormalizedHost(std::string_view host) {
  std::string name(WithoutPort(host));
  std::ranges::transform(name, name.begin(), ToLower);
  return name;
}

}  // namespace banyantrail
