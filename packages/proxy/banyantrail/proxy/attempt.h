#pragma once

#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <functional>
#include <memory>

#include "banyantrail/proxy/connection.h"
#include "banyantrail/proxy/inbound_request.h"
#include "banyantrail/proxy/upstream_pool.h"
#include "banyantrail/traffic/refusal_reason.h"
#include "banyantrail/wire/edge_dialect.h"

namespace banyantrail {

/// What is known about a request after one attempt to send it.
enum class UpstreamResult {
  /// The head of a response arrived. The response may be a refusal.
  kResponded,
  /// The request was not run: none of it was sent, or the server never asked
  /// for its body.
  kNotRun,
  /// The request may have run.
  kUnknown,
  /// The caller disconnected, so the response is no longer needed.
  kCallerDisconnected,
};

/// The result of one attempt, with the response to relay if there is one.
struct Attempt {
  using ResponseParser = http::response_parser<http::buffer_body>;

  UpstreamResult result = UpstreamResult::kNotRun;
  /// Why the request did not run, or why that is unknown. Unused for
  /// kResponded.
  RefusalReason reason = RefusalReason::kCancelled;
  UpstreamPtr upstream;
  std::unique_ptr<ResponseParser> response;
  /// The response states that the server did not run the request.
  bool reports_not_run = false;
  /// The upstream connection cannot carry another request.
  bool must_close_upstream = false;
};

struct AttemptOptions {
  IpEndpoint server;
  /// Head to send, without framing fields.
  http::request_header<> head;
  TimePoint deadline;
  /// Send "Expect: 100-continue" with a streamed or large body, so that a
  /// refusal leaves the body unread.
  bool expect_continue = false;
  /// Always open a new connection.
  bool force_new_connection = false;
  /// Called once when the whole body of a streamed request was received.
  std::function<void()> on_body_received = [] {};
  /// Called with each part of a streamed body, before it is sent.
  std::function<void(std::string_view part)> on_body_part =
      [](std::string_view) {};
  /// Asked just before the first byte is sent. The wait for a connection or for
  /// a streamed body can outlast the server's readiness to take the request. If
  /// it returns false, nothing is sent and the attempt fails with kDraining.
  std::function<bool()> may_send = [] { return true; };
  /// Points to the connection while it is in use, so that the sender can cancel
  /// the attempt.
  Upstream** in_use = nullptr;
  /// Names of the headers by which the response is checked. Null between nodes,
  /// whose responses need no check.
  const EdgeDialect* dialect = nullptr;
};

/// Sends the request to the server and waits for the head of the response.
asio::awaitable<Attempt> MakeAttempt(UpstreamPool& pool,
                                     Downstream& downstream,
                                     InboundRequest& request,
                                     AttemptOptions options);

/// Reads and discards the body of another node's refusal and returns the
/// connection to the pool. Only the head of the response stays in `attempt`.
asio::awaitable<void> DiscardRefusalBody(UpstreamPool& pool, Attempt& attempt);

}  // namespace banyantrail
