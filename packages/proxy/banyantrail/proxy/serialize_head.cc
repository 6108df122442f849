#include "banyantrail/proxy/serialize_head.h"

#include "banyantrail/net/asio.h"

namespace banyantrail {
namespace {

constexpr std::size_t kTypicalHeadBytes = 512;
constexpr const char* kLineEnd = "\r\n";

void Append(std::string& text, beast::string_view part) {
  text.append(part.data(), part.size());
}

void AppendFields(std::string& text, const http::fields& fields) {
  for (const auto& field : fields) {
    Append(text, field.name_string());
    // No space behind the last byte: the head may be as long as is allowed.
    text += field.value().empty() ? ":" : ": ";
    Append(text, field.value());
    text += kLineEnd;
  }
  text += kLineEnd;
}

}  // namespace

std::string SerializeHead(const http::request_header<>& head) {
  std::string text;
  text.reserve(kTypicalHeadBytes);
  Append(text, head.method_string());
  text += ' ';
  Append(text, head.target());
  text += " HTTP/1.1\r\n";
  AppendFields(text, head);
  return text;
}

std::string SerializeHead(const http::response_header<>& head) {
  std::string text;
  text.reserve(kTypicalHeadBytes);
  text += "HTTP/1.1 ";
  text += std::to_string(head.result_int());
  text += ' ';
  Append(text, head.reason());
  text += kLineEnd;
  AppendFields(text, head);
  return text;
}

}  // namespace banyantrail
