#pragma once

#include <cstdint>
#include <vector>

namespace banyantrail {

/// Limits on the requests of one caller connection that run at the same time.
struct PipelineLimits {
  /// Maximum number of requests that run or wait for their turn to be
  /// answered. 1 disables pipelining.
  std::uint32_t max_requests = 8;
  /// Maximum bytes of their heads and of responses that were read before their
  /// turn.
  std::uint64_t max_bytes = 64U << 10U;

  friend bool operator==(const PipelineLimits&,
                         const PipelineLimits&) = default;
};

/// What the schedule of a connection needs to know about a request.
struct PipelinedRequest {
  std::uint64_t head_bytes = 0;
  /// The request is idempotent and has no body. Any other request waits for
  /// those before it and holds back those behind it.
  bool may_run_beside = false;
  /// The caller asks to close the connection after the response, so that what
  /// follows is not a request.
  bool is_last = false;
};

/// Schedules the requests of one caller connection: which request may start,
/// which response may be written next, and when to read on.
class PipelineWindow {
 public:
  /// Orders the requests by their arrival.
  using Ticket = std::uint64_t;

  /// Changes the limits for requests that start from now on.
  void SetLimits(PipelineLimits limits) { m_limits = limits; }

  /// Whether the next request on the connection may start. A request that finds
  /// the window empty may start whatever its size.
  bool MayStart(const PipelinedRequest& request) const;

  /// Adds a request, which starts now.
  Ticket Start(const PipelinedRequest& request);

  /// Whether bytes behind the requests of the window may be read.
  bool MayReadOn() const;

  /// Whether the response to the request is the next one on the connection.
  bool MayWrite(Ticket ticket) const;

  /// Whether no other request of the window is behind this one.
  bool IsLast(Ticket ticket) const;

  /// Asks to read a response of `bytes` before its turn. If it returns false,
  /// the response must stay on the upstream connection until its turn.
  bool ReserveResponse(Ticket ticket, std::uint64_t bytes);

  /// The request was answered or cancelled, and holds no bytes any more.
  void Finish(Ticket ticket);

  bool empty() const { return m_requests.empty(); }
  std::size_t size() const { return m_requests.size(); }
  std::uint64_t bytes() const { return m_bytes; }

 private:
  struct Request {
    Ticket ticket = 0;
    std::uint64_t bytes = 0;
    /// Nothing starts while this request is in the window.
    bool holds_back = false;
  };

  std::vector<Request>::iterator Find(Ticket ticket);

  PipelineLimits m_limits;
  /// In the order of their arrival.
  std::vector<Request> m_requests;
  std::uint64_t m_bytes = 0;
  Ticket m_next_ticket = 0;
};

}  // namespace banyantrail
