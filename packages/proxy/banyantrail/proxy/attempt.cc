#include "banyantrail/proxy/attempt.h"

#include <boost/asio/write.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/serializer.hpp>
#include <boost/beast/http/write.hpp>
#include <utility>

#include "banyantrail/proxy/attempt_response.h"
#include "banyantrail/proxy/disconnect_watch.h"
#include "banyantrail/proxy/message_head.h"
#include "banyantrail/proxy/request_monitor.h"
#include "banyantrail/proxy/serialize_head.h"
#include "banyantrail/proxy/write_all.h"
#include "banyantrail/traffic/body_transfers.h"

namespace banyantrail {
namespace {

/// Whether the body is sent only after the server has admitted the request.
bool ShouldExpectContinue(const InboundRequest& request,
                          const AttemptOptions& options) {
  const bool is_large =
      request.is_streamed || request.body.size() >= kLargeBodyBytes;
  return options.expect_continue && is_large;
}

/// Writes the head and, unless it is to be sent later, the buffered body.
asio::awaitable<boost::system::error_code> SendHeadAndBufferedBody(
    Upstream& upstream,
    const InboundRequest& request,
    const http::request_header<>& head,
    bool body_deferred,
    std::size_t& written) {
  boost::system::error_code error;
  if (body_deferred) {
    http::request<http::empty_body> message(head);
    http::request_serializer<http::empty_body> serializer(message);
    written = co_await http::async_write_header(
        upstream.stream, serializer,
        asio::redirect_error(asio::use_awaitable, error));
  } else {
    const std::string text = SerializeHead(head);
    const WriteBuffers buffers = {asio::buffer(text),
                                  asio::buffer(request.body)};
    const WriteResult result = co_await WriteAll(upstream.stream, buffers);
    written = result.written;
    error = result.error;
  }
  co_return error;
}

http::request_header<> WithFraming(http::request_header<> head,
                                   const InboundRequest& request,
                                   bool expect_continue) {
  http::request<http::empty_body> message(std::move(head));
  if (!request.is_streamed) {
    const bool needs_content_length =
        !request.body.empty() ||
        request.head().count(http::field::content_length) > 0;
    if (needs_content_length) {
      message.content_length(request.body.size());
    }
  } else if (request.parser->chunked()) {
    message.chunked(true);
  } else {
    message.content_length(request.parser->content_length().value());
  }
  head = std::move(message.base());
  if (expect_continue) {
    head.set(http::field::expect, "100-continue");
  }
  return head;
}

/// Waits for "100 Continue". Returns true if the body is to be sent; otherwise
/// the result is set in `attempt`. The server forwards nothing before the body
/// begins, so a failure to respond proves that the request was not run.
asio::awaitable<bool> AwaitContinue(Attempt& attempt,
                                    Downstream& downstream,
                                    http::verb method) {
  bool caller_disconnected = false;
  DisconnectWatch watch(downstream, [&attempt, &caller_disconnected] {
    caller_disconnected = true;
    attempt.upstream->stream.cancel();
  });
  const boost::system::error_code error =
      co_await ReadContinueOrFinalHead(attempt, method);
  co_await watch.Stop();
  if (caller_disconnected) {
    attempt.result = UpstreamResult::kCallerDisconnected;
    attempt.reason = RefusalReason::kCancelled;
    co_return false;
  }
  if (error) {
    attempt.result = UpstreamResult::kNotRun;
    attempt.reason = RefusalReason::kConnectFailed;
    co_return false;
  }
  if (attempt.response->get().result() == http::status::continue_) {
    co_return true;
  }
  attempt.result = UpstreamResult::kResponded;
  co_return false;
}

/// The reason for an error while waiting for the response.
RefusalReason ReasonFor(const boost::system::error_code& error) {
  if (error == beast::error::timeout) {
    return RefusalReason::kResponseTimeout;
  }
  const bool connection_closed = error == http::error::end_of_stream ||
                                 error == http::error::partial_message;
  const bool is_malformed =
      error.category() ==
      http::make_error_code(http::error::bad_method).category();
  return is_malformed && !connection_closed ? RefusalReason::kMalformedResponse
                                            : RefusalReason::kConnectionLost;
}

/// Sets the result after waiting for the response.
void SetResult(Attempt& attempt,
               const RequestMonitor& monitor,
               const boost::system::error_code& error) {
  if (monitor.caller_disconnected()) {
    attempt.result = UpstreamResult::kCallerDisconnected;
    attempt.reason = RefusalReason::kCancelled;
  } else if (!error) {
    attempt.result = UpstreamResult::kResponded;
    attempt.must_close_upstream = !monitor.body_sent();
  } else if (!monitor.head_sent()) {
    attempt.result = UpstreamResult::kNotRun;
    attempt.reason = monitor.send_refused() ? RefusalReason::kDraining
                                            : RefusalReason::kConnectFailed;
  } else {
    attempt.result = UpstreamResult::kUnknown;
    attempt.reason = ReasonFor(error);
  }
}

/// Waits for the response while a RequestMonitor handles the downstream side.
asio::awaitable<void> AwaitResponse(Attempt& attempt,
                                    Downstream& downstream,
                                    InboundRequest& request,
                                    ExpectedResponse expected,
                                    RequestMonitor::Options monitor_options) {
  const http::verb method = request.head().method();
  RequestMonitor monitor(downstream, *attempt.upstream, request,
                         std::move(monitor_options));
  const asio::any_io_executor executor = co_await asio::this_coro::executor;
  monitor.Start(executor);
  const boost::system::error_code error =
      co_await ReadMatchingResponseHead(attempt, method, expected);
  co_await monitor.Stop();
  SetResult(attempt, monitor, error);
}

/// Sends the buffered body after the server has admitted the request. Returns
/// false if the result is already set in `attempt`.
asio::awaitable<bool> SendAdmittedBody(Attempt& attempt,
                                       const InboundRequest& request) {
  boost::system::error_code error;
  co_await asio::async_write(attempt.upstream->stream,
                             asio::buffer(request.body),
                             asio::redirect_error(asio::use_awaitable, error));
  if (error) {
    attempt.result = UpstreamResult::kUnknown;
    attempt.reason = RefusalReason::kConnectionLost;
  }
  co_return !error;
}

/// Sends the head, and the body if it is buffered. Returns false if the result
/// is already set in `attempt`.
asio::awaitable<bool> SendHeadNow(Attempt& attempt,
                                  Downstream& downstream,
                                  const InboundRequest& request,
                                  const AttemptOptions& options,
                                  const http::request_header<>& head) {
  std::size_t written = 0;
  const bool body_deferred = ShouldExpectContinue(request, options);
  const boost::system::error_code error = co_await SendHeadAndBufferedBody(
      *attempt.upstream, request, head, body_deferred, written);
  if (!error) {
    if (!body_deferred) {
      co_return true;
    }
    bool proceed =
        co_await AwaitContinue(attempt, downstream, request.head().method());
    if (proceed && !request.is_streamed) {
      proceed = co_await SendAdmittedBody(attempt, request);
    }
    co_return proceed;
  }
  const bool proven_not_run = written == 0 || body_deferred;
  attempt.result =
      proven_not_run ? UpstreamResult::kNotRun : UpstreamResult::kUnknown;
  attempt.reason = proven_not_run ? RefusalReason::kConnectFailed
                                  : RefusalReason::kConnectionLost;
  co_return false;
}

/// Sets a pointer to the connection of an attempt for as long as it runs.
class MarkInUse {
 public:
  MarkInUse(Upstream** target, Upstream& upstream) : m_target(target) {
    if (m_target != nullptr) {
      *m_target = &upstream;
    }
  }
  MarkInUse(const MarkInUse&) = delete;
  MarkInUse& operator=(const MarkInUse&) = delete;
  ~MarkInUse() {
    if (m_target != nullptr) {
      *m_target = nullptr;
    }
  }

