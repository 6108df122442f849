#include "banyantrail/core/ip_endpoint.h"

#include <arpa/inet.h>

#include <array>
#include <charconv>

#include "banyantrail/core/errors.h"

namespace banyantrail {
namespace {

bool IsIpAddress(const std::string& address) {
  std::array<unsigned char, sizeof(in6_addr)> parsed{};
  return inet_pton(AF_INET, address.c_str(), parsed.data()) == 1 ||
         inet_pton(AF_INET6, address.c_str(), parsed.data()) == 1;
}

[[noreturn]] void ThrowInvalid(std::string_view text) {
  throw Error({.kind = ErrorKind::kInvalidSettings,
               .message = "'" + std::string(text) +
                          "' is not an IP address with a port",
               .remedy = "write it as 127.0.0.1:8080 or [::1]:8080"});
}

std::string StripBrackets(std::string_view address) {
  if (address.size() >= 2 && address.front() == '[' && address.back() == ']') {
    address = address.substr(1, address.size() - 2);
  }
  return std::string(address);
}

}  // namespace

IpEndpoint ParseIpEndpoint(std::string_view text) {
  const std::size_t colon = text.rfind(':');
  if (colon == std::string_view::npos) {
    ThrowInvalid(text);
  }
  IpEndpoint endpoint{.address = StripBrackets(text.substr(0, colon))};
  const std::string_view port = text.substr(colon + 1);
  const char* end = port.data() + port.size();
  const auto [parsed_end, error] =
      std::from_chars(port.data(), end, endpoint.port);
  const bool port_ok = error == std::errc() && parsed_end == end;
  if (!port_ok || !IsIpAddress(endpoint.address)) {
    ThrowInvalid(text);
  }
  return endpoint;
}

std::string ToString(const IpEndpoint& endpoint) {
  const bool is_v6 = endpoint.address.find(':') != std::string::npos;
  const std::string address =
      is_v6 ? "[" + endpoint.address + "]" : endpoint.address;
  return address + ":" + std::to_string(endpoint.port);
}

}  // namespace banyantrail
