#pragma once

#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <cstdint>
#include <memory>
#include <string>

#include "banyantrail/net/http_types.h"
#include "banyantrail/proxy/connection.h"
#include "banyantrail/proxy/header_rules.h"

namespace banyantrail {

/// Bodies up to this size are read whole before they are forwarded, so that a
/// refused attempt can be made again elsewhere. Larger ones stream.
inline constexpr std::uint64_t kMaxReplayBytes = 64U << 10U;

/// A request whose head was read from a downstream connection.
struct InboundRequest {
  using Parser = http::request_parser<http::buffer_body>;

  std::unique_ptr<Parser> parser;
  /// The whole body, unless it streams.
  std::string body;
  /// The body is larger than kMaxReplayBytes, of unknown length, or not read
  /// before the request is admitted.
  bool streams = false;
  /// Some of a streamed body was already taken from the connection.
  bool body_taken = false;
  /// The sender waits for "100 Continue" before it sends the body.
  bool expects_continue = false;

  const http::request_header<>& head() const { return parser->get(); }
};

/// Limits for what is read from one connection.
struct InboundLimits {
  std::uint32_t max_header_bytes = 16U << 10U;
  std::uint64_t max_body_bytes = kNoBodyLimit;
  /// How long a connection may idle between requests.
  Duration idle_timeout = seconds(60);
  /// How long a head, or a body that is read whole, may take to arrive.
  Duration head_timeout = seconds(10);
  /// A body whose sender asks first is not read before the request is
  /// admitted, however small it is.
  bool admits_before_body = false;
};

/// How reading a request ended.
enum class ReadOutcome {
  kRequest,
  /// The other end closed the connection or broke it.
  kClosed,
  /// The request is refused; see the refusal.
  kRefused,
};

struct ReadResult {
  ReadOutcome outcome = ReadOutcome::kClosed;
  InboundRequest request;
  HeadRefusal refusal{};
};

/// Reads the next request from the connection: its head and, unless it
/// streams, its whole body.
asio::awaitable<ReadResult> ReadRequest(Downstream& downstream,
                                        InboundLimits limits);

/// Sends "100 Continue" if the sender waits for it and has not had it yet.
asio::awaitable<void> SendContinue(Downstream& downstream,
                                   InboundRequest& request);

}  // namespace banyantrail
