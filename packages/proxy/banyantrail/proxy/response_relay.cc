#include "banyantrail/proxy/response_relay.h"

#include <algorithm>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/serializer.hpp>
#include <boost/beast/http/write.hpp>
#include <utility>

#include "banyantrail/proxy/body_part.h"
#include "banyantrail/proxy/serialize_head.h"
#include "banyantrail/proxy/write_all.h"

namespace banyantrail {
namespace {

/// Whether the response cannot have a body, by its status.
bool HasNoBody(const Attempt::ResponseParser& parser) {
  const http::status status = parser.get().result();
  return status == http::status::no_content ||
         status == http::status::not_modified;
}

/// Sets the framing towards the caller. A response that is delimited by the end
/// of its connection is forwarded chunked, so that the caller can tell its end
/// from a broken connection.
void SetFraming(http::response<http::buffer_body>& message,
                const Attempt::ResponseParser& parser,
                const BodyBuffer& buffer) {
  const bool is_empty = buffer.size == 0 && parser.is_done();
  if (HasNoBody(parser)) {
    return;
  }
  if (is_empty && message.count(http::field::content_length) > 0) {
    return;  // The Content-Length of a response to HEAD is that of a GET.
  }
  if (parser.is_done()) {
    message.content_length(buffer.size);
  } else if (const auto length = parser.content_length()) {
    message.content_length(*length);
  } else {
    message.chunked(true);
  }
}

/// Sends a response that is fully buffered. Returns whether that succeeded.
asio::awaitable<bool> SendBuffered(Downstream& downstream,
                                   const http::response_header<>& head,
                                   const BodyBuffer& body) {
  const std::string text = SerializeHead(head);
  const WriteBuffers buffers = {asio::buffer(text),
                                asio::buffer(body.bytes.data(), body.size)};
  const WriteResult result = co_await WriteAll(downstream.stream, buffers);
  co_return !result.error;
}

/// Marks the response as read completely from the upstream connection.
void MarkResponseRead(Attempt& attempt, bool delimited_by_close) {
  attempt.upstream->request_in_flight = false;
  if (delimited_by_close || !attempt.response->get().keep_alive()) {
    attempt.must_close_upstream = true;
  }
}

}  // namespace

asio::awaitable<boost::system::error_code> FillBuffer(Attempt& attempt,
                                                      BodyBuffer& buffer,
                                                      TimePoint deadline) {
  Attempt::ResponseParser& parser = *attempt.response;
  constexpr std::size_t kInitialBytes = 4096;
  boost::system::error_code error;
  buffer.size = 0;
  while (!parser.is_done() && buffer.size < kRelayBufferBytes) {
    if (buffer.bytes.size() == buffer.size) {
      buffer.bytes.resize(
          std::clamp(2 * buffer.size, kInitialBytes, kRelayBufferBytes));
    }
    auto& body = parser.get().body();
    body.data = buffer.bytes.data() + buffer.size;
    body.size = buffer.bytes.size() - buffer.size;
    co_await http::async_read_some(
        attempt.upstream->stream, attempt.upstream->buffer, parser,
        asio::redirect_error(asio::use_awaitable, error));
    buffer.size = buffer.bytes.size() - body.size;
    if (error && error != http::error::need_buffer) {
      co_return error;
    }
    error = {};
    if (!parser.is_done() && SystemClock().Now() >= deadline) {
      co_return beast::error::timeout;
    }
  }
  co_return error;
}

asio::awaitable<RelayOutcome> RelayResponse(Attempt& attempt,
                                            Downstream& downstream,
                                            http::response_header<> head,
                                            bool keep_alive,
                                            TimePoint deadline,
                                            BodyBuffer read_before) {
  Attempt::ResponseParser& parser = *attempt.response;
  const bool delimited_by_close = parser.need_eof();
  BodyBuffer buffer = std::move(read_before);
  boost::system::error_code error;
  if (buffer.size == 0) {
    error = co_await FillBuffer(attempt, buffer, deadline);
  }
  if (error) {
    co_return RelayOutcome::kNothingSent;
  }
  http::response<http::buffer_body> message(std::move(head));
  message.version(11);
  message.keep_alive(keep_alive);
  SetFraming(message, parser, buffer);
  downstream.stream.expires_at(deadline);
  if (parser.is_done()) {
    const bool sent = co_await SendBuffered(downstream, message, buffer);
    if (!sent) {
      downstream.must_close = true;
      co_return RelayOutcome::kCallerDisconnected;
    }
    MarkResponseRead(attempt, delimited_by_close);
    co_return RelayOutcome::kComplete;
  }
  http::response_serializer<http::buffer_body> serializer(message);
  while (true) {
    SetBodyPart(message.body(), buffer.bytes.data(), buffer.size,
                parser.is_done());
    co_await http::async_write(
        downstream.stream, serializer,
        asio::redirect_error(asio::use_awaitable, error));
    if (error && error != http::error::need_buffer) {
      downstream.must_close = true;
      co_return RelayOutcome::kCallerDisconnected;
    }
    if (serializer.is_done()) {
      break;
    }
    error = co_await FillBuffer(attempt, buffer, deadline);
    if (error) {
      Close(downstream.stream);
      downstream.must_close = true;
      co_return RelayOutcome::kTruncated;
    }
  }
  MarkResponseRead(attempt, delimited_by_close);
  co_return RelayOutcome::kComplete;
}

}  // namespace banyantrail
