#include "banyantrail/proxy/attempt_response.h"

#include <array>
#include <boost/beast/http/read.hpp>
#include <memory>
#include <string>

#include "banyantrail/net/response_head.h"
#include "banyantrail/proxy/header_rules.h"
#include "banyantrail/proxy/message_head.h"

namespace banyantrail {
namespace {

constexpr std::uint32_t kMaxResponseHeaderBytes = 32U << 10U;
static_assert(kMaxResponseHeaderBytes < kMaxUnparsedBytes);

std::unique_ptr<Attempt::ResponseParser> NewResponseParser(http::verb method) {
  auto parser = std::make_unique<Attempt::ResponseParser>();
  parser->header_limit(kMaxResponseHeaderBytes);
  parser->body_limit(kNoBodyLimit);
  if (method == http::verb::head) {
    parser->skip(true);
  }
  return parser;
}

/// Whether a refusal proves that its request did not run. One without a request
/// id, on a connection that has carried a response before, may be bytes that a
/// faulty server sent in addition, and the response is yet to come.
bool IsOwnRefusal(const Attempt& attempt, const ExpectedResponse& expected) {
  const std::string& id_field = expected.dialect->request_id;
  return !attempt.upstream->reused || expected.request_id.empty() ||
         !FieldValue(attempt.response->get(), id_field).empty();
}

/// Reads the next response head, which may be an informational (1xx) one.
asio::awaitable<boost::system::error_code> ReadResponseHead(Attempt& attempt,
                                                            http::verb method) {
  attempt.response = NewResponseParser(method);
  boost::system::error_code error;
  co_await http::async_read_header(
      attempt.upstream->stream, attempt.upstream->buffer, *attempt.response,
      asio::redirect_error(asio::use_awaitable, error));
  if (!error) {
    error = CheckResponseHead(attempt.response->get());
  }
  co_return error;
}

enum class AwaitedHead { kFinal, kContinueOrFinal };

bool IsAwaited(unsigned status, AwaitedHead awaited) {
  const bool is_continue =
      status == static_cast<unsigned>(http::status::continue_);
  return !IsInformational(status) ||
         (is_continue && awaited == AwaitedHead::kContinueOrFinal);
}

/// Reads response heads up to the one that is awaited.
asio::awaitable<boost::system::error_code>
ReadAwaitedHead(Attempt& attempt, http::verb method, AwaitedHead awaited) {
  boost::system::error_code error;
  for (int i = 0; i <= kMaxInformationalResponses; ++i) {
    error = co_await ReadResponseHead(attempt, method);
    if (error || IsAwaited(attempt.response->get().result_int(), awaited)) {
      co_return error;
    }
  }
  co_return http::make_error_code(http::error::bad_status);
}

}  // namespace

asio::awaitable<boost::system::error_code> ReadContinueOrFinalHead(
    Attempt& attempt,
    http::verb method) {
  const boost::system::error_code error =
      co_await ReadAwaitedHead(attempt, method, AwaitedHead::kContinueOrFinal);
  co_return error;
}

asio::awaitable<boost::system::error_code> DiscardResponseBody(
    Attempt& attempt) {
  constexpr std::size_t kDiscardBufferBytes = 4096;
  // The time-out of a stream does not fire while data is always there.
  constexpr std::size_t kMaxDiscardedBytes = 1U << 20U;
  std::array<char, kDiscardBufferBytes> discarded{};
  std::size_t total = 0;
  boost::system::error_code error;
  Attempt::ResponseParser& parser = *attempt.response;
  if (parser.need_eof()) {
    co_return http::make_error_code(http::error::bad_status);
  }
  while (!parser.is_done() && !error) {
    parser.get().body().data = discarded.data();
    parser.get().body().size = discarded.size();
    co_await http::async_read_some(
        attempt.upstream->stream, attempt.upstream->buffer, parser,
        asio::redirect_error(asio::use_awaitable, error));
    if (error == http::error::need_buffer) {
      error = {};
    }
    total += discarded.size() - parser.get().body().size;
    if (total > kMaxDiscardedBytes) {
      error = http::make_error_code(http::error::body_limit);
    }
  }
  co_return error;
}

asio::awaitable<boost::system::error_code> ReadMatchingResponseHead(
    Attempt& attempt,
    http::verb method,
    ExpectedResponse expected) {
  constexpr int kMaxOtherResponses = 16;
  for (int i = 0; i <= kMaxOtherResponses; ++i) {
    boost::system::error_code error =
        co_await ReadAwaitedHead(attempt, method, AwaitedHead::kFinal);
    if (error || expected.dialect == nullptr) {
      co_return error;
    }
    const http::response_header<>& head = attempt.response->get();
    ResponseVerdict verdict =
        ClassifyResponse(head, expected.request_id, *expected.dialect);
    if (verdict == ResponseVerdict::kNotRun &&
        !IsOwnRefusal(attempt, expected)) {
      verdict = ResponseVerdict::kOtherRequest;
    }
    attempt.reports_not_run = verdict == ResponseVerdict::kNotRun;
    if (verdict == ResponseVerdict::kMalformed) {
      co_return http::make_error_code(http::error::bad_value);
    }
    if (verdict != ResponseVerdict::kOtherRequest) {
      co_return error;
    }
    error = co_await DiscardResponseBody(attempt);
    if (error) {
      co_return error;
    }
  }
  co_return http::make_error_code(http::error::bad_value);
}

}  // namespace banyantrail
