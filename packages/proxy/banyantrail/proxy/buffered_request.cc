#include "banyantrail/proxy/buffered_request.h"

#include <algorithm>
#include <utility>

namespace banyantrail {
namespace {

/// Whether the parsed head is that of a valid request without a body.
bool HasNoBody(const InboundRequest& request, const HeadText& text) {
  return request.parser->is_done() &&
         request.head().count(http::field::expect) == 0 &&
         !CheckRequestHead(request.head(), text);
}

}  // namespace

BufferedRequest ParseBufferedRequest(std::string_view buffered,
                                     std::uint32_t max_header_bytes) {
  constexpr std::string_view kEndOfHead = "\r\n\r\n";
  const std::size_t max_head =
      std::min<std::size_t>(max_header_bytes, kMaxReadAheadHeadBytes);
  BufferedRequest result;
  const std::size_t end = buffered.find(kEndOfHead);
  const bool is_complete = end != std::string_view::npos;
  const std::size_t known_bytes =
      is_complete ? end + kEndOfHead.size() : buffered.size();
  if (known_bytes > max_head) {
    result.content = BufferedContent::kOther;
    return result;
  }
  if (!is_complete) {
    return result;
  }
  const std::string_view head = buffered.substr(0, known_bytes);
  const HeadText text = InspectHead(head);
  if (text.fields > kMaxHeadFields) {
    result.content = BufferedContent::kOther;
    return result;
  }
  InboundRequest request;
  request.parser = std::make_unique<InboundRequest::Parser>();
  request.parser->header_limit(max_header_bytes);
  request.parser->body_limit(kNoBodyLimit);
  boost::system::error_code error;
  const std::size_t parsed =
      request.parser->put(asio::buffer(head.data(), head.size()), error);
  if (error || parsed != head.size() || !request.parser->is_header_done() ||
      !HasNoBody(request, text)) {
    result.content = BufferedContent::kOther;
    return result;
  }
  result.content = BufferedContent::kRequest;
  result.request = std::move(request);
  result.text = text;
  return result;
}

}  // namespace banyantrail
