#include "banyantrail/proxy/answer_relay.h"

#include <algorithm>
#include <array>
#include <boost/asio/write.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/serializer.hpp>
#include <boost/beast/http/write.hpp>
#include <utility>
#include <vector>

#include "banyantrail/proxy/message_text.h"

namespace banyantrail {
namespace {

/// Buffer size for a response body. A response up to this size is read
/// completely before any of it is forwarded, so that an error response can
/// still replace one that breaks off.
constexpr std::size_t kRelayBytes = 64U << 10U;

/// The part of a response body that was read but not yet forwarded.
struct BodyPiece {
  std::vector<char> bytes;
  std::size_t size = 0;
};

/// Reads until the buffer is full or the body has ended.
asio::awaitable<boost::system::error_code> Fill(Attempt& attempt,
                                                BodyPiece& piece) {
  Attempt::ResponseParser& parser = *attempt.response;
  constexpr std::size_t kFirstBytes = 4096;
  boost::system::error_code error;
  piece.size = 0;
  while (!parser.is_done() && piece.size < kRelayBytes) {
    if (piece.bytes.size() == piece.size) {
      piece.bytes.resize(std::clamp(2 * piece.size, kFirstBytes, kRelayBytes));
    }
    auto& body = parser.get().body();
    body.data = piece.bytes.data() + piece.size;
    body.size = piece.bytes.size() - piece.size;
    co_await http::async_read_some(
        attempt.upstream->stream, attempt.upstream->buffer, parser,
        asio::redirect_error(asio::use_awaitable, error));
    piece.size = piece.bytes.size() - body.size;
    if (error && error != http::error::need_buffer) {
      co_return error;
    }
    error = {};
  }
  co_return error;
}

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
                const BodyPiece& first) {
  const bool counts_as_empty = first.size == 0 && parser.is_done();
  if (HasNoBody(parser)) {
    return;
  }
  if (counts_as_empty && message.count(http::field::content_length) > 0) {
    return;  // The Content-Length of a response to HEAD is that of a GET.
  }
  if (parser.is_done()) {
    message.content_length(first.size);
  } else if (const auto length = parser.content_length()) {
    message.content_length(*length);
  } else {
    message.chunked(true);
  }
}

/// Sends a response that is fully buffered. Returns whether that succeeded.
asio::awaitable<bool> SendWhole(Downstream& downstream,
                                const http::response_header<>& head,
                                const BodyPiece& body) {
  const std::string text = HeadText(head);
  const std::array<asio::const_buffer, 2> pieces = {
      asio::buffer(text), asio::buffer(body.bytes.data(), body.size)};
  boost::system::error_code error;
  co_await asio::async_write(downstream.stream, pieces,
                             asio::redirect_error(asio::use_awaitable, error));
  co_return !error;
}

/// Marks the response as read completely from the upstream connection.
void MarkResponseRead(Attempt& attempt, bool ends_with_connection) {
  attempt.upstream->request_in_flight = false;
  if (ends_with_connection || !attempt.response->get().keep_alive()) {
    attempt.must_close_upstream = true;
  }
}

}  // namespace

asio::awaitable<RelayOutcome> RelayResponse(Attempt& attempt,
                                            Downstream& downstream,
                                            http::response_header<> head,
                                            bool keep_alive,
                                            TimePoint deadline) {
  Attempt::ResponseParser& parser = *attempt.response;
  const bool ends_with_connection = parser.need_eof();
  BodyPiece piece;
  boost::system::error_code error = co_await Fill(attempt, piece);
  if (error) {
    co_return RelayOutcome::kNothingSent;
  }
  http::response<http::buffer_body> message(std::move(head));
  message.version(11);
  message.keep_alive(keep_alive);
  SetFraming(message, parser, piece);
  downstream.stream.expires_at(deadline);
  if (parser.is_done()) {
    const bool sent = co_await SendWhole(downstream, message, piece);
    if (!sent) {
      downstream.must_close = true;
      co_return RelayOutcome::kCallerDisconnected;
    }
    MarkResponseRead(attempt, ends_with_connection);
    co_return RelayOutcome::kWhole;
  }
  http::response_serializer<http::buffer_body> serializer(message);
  while (true) {
    message.body().data = piece.bytes.data();
    message.body().size = piece.size;
    message.body().more = !parser.is_done();
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
    error = co_await Fill(attempt, piece);
    if (error) {
      Close(downstream.stream);
      downstream.must_close = true;
      co_return RelayOutcome::kCut;
    }
  }
  MarkResponseRead(attempt, ends_with_connection);
  co_return RelayOutcome::kWhole;
}

}  // namespace banyantrail
