#include "banyantrail/proxy/inbound_request.h"

#include <algorithm>
#include <array>
#include <boost/asio/write.hpp>
#include <boost/beast/http/read.hpp>
#include <optional>
#include <utility>

namespace banyantrail {
namespace {

HeadRefusal RefusalFor(const boost::system::error_code& error) {
  if (error == http::error::header_limit ||
      error == http::error::buffer_overflow) {
    return {http::status::request_header_fields_too_large, "head_too_large"};
  }
  return {http::status::bad_request, "malformed_request"};
}

bool IsConnectionError(const boost::system::error_code& error) {
  return error == http::error::end_of_stream ||
         error == http::error::partial_message ||
         error.category() !=
             http::make_error_code(http::error::bad_method).category();
}

ReadResult ReadFailure(const boost::system::error_code& error,
                       const std::optional<CancelTimer>& timer) {
  if (timer && timer->has_fired()) {
    return {.outcome = ReadOutcome::kRefused,
            .refusal = {http::status::request_timeout, "slow_sender"}};
  }
  if (IsConnectionError(error)) {
    return {.outcome = ReadOutcome::kClosed};
  }
  return {.outcome = ReadOutcome::kRefused, .refusal = RefusalFor(error)};
}

/// Waits for the first byte of the next request, without parsing it.
asio::awaitable<bool> WaitForFirstByte(Downstream& downstream,
                                       Duration idle_timeout) {
  if (downstream.buffer.size() > 0) {
    co_return true;
  }
  constexpr std::size_t kReadBytes = 4096;
  downstream.stream.expires_after(idle_timeout);
  boost::system::error_code error;
  const std::size_t size = co_await downstream.stream.async_read_some(
      downstream.buffer.prepare(kReadBytes),
      asio::redirect_error(asio::use_awaitable, error));
  downstream.buffer.commit(size);
  co_return !error;
}

std::string_view BufferedBytes(const beast::flat_buffer& buffer) {
  const auto data = buffer.data();
  return {static_cast<const char*>(data.data()), data.size()};
}

constexpr std::string_view kEndOfHead = "\r\n\r\n";

bool HasCompleteHead(const beast::flat_buffer& buffer) {
  return BufferedBytes(buffer).find(kEndOfHead) != std::string_view::npos;
}

constexpr HeadRefusal kTooManyFields{
    http::status::request_header_fields_too_large, "too_many_fields"};
constexpr HeadRefusal kNoHeadMemory{http::status::service_unavailable,
                                    "head_memory"};

/// Takes the memory for a head, as far as it has arrived.
bool TakeMemory(InboundRequest& request, const HeadText& text) {
  return IsSmall(text) || request.head_memory.GrowTo(MemoryOf(text));
}

/// How the wait for a head ended.
struct HeadArrival {
  HeadText text;
  boost::system::error_code error;
  std::optional<HeadRefusal> refusal;
};

/// Waits until a whole head is in the buffer, without parsing it.
asio::awaitable<HeadArrival> AwaitHead(Downstream& downstream,
                                       InboundRequest& request,
                                       const InboundLimits& limits) {
  constexpr std::size_t kReadBytes = 4096;
  HeadArrival arrival;
  while (!HasCompleteHead(downstream.buffer)) {
    const std::size_t size = downstream.buffer.size();
    if (size > limits.max_header_bytes) {
      arrival.error = http::make_error_code(http::error::header_limit);
      co_return arrival;
    }
    if (!TakeMemory(request, {.bytes = size})) {
      arrival.refusal = kNoHeadMemory;
      co_return arrival;
    }
    const std::size_t received = co_await downstream.stream.async_read_some(
        downstream.buffer.prepare(kReadBytes),
        asio::redirect_error(asio::use_awaitable, arrival.error));
    if (arrival.error) {
      co_return arrival;
    }
    downstream.buffer.commit(received);
  }
  const std::string_view text = BufferedBytes(downstream.buffer);
  arrival.text =
      InspectHead(text.substr(0, text.find(kEndOfHead) + kEndOfHead.size()));
  if (arrival.text.fields > limits.max_header_fields) {
    arrival.refusal = kTooManyFields;
  } else if (!TakeMemory(request, arrival.text)) {
    arrival.refusal = kNoHeadMemory;
  }
  co_return arrival;
}

/// Gives the memory of a buffer that a large head has enlarged back.
void ShrinkIfEmpty(beast::flat_buffer& buffer) {
  constexpr std::size_t kMaxKeptBytes = 8192;
  if (buffer.size() == 0 && buffer.capacity() > kMaxKeptBytes) {
    buffer.shrink_to_fit();
  }
}

asio::awaitable<boost::system::error_code> ReadBufferedBody(
    Downstream& downstream,
    InboundRequest& request) {
  InboundRequest::Parser& parser = *request.parser;
  request.body.resize(parser.content_length().value_or(0));
  std::size_t received = 0;
  boost::system::error_code error;
  while (!parser.is_done() && !error) {
    auto& body = parser.get().body();
    body.data = request.body.data() + received;
    body.size = request.body.size() - received;
    co_await http::async_read_some(
        downstream.stream, downstream.buffer, parser,
        asio::redirect_error(asio::use_awaitable, error));
    received = request.body.size() - body.size;
    if (error == http::error::need_buffer) {
      error = {};
    }
  }
  co_return error;
}

}  // namespace

asio::awaitable<ReadResult> ReadRequest(Downstream& downstream,
                                        InboundLimits limits) {
  const std::size_t max_head = limits.max_header_bytes;
  downstream.buffer.max_size(std::max(downstream.buffer.size(), max_head) +
                             kMaxUnparsedBytes);
  if (!co_await WaitForFirstByte(downstream, limits.idle_timeout)) {
    co_return ReadResult{};
  }
  ReadResult result;
  InboundRequest& request = result.request;
  request.parser = std::make_unique<InboundRequest::Parser>();
  request.parser->header_limit(limits.max_header_bytes);
  request.parser->body_limit(kNoBodyLimit);
  if (limits.head_memory != nullptr) {
    request.head_memory = HeadMemory::Share(*limits.head_memory);
  }

  downstream.stream.expires_never();
  // Most heads arrive in one segment and need no timer.
  std::optional<CancelTimer> timer;
  if (!HasCompleteHead(downstream.buffer)) {
    timer.emplace(downstream.stream, limits.head_timeout);
  }
  const HeadArrival arrival = co_await AwaitHead(downstream, request, limits);
  if (arrival.error) {
    co_return ReadFailure(arrival.error, timer);
  }
  std::optional<HeadRefusal> refusal = arrival.refusal;
  boost::system::error_code error;
  if (!refusal) {
    co_await http::async_read_header(
        downstream.stream, downstream.buffer, *request.parser,
        asio::redirect_error(asio::use_awaitable, error));
    if (error) {
      co_return ReadFailure(error, timer);
    }
    ShrinkIfEmpty(downstream.buffer);
    refusal = CheckRequestHead(request.head(), arrival.text);
  }
  if (refusal) {
    result.outcome = ReadOutcome::kRefused;
    result.refusal = *refusal;
    co_return result;
  }

  if (request.parser->chunked()) {
    request.chunk_limits = std::make_unique<ChunkLimits>(downstream.buffer);
    request.parser->on_chunk_header(*request.chunk_limits);
  }
  const auto length = request.parser->content_length();
  if (length && *length > limits.max_body_bytes) {
    result.outcome = ReadOutcome::kRefused;
    result.refusal = {http::status::payload_too_large, "body_too_large"};
    co_return result;
  }
  request.expects_continue =
      beast::iequals(request.head()[http::field::expect], "100-continue");
  const bool is_bufferable = length && *length <= kMaxReplayBytes;
  const bool awaits_admission =
      limits.admit_before_body && request.expects_continue;
  request.is_streamed = request.parser->chunked() ||
                        (length && !is_bufferable) ||
                        (length && awaits_admission);
  if (!request.is_streamed && length.value_or(0) > 0) {
    co_await SendContinue(downstream, request);
    if (!timer && downstream.buffer.size() < *length) {
      timer.emplace(downstream.stream, limits.head_timeout);
    }
    error = co_await ReadBufferedBody(downstream, request);
    if (error) {
      co_return ReadFailure(error, timer);
    }
  }
  result.outcome = ReadOutcome::kRequest;
  co_return result;
}

asio::awaitable<boost::system::error_code> ReadBodyStart(
    Downstream& downstream,
    InboundRequest& request,
    Duration timeout,
    std::function<bool(std::string_view part)> is_enough) {
  constexpr std::size_t kPartBytes = 4096;
  InboundRequest::Parser& parser = *request.parser;
  const CancelTimer timer(downstream.stream, timeout);
  std::array<char, kPartBytes> buffer{};
  boost::system::error_code error;
  bool needs_more = true;
  while (needs_more && !parser.is_done() && !error) {
    parser.get().body().data = buffer.data();
    parser.get().body().size = buffer.size();
    co_await http::async_read_some(
        downstream.stream, downstream.buffer, parser,
        asio::redirect_error(asio::use_awaitable, error));
    if (error == http::error::need_buffer) {
      error = {};
    }
    const std::string_view part(buffer.data(),
                                buffer.size() - parser.get().body().size);
    request.body_start += part;
    needs_more = !is_enough(part);
  }
  if (timer.has_fired()) {
    error = asio::error::operation_aborted;
  }
  co_return error;
}

asio::awaitable<void> SendContinue(Downstream& downstream,
                                   InboundRequest& request) {
  if (!request.expects_continue) {
    co_return;
  }
  request.expects_continue = false;
  constexpr std::string_view kContinue = "HTTP/1.1 100 Continue\r\n\r\n";
  boost::system::error_code ignored;
  co_await asio::async_write(
      downstream.stream, asio::buffer(kContinue.data(), kContinue.size()),
      asio::redirect_error(asio::use_awaitable, ignored));
}

}  // namespace banyantrail
