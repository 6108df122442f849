#pragma once

#include <compare>
#include <cstdint>
#include <msgpack.hpp>
#include <string>
#include <string_view>

namespace banyantrail {

/// An IP address and a port. Host names are not supported.
struct IpEndpoint {
  std::string address;
  std::uint16_t port = 0;

  // clang-tidy 14 mistakes a defaulted comparison for a null pointer constant.
  // NOLINTNEXTLINE(modernize-use-nullptr)
  friend auto operator<=>(const IpEndpoint&, const IpEndpoint&) = default;
  friend bool operator==(const IpEndpoint&, const IpEndpoint&) = default;

  MSGPACK_DEFINE(address, port)
};

/// Parses "127.0.0.1:8080" or "[::1]:8080". Throws Error{kInvalidSettings}.
IpEndpoint ParseIpEndpoint(std::string_view text);

/// The inverse of ParseIpEndpoint.
std::string ToString(const IpEndpoint& endpoint);

}  // namespace banyantrail
