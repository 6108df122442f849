#pragma once

#include <optional>
#include <string_view>

#include "banyantrail/net/http_types.h"
#include "banyantrail/wire/edge_dialect.h"

namespace banyantrail {

/// A request head that this system does not take, and why.
struct HeadRefusal {
  http::status status;
  /// snake_case, as counted in the metrics.
  std::string_view reason;
};

/// Checks what the parser does not: version, method, target and framing that
/// another server could read differently. `raw_head` holds the bytes of the
/// head as they came, for what the parser folds away.
std::optional<HeadRefusal> CheckRequestHead(const http::request_header<>& head,
                                            std::string_view raw_head);

/// Removes the fields that belong to one connection only, among them all that
/// the Connection field names.
void StripHopByHopFields(http::fields& fields);

/// Removes the headers that only nodes may set. The dialect's deadline and the
/// depth of nested calls stay, since callers set them too.
void StripInternalFields(http::fields& fields, const EdgeDialect& dialect);

/// Removes every internal header from an answer that goes to a caller, but
/// for the outcome and the reason of an answer that the system made.
void StripInternalAnswerFields(http::fields& fields, bool made_by_system);

/// Reads a field as a number. Nothing when it is absent or not a number of at
/// most nine digits.
std::optional<std::uint32_t> NumberField(const http::fields& fields,
                                         std::string_view name);

/// The value of a field, or an empty view.
std::string_view FieldValue(const http::fields& fields, std::string_view name);

}  // namespace banyantrail
