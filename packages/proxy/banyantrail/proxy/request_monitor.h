#pragma once

#include <functional>
#include <memory>

#include "banyantrail/proxy/connection.h"
#include "banyantrail/proxy/inbound_request.h"

namespace banyantrail {

/// Looks after the downstream side while the answer is awaited: pumps a
/// streamed body to the upstream and then watches for the caller hanging up,
/// in which case it cancels the wait for the answer, so that the slot at the
/// backend server is freed.
///
/// The upstream and downstream objects must outlive `Stop`.
class RequestMonitor {
 public:
  struct Options {
    /// The outgoing head; with a streaming request the monitor sends the body,
    /// framed as the head says.
    http::request_header<> head;
    /// Unless the head was already sent, it goes out with the first piece of
    /// the body, so that a sender that gave up before has proof that nothing
    /// reached the upstream.
    bool head_sent = false;
    /// Called once when the whole body of a streaming request has arrived.
    std::function<void()> on_body_taken = [] {};
  };

  RequestMonitor(Downstream& downstream,
                 Upstream& upstream,
                 InboundRequest& request,
                 Options options);
  RequestMonitor(const RequestMonitor&) = delete;
  RequestMonitor& operator=(const RequestMonitor&) = delete;

  void Start(const asio::any_io_executor& executor);

  /// Ends the monitoring and returns when nothing of it runs any more.
  asio::awaitable<void> Stop();

  /// The caller closed or broke its connection.
  bool caller_gone() const;

  /// The head, or part of it, may have reached the upstream.
  bool head_sent() const;

  /// The whole request body reached the upstream connection.
  bool body_sent() const;

 private:
  struct State;
  std::shared_ptr<State> m_state;
};

}  // namespace banyantrail
