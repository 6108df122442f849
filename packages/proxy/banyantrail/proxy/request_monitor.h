#pragma once

#include <functional>
#include <memory>
#include <string_view>

#include "banyantrail/proxy/connection.h"
#include "banyantrail/proxy/inbound_request.h"

namespace banyantrail {

/// Handles the downstream side while the response is awaited: forwards a
/// streamed body to the upstream and then watches for the caller to disconnect.
/// If it does, the wait for the response is cancelled, so that the slot of the
/// backend server is freed.
///
/// The upstream and downstream objects must outlive `Stop`.
class RequestMonitor {
 public:
  struct Options {
    /// The head to send. It also determines the framing of a streamed body.
    http::request_header<> head;
    /// The head was already sent. Otherwise it is sent with the first part of
    /// the body, so that nothing has reached the upstream if the sender
    /// disconnects before that.
    bool head_sent = false;
    /// Asked just before the head is sent with the first part of the body. If
    /// it returns false, nothing is sent and the wait for the response ends.
    std::function<bool()> may_send = [] { return true; };
    /// Called once when the whole body of a streamed request was received.
    std::function<void()> on_body_received = [] {};
    /// Called with each part of a streamed body, before it is sent.
    std::function<void(std::string_view part)> on_body_part =
        [](std::string_view) {};
  };

  RequestMonitor(Downstream& downstream,
                 Upstream& upstream,
                 InboundRequest& request,
                 Options options);
  RequestMonitor(const RequestMonitor&) = delete;
  RequestMonitor& operator=(const RequestMonitor&) = delete;

  void Start(const asio::any_io_executor& executor);

  /// Stops monitoring. After it returns, the monitor no longer uses the
  /// connections.
  asio::awaitable<void> Stop();

  /// The caller closed or reset its connection.
  bool caller_disconnected() const;

  /// The head, or part of it, may have reached the upstream.
  bool head_sent() const;

  /// `may_send` returned false, so that nothing was sent.
  bool send_refused() const;

  /// The whole request body was written to the upstream connection.
  bool body_sent() const;

 private:
  struct State;
  std::shared_ptr<State> m_state;
};

}  // namespace banyantrail
