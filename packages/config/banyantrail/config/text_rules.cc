#include "banyantrail/config/text_rules.h"

#include <algorithm>

namespace banyantrail {
namespace {

constexpr std::size_t kMaxMethodBytes = 32;
constexpr std::size_t kDigestHexDigits = 64;
constexpr std::string_view kPathPunctuation = "-._~!$&'()*+,;=:@";

bool IsDigit(char c) {
  return c >= '0' && c <= '9';
}

bool IsUpper(char c) {
  return c >= 'A' && c <= 'Z';
}

bool IsAlphanumeric(char c) {
  return IsDigit(c) || IsUpper(c) || (c >= 'a' && c <= 'z');
}

bool IsControl(char c) {
  return static_cast<unsigned char>(c) < 0x20 || c == 0x7F;
}

bool IsIdentifierWith(std::string_view text, std::string_view punctuation) {
  if (text.empty() || text.size() > kMaxNameBytes || !IsAlphanumeric(text[0])) {
    return false;
  }
  return std::ranges::all_of(text, [&](char c) {
    return IsAlphanumeric(c) || punctuation.find(c) != std::string_view::npos;
  });
}

bool IsName(std::string_view text) {
  return IsIdentifierWith(text, "._-");
}

bool IsLabelKey(std::string_view text) {
  return IsIdentifierWith(text, "._/-");
}

bool IsLabelValue(std::string_view text) {
  return text.size() <= kMaxLabelValueBytes &&
         std::ranges::none_of(text, IsControl);
}

bool IsMethod(std::string_view text) {
  return !text.empty() && text.size() <= kMaxMethodBytes &&
         std::ranges::all_of(text, IsUpper);
}

bool IsPathSegment(std::string_view segment) {
  if (segment.empty() || segment == "." || segment == "..") {
    return false;
  }
  return std::ranges::all_of(segment, [](char c) {
    return IsAlphanumeric(c) ||
           kPathPunctuation.find(c) != std::string_view::npos;
  });
}

bool IsPathPrefix(std::string_view text) {
  if (text == "/") {
    return true;
  }
  if (text.empty() || text.size() > kMaxPathPrefixBytes || text[0] != '/') {
    return false;
  }
  while (!text.empty()) {
    text.remove_prefix(1);
    if (text.empty()) {
      break;  // A trailing slash is allowed: only paths below it match.
    }
    const std::size_t end = std::min(text.find('/'), text.size());
    if (!IsPathSegment(text.substr(0, end))) {
      return false;
    }
    text.remove_prefix(end);
  }
  return true;
}

bool IsHost(std::string_view text) {
  return text.size() <= kMaxNameBytes && std::ranges::none_of(text, IsUpper) &&
         std::ranges::all_of(text, [](char c) {
           return IsAlphanumeric(c) || c == '.' || c == '-' || c == '_';
         });
}

bool IsFreeText(std::string_view text) {
  return text.size() <= kMaxFreeTextBytes;
}

bool IsExpression(std::string_view text) {
  return !text.empty() && IsFreeText(text);
}

bool IsDigest(std::string_view text) {
  return text.size() == kDigestHexDigits &&
         std::ranges::all_of(
             text, [](char c) { return IsDigit(c) || (c >= 'a' && c <= 'f'); });
}

bool IsObjectKey(std::string_view text) {
  const std::size_t slash = text.find('/');
  return slash != std::string_view::npos && IsName(text.substr(0, slash)) &&
         IsName(text.substr(slash + 1));
}

}  // namespace

const TextRule kNameRule{
    IsName,
    "1 to 128 letters, digits, '.', '_' or '-', the first a letter or digit"};
const TextRule kLabelKeyRule{IsLabelKey,
                             "1 to 128 letters, digits, '.', '_', '/' or '-', "
                             "the first a letter or digit"};
const TextRule kLabelValueRule{IsLabelValue,
                               "at most 256 bytes without control characters"};
const TextRule kMethodRule{IsMethod,
                           "an HTTP method in capital letters, such as GET"};
const TextRule kPathPrefixRule{
    IsPathPrefix,
    "an absolute path of at most 1024 bytes such as /orders, without '%', "
    "empty or dot segments, or query"};
const TextRule kHostRule{IsHost, "a host name in lower case without a port"};
const TextRule kExpressionRule{IsExpression, "1 to 16384 bytes"};
const TextRule kFreeTextRule{IsFreeText, "at most 16384 bytes"};
const TextRule kLineRule = kLabelValueRule;
const TextRule kDigestRule{IsDigest, "a SHA-256 in lower-case hexadecimal"};
const TextRule kObjectKeyRule{IsObjectKey, "a key such as service/orders"};

}  // namespace banyantrail
