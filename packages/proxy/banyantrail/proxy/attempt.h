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

/// What is known after one attempt to have a request run.
enum class UpstreamResult {
  /// An answer's head arrived. It may still be a refusal.
  kAnswered,
  /// No byte of the request left, or its body was never asked for.
  kNotRun,
  /// The request may have run.
  kUnknown,
  /// The caller hung up; nobody waits for the answer.
  kCallerGone,
};

/// The result of one attempt, with the answer to relay if there is one.
struct Attempt {
  using AnswerParser = http::response_parser<http::buffer_body>;

  UpstreamResult result = UpstreamResult::kNotRun;
  /// Why it did not run or why that is unknown. Without meaning for kAnswered.
  RefusalReason reason = RefusalReason::kCancelled;
  UpstreamPtr upstream;
  std::unique_ptr<AnswerParser> answer;
  /// The server says that it did not run the request.
  bool says_not_run = false;
  /// The upstream connection cannot carry another request.
  bool upstream_spent = false;
};

struct AttemptOptions {
  IpEndpoint server;
  /// Outgoing head without framing fields.
  http::request_header<> head;
  TimePoint deadline;
  /// Ask the server to admit the request before a streamed or large body is
  /// sent, so that a refusal leaves the body untouched.
  bool ask_before_body = false;
  /// Never use a kept-alive connection.
  bool fresh_connection = false;
  /// Called once when the whole body of a streamed request has arrived.
  std::function<void()> on_body_taken = [] {};
  /// Names of the headers on the answer. Null between nodes, whose answers
  /// need no check.
  const EdgeDialect* dialect = nullptr;
};

/// Sends the request to the server and waits for the head of the answer.
asio::awaitable<Attempt> MakeAttempt(UpstreamPool& pool,
                                     Downstream& downstream,
                                     InboundRequest& request,
                                     AttemptOptions options);

/// Reads the rest of another node's refusal, so that its connection serves the
/// next request. The head of the answer stays; the connection is gone.
asio::awaitable<void> FinishRefusal(UpstreamPool& pool, Attempt& attempt);

}  // namespace banyantrail
