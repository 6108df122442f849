#include "banyantrail/proxy/entry_request_context.h"

#include "banyantrail/core/digest.h"
#include "banyantrail/proxy/metadata_fields.h"
#include "banyantrail/wire/mesh_headers.h"

namespace banyantrail {

std::uint64_t KindOf(const Route& route) {
  return Hash64(route.rule.str());
}

std::uint32_t DepthOf(const http::request_header<>& head) {
  return NumberField(head, kDepthHeader).value_or(0);
}

std::uint64_t BodyBytes(const InboundRequest& request) {
  const auto length = request.parser->content_length();
  const std::uint64_t min_size = request.is_streamed ? kMaxReplayBytes : 0;
  return length ? *length : min_size;
}

}  // namespace banyantrail
