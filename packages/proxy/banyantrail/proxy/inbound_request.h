#pragma once

#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "banyantrail/net/http_types.h"
#include "banyantrail/proxy/chunk_limits.h"
#include "banyantrail/proxy/connection.h"
#include "banyantrail/proxy/head_memory.h"
#include "banyantrail/proxy/header_rules.h"

namespace banyantrail {

/// Bodies up to this size are buffered before they are forwarded, so that a
/// refused request can be retried on another endpoint. Larger ones are
/// streamed.
inline constexpr std::uint64_t kMaxReplayBytes = 64U << 10U;

/// A request whose head was read from a downstream connection.
struct InboundRequest {
  using Parser = http::request_parser<http::buffer_body>;

  std::unique_ptr<Parser> parser;
  /// Checks a chunked body while the parser reads it; null for any other.
  std::unique_ptr<ChunkLimits> chunk_limits;
  /// The whole body, unless it is streamed.
  std::string body;
  /// The body is streamed because it is larger than kMaxReplayBytes, of unknown
  /// length, or must not be read before the request is admitted.
  bool is_streamed = false;
  /// The first bytes of a streamed body that were read before it is forwarded.
  std::string body_start;
  /// Reading the streamed body has begun, so that it cannot be sent again.
  bool body_consumed = false;
  /// The sender waits for "100 Continue" before it sends the body, and has not
  /// received it yet.
  bool expects_continue = false;
  HeadMemory::Share head_memory;

  const http::request_header<>& head() const { return parser->get(); }

  bool exceeds_chunk_limits() const {
    return chunk_limits && chunk_limits->is_exceeded();
  }

  /// Part of the body is not received yet. What follows on the connection is
  /// the rest of it and no further request.
  bool has_unread_body() const { return is_streamed && !parser->is_done(); }
};

/// Limits for the requests on one connection.
struct InboundLimits {
  std::uint32_t max_header_bytes = 16U << 10U;
  std::size_t max_header_fields = kMaxHeadFields;
  /// Counts the large heads of all connections; null for no limit.
  HeadMemory* head_memory = nullptr;
  std::uint64_t max_body_bytes = kNoBodyLimit;
  /// How long a connection may be idle between requests.
  Duration idle_timeout = seconds(60);
  /// How long a head, or a body that is buffered, may take to arrive.
  Duration head_timeout = seconds(10);
  /// Leave the body of a request with "Expect: 100-continue" unread until the
  /// request is admitted, even if it is small.
  bool admit_before_body = false;
};

/// How reading a request ended.
enum class ReadOutcome {
  kRequest,
  /// The peer closed or reset the connection, or it idled too long.
  kClosed,
  /// The request is refused; see ReadResult::refusal.
  kRefused,
};

struct ReadResult {
  ReadOutcome outcome = ReadOutcome::kClosed;
  InboundRequest request;
  HeadRefusal refusal{};
};

/// Reads the head of the next request and, unless it is streamed, its body.
asio::awaitable<ReadResult> ReadRequest(Downstream& downstream,
                                        InboundLimits limits);

/// Reads a streamed body into `body_start` until it ends, or `is_enough` says
/// so. It is called with each part that was read. Returns an error of the
/// connection, or `asio::error::operation_aborted` if `timeout` passes first.
asio::awaitable<boost::system::error_code> ReadBodyStart(
    Downstream& downstream,
    InboundRequest& request,
    Duration timeout,
    std::function<bool(std::string_view part)> is_enough);

/// Sends "100 Continue" if the sender still waits for it.
asio::awaitable<void> SendContinue(Downstream& downstream,
                                   InboundRequest& request);

}  // namespace banyantrail
