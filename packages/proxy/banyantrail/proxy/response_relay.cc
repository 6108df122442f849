#include "banyantrail/proxy/response_relay.h"

#include <algorithm>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/serializer.hpp>
#include <boost/beast/http/write.hpp>
#include <memory>
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

/// The buffer of one response. On a low-bandwidth link many responses wait at
/// once, so what a large one buffers beyond its first bytes is taken from the
/// budget of the link's gate.
class RelayBuffer {
 public:
  RelayBuffer(const LinkUse* link, BodyBuffer read_before)
      : m_link(link),
        m_capacity(link != nullptr ? kLargeResponseBytes : kRelayBufferBytes),
        m_body(std::move(read_before)) {}

  /// Extends the buffer if the budget allows it.
  void Extend() {
    m_reservation = m_link->gate.TryReserve(kReservedBytes);
    m_capacity = m_reservation ? kRelayBufferBytes : m_capacity;
  }

  std::size_t capacity() const { return m_capacity; }
  BodyBuffer& body() { return m_body; }

 private:
  static constexpr std::size_t kReservedBytes =
      kRelayBufferBytes - kLargeResponseBytes;

  const LinkUse* m_link;
  std::size_t m_capacity;
  std::shared_ptr<const void> m_reservation;
  BodyBuffer m_body;
};

/// Waits for the turn of the next part of a body. Returns false after the
/// deadline.
asio::awaitable<bool> AwaitTurn(const LinkUse& link,
                                std::size_t bytes,
                                TimePoint deadline) {
  if (bytes == 0) {
    co_return true;
  }
  const LinkSlice slice{.response = link.response,
                        .admitted_at = link.admitted_at,
                        .bytes = bytes,
                        .is_nested_call = link.is_nested_call};
  co_return co_await link.gate.AwaitTurn(slice, deadline);
}

/// Sends a response whose body arrives while it is sent, or is sent in slices.
/// `link` is null if it needs no turns.
asio::awaitable<RelayOutcome> SendInParts(
    Attempt& attempt,
    Downstream& downstream,
    http::response<http::buffer_body>& message,
    RelayBuffer& buffer,
    const LinkUse* link,
    TimePoint deadline) {
  Attempt::ResponseParser& parser = *attempt.response;
  BodyBuffer& body = buffer.body();
  http::response_serializer<http::buffer_body> serializer(message);
  boost::system::error_code error;
  std::size_t sent = 0;
  while (true) {
    const std::size_t left = body.size - sent;
    const std::size_t part =
        link != nullptr ? std::min(left, link->gate.slice_bytes()) : left;
    bool has_turn = true;
    if (link != nullptr) {
      has_turn = co_await AwaitTurn(*link, part, deadline);
    }
    if (!has_turn && !serializer.is_header_done()) {
      co_return RelayOutcome::kNothingSent;
    }
    if (!has_turn) {
      break;
    }
    SetBodyPart(message.body(), body.bytes.data() + sent, part,
                parser.is_done() && part == left);
    co_await http::async_write(
        downstream.stream, serializer,
        asio::redirect_error(asio::use_awaitable, error));
    if (error && error != http::error::need_buffer) {
      downstream.must_close = true;
      co_return RelayOutcome::kCallerDisconnected;
    }
    if (serializer.is_done()) {
      co_return RelayOutcome::kComplete;
    }
    sent += part;
    if (sent < body.size) {
      continue;
    }
    sent = 0;
    body.size = 0;
    error = co_await FillBuffer(attempt, body, buffer.capacity(), deadline);
    if (error) {
      break;
    }
  }
  Close(downstream.stream);
  downstream.must_close = true;
  co_return RelayOutcome::kTruncated;
}

}  // namespace

asio::awaitable<boost::system::error_code> FillBuffer(Attempt& attempt,
                                                      BodyBuffer& buffer,
                                                      std::size_t capacity,
                                                      TimePoint deadline) {
  Attempt::ResponseParser& parser = *attempt.response;
  constexpr std::size_t kInitialBytes = 4096;
  if (parser.need_eof() && attempt.upstream->lost_while_writing) {
    co_return asio::error::connection_reset;
  }
  boost::system::error_code error;
  while (!parser.is_done() && buffer.size < capacity) {
    if (buffer.bytes.size() == buffer.size) {
      buffer.bytes.resize(std::clamp(2 * buffer.size, kInitialBytes, capacity));
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
                                            RelayOptions options) {
  Attempt::ResponseParser& parser = *attempt.response;
  const bool delimited_by_close = parser.need_eof();
  const LinkUse* link = options.link;
  RelayBuffer buffer(link, std::move(options.read_before));
  boost::system::error_code error;
  if (buffer.body().size == 0) {
    error = co_await FillBuffer(attempt, buffer.body(), buffer.capacity(),
                                deadline);
  }
  const bool needs_turns = link != nullptr && !parser.is_done();
  if (needs_turns && !error) {
    buffer.Extend();
    error = co_await FillBuffer(attempt, buffer.body(), buffer.capacity(),
                                deadline);
  }
  if (error) {
    co_return RelayOutcome::kNothingSent;
  }
  http::response<http::buffer_body> message(std::move(head));
  message.version(11);
  message.keep_alive(keep_alive);
  SetFraming(message, parser, buffer.body());
  downstream.stream.expires_at(deadline);
  if (parser.is_done() && !needs_turns) {
    if (link != nullptr) {
      link->gate.Book(buffer.body().size);
    }
    const bool sent = co_await SendBuffered(downstream, message, buffer.body());
    if (!sent) {
      downstream.must_close = true;
      co_return RelayOutcome::kCallerDisconnected;
    }
    MarkResponseRead(attempt, delimited_by_close);
    co_return RelayOutcome::kComplete;
  }
  const RelayOutcome outcome =
      co_await SendInParts(attempt, downstream, message, buffer,
                           needs_turns ? link : nullptr, deadline);
  if (outcome == RelayOutcome::kComplete) {
    MarkResponseRead(attempt, delimited_by_close);
  }
  co_return outcome;
}

}  // namespace banyantrail
