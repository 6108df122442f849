#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace banyantrail::standins {

/// The parts of an HTTP request target, percent-decoded.
struct RequestTarget {
  std::string path;
  std::map<std::string, std::string> query;

  friend bool operator==(const RequestTarget&, const RequestTarget&) = default;
};

/// Parses a target such as "/path?a=1&b=2".
RequestTarget ParseRequestTarget(std::string_view target);

/// A query parameter as a number, or `fallback` if it is absent or not a
/// number.
std::uint64_t QueryNumber(const RequestTarget& target,
                          const std::string& name,
                          std::uint64_t fallback);

/// Percent-encodes text for use as a query value.
std::string EncodeQueryValue(std::string_view text);

}  // namespace banyantrail::standins
