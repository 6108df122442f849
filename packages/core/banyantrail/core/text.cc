#include "banyantrail/core/text.h"

#include <algorithm>
#include <boost/locale/utf.hpp>
#include <nlohmann/json.hpp>

namespace banyantrail {
namespace {

using Utf8 = boost::locale::utf::utf_traits<char>;
using boost::locale::utf::code_point;

bool IsControl(code_point code) {
  constexpr code_point kFirstPrintable = 0x20;
  constexpr code_point kDelete = 0x7F;
  constexpr code_point kFirstAfterControls = 0xA0;
  return code < kFirstPrintable ||
         (code >= kDelete && code < kFirstAfterControls);
}

}  // namespace

bool IsPrintableId(std::string_view text) {
  if (text.empty() || text.size() > kMaxIdBytes) {
    return false;
  }
  const char* next = text.data();
  const char* const end = next + text.size();
  while (next != end) {
    const code_point code = Utf8::decode(next, end);
    if (!boost::locale::utf::is_valid_codepoint(code) || IsControl(code)) {
      return false;
    }
  }
  return true;
}

bool IsFieldValue(std::string_view text) {
  constexpr char kFirstPrintable = 0x20;
  constexpr char kDelete = 0x7F;
  if (text.empty() || text.starts_with(' ') || text.ends_with(' ')) {
    return false;
  }
  return std::ranges::none_of(text, [](char c) {
    const bool is_ascii = static_cast<unsigned char>(c) <= kDelete;
    return is_ascii && (c < kFirstPrintable || c == kDelete);
  });
}

std::string ToJsonText(const nlohmann::json& value) {
  return value.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

}  // namespace banyantrail
