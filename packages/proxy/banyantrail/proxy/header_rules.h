#pragma once

#include <optional>
#include <string_view>

#include "banyantrail/net/http_types.h"
#include "banyantrail/proxy/head_memory.h"
#include "banyantrail/wire/edge_dialect.h"

namespace banyantrail {

/// Why a request head is refused.
struct HeadRefusal {
  http::status status;
  /// Label of the refusal in the metrics, in snake_case.
  std::string_view reason;
};

/// Checks what the parser does not: version, method, target and framing that
/// another server could interpret differently (request smuggling). `text` is
/// needed since the parser joins folded lines.
std::optional<HeadRefusal> CheckRequestHead(const http::request_header<>& head,
                                            const HeadText& text);

/// Removes the hop-by-hop fields, including those listed in the Connection
/// field.
void StripHopByHopFields(http::fields& fields);

/// Removes the headers that only nodes may set from a request. The dialect's
/// deadline and the depth of nested calls stay, since callers set them too.
void StripInternalFields(http::fields& fields, const EdgeDialect& dialect);

/// Removes all internal headers from a response, except the outcome and the
/// reason if the system itself made the response.
void StripInternalResponseFields(http::fields& fields, bool is_local_reply);

/// Parses a field as a decimal number. Empty if the field is absent or is not a
/// number of at most nine digits.
std::optional<std::uint32_t> NumberField(const http::fields& fields,
                                         std::string_view name);

/// The value of a field; empty if absent.
std::string_view FieldValue(const http::fields& fields, std::string_view name);

}  // namespace banyantrail
