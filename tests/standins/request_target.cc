#include "standins/request_target.h"

#include <cctype>
#include <charconv>

namespace banyantrail::standins {
namespace {

constexpr int kHexBase = 16;

std::string PercentDecode(std::string_view text) {
  std::string decoded;
  for (std::size_t i = 0; i < text.size(); ++i) {
    unsigned char byte = 0;
    if (text[i] == '%' && i + 2 < text.size()) {
      const char* digits = text.data() + i + 1;
      const auto parsed = std::from_chars(digits, digits + 2, byte, kHexBase);
      if (parsed.ptr == digits + 2) {
        decoded.push_back(static_cast<char>(byte));
        i += 2;
        continue;
      }
    }
    decoded.push_back(text[i]);
  }
  return decoded;
}

}  // namespace

RequestTarget ParseRequestTarget(std::string_view target) {
  RequestTarget parsed;
  const std::size_t mark = target.find('?');
  parsed.path = PercentDecode(target.substr(0, mark));
  if (mark == std::string_view::npos) {
    return parsed;
  }
  std::string_view rest = target.substr(mark + 1);
  while (!rest.empty()) {
    const std::string_view pair = rest.substr(0, rest.find('&'));
    rest.remove_prefix(std::min(rest.size(), pair.size() + 1));
    const std::size_t equals = pair.find('=');
    const std::string_view value =
        equals == std::string_view::npos ? "" : pair.substr(equals + 1);
    parsed.query[PercentDecode(pair.substr(0, equals))] = PercentDecode(value);
  }
  return parsed;
}

std::uint64_t QueryNumber(const RequestTarget& target,
                          const std::string& name,
                          std::uint64_t fallback) {
  const auto found = target.query.find(name);
  if (found == target.query.end()) {
    return fallback;
  }
  const std::string& text = found->second;
  std::uint64_t number = 0;
  const char* end = text.data() + text.size();
  const auto parsed = std::from_chars(text.data(), end, number);
  return parsed.ptr == end && !text.empty() ? number : fallback;
}

std::string EncodeQueryValue(std::string_view text) {
  constexpr std::string_view kHexDigits = "0123456789ABCDEF";
  std::string encoded;
  for (const char c : text) {
    const auto byte = static_cast<unsigned char>(c);
    if (std::isalnum(byte) != 0 || c == '-' || c == '.' || c == '_') {
      encoded.push_back(c);
      continue;
    }
    encoded.push_back('%');
    encoded.push_back(kHexDigits[byte >> 4U]);
    encoded.push_back(kHexDigits[byte & 0x0FU]);
  }
  return encoded;
}

}  // namespace banyantrail::standins
