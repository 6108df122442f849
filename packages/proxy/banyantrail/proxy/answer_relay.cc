#include "banyantrail/proxy/answer_relay.h"

#include <array>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/serializer.hpp>
#include <boost/beast/http/write.hpp>
#include <utility>

namespace banyantrail {
namespace {

/// Bytes of an answer's body held in memory at a time.
constexpr std::size_t kRelayBytes = 32U << 10U;

/// Whether the message shows by itself where it ends. One that ends with the
/// connection cannot be told from one that was cut.
bool ShowsItsEnd(const Attempt::AnswerParser& parser) {
  return parser.is_done() || parser.chunked() ||
         parser.content_length().has_value();
}

void SetFraming(http::response<http::buffer_body>& message,
                const Attempt::AnswerParser& parser) {
  if (parser.chunked()) {
    message.chunked(true);
  }
  message.body().data = nullptr;
  message.body().size = 0;
  message.body().more = !parser.is_done();
}

}  // namespace

asio::awaitable<RelayOutcome> RelayAnswer(Attempt& attempt,
                                          Downstream& downstream,
                                          http::response_header<> head,
                                          bool keep_alive,
                                          TimePoint deadline) {
  Attempt::AnswerParser& parser = *attempt.answer;
  if (!ShowsItsEnd(parser)) {
    co_return RelayOutcome::kNothingSent;
  }
  http::response<http::buffer_body> message(std::move(head));
  message.version(11);
  message.keep_alive(keep_alive);
  SetFraming(message, parser);
  http::response_serializer<http::buffer_body> serializer(message);

  downstream.stream.expires_at(deadline);
  std::array<char, kRelayBytes> piece{};
  boost::system::error_code error;
  bool sent = false;
  while (!serializer.is_done()) {
    std::size_t size = 0;
    if (!parser.is_done()) {
      parser.get().body().data = piece.data();
      parser.get().body().size = piece.size();
      co_await http::async_read_some(
          attempt.upstream->stream, attempt.upstream->buffer, parser,
          asio::redirect_error(asio::use_awaitable, error));
      if (error && error != http::error::need_buffer) {
        if (!sent) {
          co_return RelayOutcome::kNothingSent;
        }
        Close(downstream.stream);
        downstream.must_close = true;
        co_return RelayOutcome::kCut;
      }
      size = piece.size() - parser.get().body().size;
    }
    message.body().data = piece.data();
    message.body().size = size;
    message.body().more = !parser.is_done();
    if (size == 0 && message.body().more) {
      continue;
    }
    co_await http::async_write(
        downstream.stream, serializer,
        asio::redirect_error(asio::use_awaitable, error));
    if (error && error != http::error::need_buffer) {
      downstream.must_close = true;
      co_return RelayOutcome::kCallerGone;
    }
    error = {};
    sent = true;
  }
  if (!parser.get().keep_alive()) {
    attempt.upstream_spent = true;
  }
  co_return RelayOutcome::kWhole;
}

}  // namespace banyantrail
