#pragma once

#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <vector>

#include "banyantrail/proxy/buffered_request.h"
#include "banyantrail/traffic/pipeline_window.h"
#include "banyantrail/traffic/routing_snapshot.h"

namespace banyantrail {

class CallerPipeline;

/// The place of one request in the order of the responses on its connection.
class ResponseTurn {
 public:
  ResponseTurn(CallerPipeline& pipeline,
               std::shared_ptr<const RoutingSnapshot> snapshot)
      : m_pipeline(pipeline), m_snapshot(std::move(snapshot)) {}
  ResponseTurn(const ResponseTurn&) = delete;
  ResponseTurn& operator=(const ResponseTurn&) = delete;

  /// Whether the response may be written now.
  bool MayWrite() const;

  /// Returns true once the response may be written, or false if the request was
  /// cancelled.
  asio::awaitable<bool> Wait();

  /// See PipelineWindow::ReserveResponse.
  bool ReserveResponse(std::uint64_t bytes);

  /// Whether no request that was started is behind this one.
  bool IsLast() const;

  /// The caller has disconnected, or an earlier response closed the connection.
  bool is_cancelled() const { return m_is_cancelled; }

  /// The configuration by which the request is handled. Null if there is none.
  const std::shared_ptr<const RoutingSnapshot>& snapshot() const {
    return m_snapshot;
  }

  /// Connection of the attempt that is running; null while there is none.
  Upstream* upstream = nullptr;

 private:
  friend CallerPipeline;

  void Cancel();
  void Wake();

  CallerPipeline& m_pipeline;
  std::shared_ptr<const RoutingSnapshot> m_snapshot;
  /// Empty while nothing was read ahead behind the request.
  std::optional<PipelineWindow::Ticket> m_ticket;
  bool m_is_cancelled = false;
  /// Set while the request waits for its turn.
  std::optional<asio::steady_timer> m_wakeup;
};

/// Runs the requests of one caller connection beside each other. The session
/// reads and handles a request itself. If more requests have arrived or arrive
/// while it runs, those that may run beside it are read from the connection and
/// handled in coroutines of their own. Any other request stays in the buffer of
/// the connection until the window is empty, and the session reads it next.
class CallerPipeline {
 public:
  struct Options {
    /// Whether the route of a request allows it to run more than once.
    std::function<bool(const http::request_header<>&, const RoutingSnapshot&)>
        is_idempotent;
    /// Handles a request that was read ahead.
    std::function<asio::awaitable<void>(InboundRequest&, ResponseTurn&)> handle;
    /// The configuration for the next request; null if no more may start.
    std::function<std::shared_ptr<const RoutingSnapshot>()> snapshot;
  };

  CallerPipeline(Downstream& downstream, Options options);
  CallerPipeline(const CallerPipeline&) = delete;
  CallerPipeline& operator=(const CallerPipeline&) = delete;

  /// Applies to requests that are read ahead from now on.
  void SetLimits(PipelineLimits limits, const InboundLimits& inbound);

  /// The session handles `request`, which must exist until `End`.
  ResponseTurn& Begin(const InboundRequest& request,
                      std::shared_ptr<const RoutingSnapshot> snapshot);

  /// The session has answered or given up its request.
  void End();

  /// Requests that were read ahead still run. Until Drain has returned, the
  /// session must not use the connection.
  bool is_active() const { return m_is_reading || m_running > 0; }

  /// Returns when all requests that were read ahead have ended.
  asio::awaitable<void> Drain();

 private:
  friend ResponseTurn;

  struct ReadAheadRequest {
    InboundRequest request;
    ResponseTurn turn;
  };

  /// Why no further request was started.
  enum class NextStep { kStarted, kReadBytes, kWait };

  PipelinedRequest Describe(const InboundRequest& request,
                            std::uint64_t head_bytes,
                            const RoutingSnapshot* snapshot) const;
  void OnBytesAhead();
  asio::awaitable<void> ReadAhead();
  asio::awaitable<void> ReadBytes();
  asio::awaitable<void> WaitForCapacity();
  NextStep StartNext();
  bool TakeHeadMemory(BufferedRequest& next) const;
  void Start(BufferedRequest next,
             const PipelinedRequest& description,
             std::shared_ptr<const RoutingSnapshot> snapshot);
  asio::awaitable<void> Handle(ReadAheadRequest& request);
  void AddTurn(ResponseTurn& turn, const PipelinedRequest& description);
  void OnEnded(ResponseTurn& turn);
  void OnDisconnected();
  void CancelRequests();
  void StopReading();

  Downstream& m_downstream;
  Options m_options;
  PipelineLimits m_limits;
  InboundLimits m_inbound;
  PipelineWindow m_window;
  /// Turns of the requests in the window, in their order.
  std::vector<ResponseTurn*> m_turns;
  /// The request that the session handles.
  const InboundRequest* m_session_request = nullptr;
  std::optional<ResponseTurn> m_session_turn;
  /// Requests that were read ahead and have not ended.
  std::size_t m_running = 0;
  /// The next request in the buffer must wait until the window is empty.
  bool m_is_blocked = false;
  bool m_is_reading = false;
  bool m_is_awaiting_bytes = false;
  bool m_must_stop_reading = false;
  asio::steady_timer m_reader_wakeup;
  asio::steady_timer m_session_wakeup;
};

}  // namespace banyantrail