 private:
  Upstream** m_target;
};

asio::awaitable<UpstreamPtr> AcquireConnection(UpstreamPool& pool,
                                               const AttemptOptions& options) {
  UpstreamPtr upstream;
  if (options.force_new_connection) {
    upstream = co_await pool.Connect(options.server, options.deadline);
  } else {
    upstream = co_await pool.Acquire(options.server, options.deadline);
  }
  co_return upstream;
}

}  // namespace

asio::awaitable<void> DiscardRefusalBody(UpstreamPool& pool, Attempt& attempt) {
  const bool is_reusable =
      !attempt.must_close_upstream && attempt.response->get().keep_alive();
  if (!is_reusable) {
    co_return;
  }
  const boost::system::error_code error = co_await DiscardResponseBody(attempt);
  if (!error) {
    pool.Release(std::move(attempt.upstream));
  }
}

asio::awaitable<Attempt> MakeAttempt(UpstreamPool& pool,
                                     Downstream& downstream,
                                     InboundRequest& request,
                                     AttemptOptions options) {
  Attempt attempt;
  attempt.upstream = co_await AcquireConnection(pool, options);
  if (!attempt.upstream) {
    attempt.reason = RefusalReason::kConnectFailed;
    co_return attempt;
  }
  if (!options.may_send()) {
    pool.Release(std::move(attempt.upstream));
    attempt.reason = RefusalReason::kDraining;
    co_return attempt;
  }
  attempt.upstream->stream.expires_at(options.deadline);
  attempt.upstream->request_in_flight = true;
  const MarkInUse mark(options.in_use, *attempt.upstream);

  http::request_header<> head = WithFraming(
      std::move(options.head), request, ShouldExpectContinue(request, options));
  const bool send_head_now = !request.is_streamed || options.expect_continue;
  if (send_head_now) {
    const bool proceed =
        co_await SendHeadNow(attempt, downstream, request, options, head);
    if (!proceed) {
      co_return attempt;
    }
  }
  if (!request.is_streamed) {
    head = {};  // Sent, and kept no longer than that.
  } else {
    // The wait for the response bounds the forwarding of the body. A time-out
    // of the caller's own stream would close it, and the caller would get no
    // answer.
    co_await SendContinue(downstream, request);
  }
  ExpectedResponse expected{.dialect = options.dialect};
  if (expected.dialect != nullptr && !expected.dialect->request_id.empty()) {
    expected.request_id =
        FieldValue(request.head(), expected.dialect->request_id);
  }
  RequestMonitor::Options monitor_options{
      .head = std::move(head),
      .head_sent = send_head_now,
      .may_send = std::move(options.may_send),
      .on_body_received = std::move(options.on_body_received),
      .on_body_part = std::move(options.on_body_part)};
  co_await AwaitResponse(attempt, downstream, request, expected,
                         std::move(monitor_options));
  co_return attempt;
}

}  // namespace banyantrail
