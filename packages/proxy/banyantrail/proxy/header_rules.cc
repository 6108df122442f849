#include "banyantrail/proxy/header_rules.h"

#include <array>
#include <boost/beast/core/string.hpp>
#include <boost/beast/http/rfc7230.hpp>
#include <charconv>
#include <string>
#include <vector>

#include "banyantrail/wire/mesh_headers.h"

namespace banyantrail {
namespace {

boost::beast::string_view ToBeast(std::string_view text) {
  return {text.data(), text.size()};
}

std::string_view FromBeast(boost::beast::string_view text) {
  return {text.data(), text.size()};
}

bool StartsWithIgnoringCase(std::string_view text, std::string_view prefix) {
  return text.size() >= prefix.size() &&
         boost::beast::iequals(ToBeast(text.substr(0, prefix.size())),
                               ToBeast(prefix));
}

bool HasUnsupportedTransferEncoding(const http::fields& fields) {
  const auto value = fields[http::field::transfer_encoding];
  return !value.empty() && !boost::beast::iequals(value, "chunked");
}

void EraseFieldsWithPrefix(http::fields& fields,
                           std::string_view prefix,
                           const auto& is_exempt) {
  std::vector<std::string> names;
  for (const auto& field : fields) {
    const std::string_view name = FromBeast(field.name_string());
    if (StartsWithIgnoringCase(name, prefix) && !is_exempt(name)) {
      names.emplace_back(name);
    }
  }
  for (const std::string& name : names) {
    fields.erase(name);
  }
}

bool EqualsIgnoringCase(std::string_view a, std::string_view b) {
  return boost::beast::iequals(ToBeast(a), ToBeast(b));
}

}  // namespace

std::optional<HeadRefusal> CheckRequestHead(const http::request_header<>& head,
                                            const HeadText& text) {
  constexpr unsigned kHttp11 = 11;
  if (head.version() != kHttp11) {
    return HeadRefusal{http::status::http_version_not_supported,
                       "http_version"};
  }
  if (text.has_folded_line || HasUnsupportedTransferEncoding(head) ||
      head.count(http::field::transfer_encoding) > 1) {
    return HeadRefusal{http::status::bad_request, "ambiguous_framing"};
  }
  if (head.count(http::field::host) != 1) {
    return HeadRefusal{http::status::bad_request, "host_field"};
  }
  if (head.method() == http::verb::connect ||
      head.method() == http::verb::unknown) {
    return HeadRefusal{http::status::not_implemented, "method"};
  }
  if (head.target().empty() || head.target().front() != '/') {
    return HeadRefusal{http::status::bad_request, "target"};
  }
  return std::nullopt;
}

void StripHopByHopFields(http::fields& fields) {
  constexpr std::array kHopByHop = {
      http::field::connection,        http::field::keep_alive,
      http::field::proxy_connection,  http::field::te,
      http::field::trailer,           http::field::upgrade,
      http::field::transfer_encoding, http::field::expect,
      http::field::proxy_authenticate};
  std::vector<std::string> connection_options;
  for (const auto& field : fields) {
    if (field.name() == http::field::connection) {
      for (const auto& token : http::token_list(field.value())) {
        connection_options.emplace_back(token);
      }
    }
  }
  for (const std::string& name : connection_options) {
    fields.erase(name);
  }
  for (const http::field field : kHopByHop) {
    fields.erase(field);
  }
}

void StripInternalFields(http::fields& fields, const EdgeDialect& dialect) {
  fields.erase(ToBeast(kMetadataHeader));
  EraseFieldsWithPrefix(fields, kInternalHeaderPrefix,
                        [&dialect](std::string_view name) {
                          return EqualsIgnoringCase(name, dialect.deadline) ||
                                 EqualsIgnoringCase(name, kDepthHeader);
                        });
}

void StripInternalResponseFields(http::fields& fields, bool is_local_reply) {
  fields.erase(ToBeast(kMetadataHeader));
  EraseFieldsWithPrefix(
      fields, kInternalHeaderPrefix, [is_local_reply](std::string_view name) {
        return is_local_reply && (EqualsIgnoringCase(name, kOutcomeHeader) ||
                                  EqualsIgnoringCase(name, kReasonHeader));
      });
}

std::optional<std::uint32_t> NumberField(const http::fields& fields,
                                         std::string_view name) {
  constexpr std::size_t kMaxDigits = 9;
  const std::string_view value = FieldValue(fields, name);
  if (value.empty() || value.size() > kMaxDigits) {
    return std::nullopt;
  }
  std::uint32_t number = 0;
  const char* end = value.data() + value.size();
  const auto [parsed_end, error] = std::from_chars(value.data(), end, number);
  if (error != std::errc() || parsed_end != end) {
    return std::nullopt;
  }
  return number;
}

std::string_view FieldValue(const http::fields& fields, std::string_view name) {
  return FromBeast(fields[ToBeast(name)]);
}

}  // namespace banyantrail
