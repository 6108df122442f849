#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string_view>

#include "banyantrail/core/random.h"
#include "banyantrail/proxy/caller_pipeline.h"
#include "banyantrail/proxy/inbound_request.h"
#include "banyantrail/proxy/message_head.h"
#include "banyantrail/proxy/response_relay.h"
#include "banyantrail/proxy/upstream_pool.h"
#include "banyantrail/traffic/caller_timeout_estimator.h"
#include "banyantrail/traffic/choose_endpoint.h"
#include "banyantrail/traffic/exposure_control.h"
#include "banyantrail/traffic/idempotency_ledger.h"
#include "banyantrail/traffic/load_table.h"
#include "banyantrail/traffic/refusal_cache.h"
#include "banyantrail/traffic/retry_policy.h"
#include "banyantrail/traffic/rollout_counter.h"
#include "banyantrail/traffic/routing_snapshot.h"
#include "banyantrail/traffic/running_requests.h"
#include "banyantrail/traffic/service_time.h"
#include "banyantrail/traffic/traffic_splitter.h"
#include "banyantrail/wire/edge_dialect.h"
#include "banyantrail/wire/request_metadata.h"

namespace banyantrail {

/// A retry or refusal decided by the entry stage, with the data behind it, for
/// the log.
struct RequestDecision {
  /// "refused" or "sent_again".
  std::string_view kind;
  /// Request id that the caller sent, if its dialect has one.
  std::string_view request;
  /// Empty when no rule matched.
  std::string_view rule;
  std::string_view service;
  std::string_view reason;
  /// HTTP status sent to the caller; 0 for a retry.
  unsigned status = 0;
  /// Number of attempts, and how many of them may have reached a backend
  /// server.
  std::size_t tried = 0;
  std::uint32_t sends = 0;
  /// Revision of the configuration used for routing; 0 for none.
  Revision revision;
  /// Time until the deadline.
  Duration remaining{};
};

/// Callbacks of the entry stage into the rest of the node.
struct EntryStageHooks {
  std::function<void(std::string_view reason)> count_refusal;
  std::function<void(std::string_view decision)> count_retry;
  /// Called after a response was sent to a caller, with the rank priority, the
  /// HTTP status and the time since the request was read.
  std::function<void(unsigned, unsigned, Duration)> on_response;
  std::function<void(const RequestDecision&)> on_decision =
      [](const RequestDecision&) {};
  /// A chunked body exceeded ChunkLimits; its connection is closed.
  std::function<void()> on_chunk_limit = [] {};
  /// Whether keys may be accepted now by the configuration of this revision.
  std::function<bool(Revision)> may_accept_keys = [](Revision) { return true; };
};

/// Access of the entry stage to the IdempotencyLedger. Empty functions disable
/// it.
struct IdempotencyHooks {
  std::function<asio::awaitable<ClaimResult>(std::string object_key,
                                             std::string attempt)>
      claim;
  std::function<asio::awaitable<bool>(HeldClaim, std::uint32_t status)>
      record_result;
  std::function<asio::awaitable<bool>(HeldClaim)> release;
};

/// Access of the entry stage to the rate limits of teams. Empty functions
/// disable them.
struct QuotaHooks {
  /// Waits a short time for a token of the team, never beyond the deadline.
  /// Returns when the caller may expect one if there is none.
  std::function<asio::awaitable<std::optional<Duration>>(TeamName, TimePoint)>
      acquire;
  /// A request that got a token certainly did not run.
  std::function<void(const TeamName&)> give_back;
};

/// The first stage of the request path, which runs on any node: routes a
/// caller's request by rule, selects a backend server and forwards the request
/// to the owner node of that server. Serves the caller listener.
class EntryStage {
 public:
  struct Options {
    ChoiceOptions choice;
    LoadTableOptions loads;
    RetryPolicyOptions retries;
    /// Retries that all nodes together may send to a service in addition to the
    /// retry ratios. 0 leaves `retries.burst` unchanged.
    double fleet_retry_burst = 0;
    InboundLimits limits;
    /// For requests that callers send ahead of responses, unless the
    /// configuration declares others.
    PipelineLimits pipelining;
    EntryStageHooks hooks;
    IdempotencyHooks idempotency;
    QuotaHooks quota;
    EdgeDialect dialect;
    /// The service on this node's VM, which backend servers are told is the
    /// caller.
    ServiceName local_service;
    /// Makes attempt names unique across nodes and restarts.
    std::string attempt_prefix;
    std::uint64_t seed = 0;
    /// Limits the requests to new versions of services, and counts responses by
    /// version. Null to ignore versions.
    ExposureControl* exposure = nullptr;
    RolloutCounter* rollout_counter = nullptr;
  };

  /// `running` holds the requests that run at the backend servers of this node.
  EntryStage(asio::any_io_executor executor,
             UpstreamPool& pool,
             const RunningRequests& running,
             Options options);

  /// Serves one connection of a caller until it closes.
  asio::awaitable<void> Serve(beast::tcp_stream stream);

  /// Sets the configuration for routing new requests. Requests in progress keep
  /// the snapshot that they started with.
  void SetSnapshot(std::shared_ptr<const RoutingSnapshot> snapshot);

  /// Sends "Connection: close" with every response from now on, so that callers
  /// move to other nodes while this one drains. New requests get no more time
  /// than until `end`, and are refused if they cannot be expected to finish
  /// before it.
  void StartDrain(TimePoint end);

  /// Gives up waiting for backend servers, so that each request in progress is
  /// answered before the node stops.
  void EndRequests();

  /// Closes the connections without a request in progress. If a caller has just
  /// sent one, the close shows that it was not processed. No later request is
  /// forwarded: a connection may have been accepted, or a part of a request
  /// read, without its session having been resumed yet.
  void CloseIdle();

  /// Closes the connection that has waited for a request for the longest time.
  /// Returns false if there is none.
  bool CloseOldestWaiting();

  std::size_t requests_in_progress() const { return m_in_progress; }

 private:
  /// State of one request in this stage.
  struct RequestContext;
  class Registration;

  PipelineLimits CurrentPipelineLimits() const;
  CallerPipeline::Options PipelineOptions(Downstream& downstream);
  asio::awaitable<void> HandleReadAhead(Downstream& downstream,
                                        InboundRequest& request,
                                        ResponseTurn& turn);
  asio::awaitable<void> Handle(Downstream& downstream,
                               InboundRequest& request,
                               ResponseTurn& turn);
  static bool IsIdempotent(const http::request_header<>& head,
                           const RoutingSnapshot& snapshot);
  std::optional<RefusalReason> ResolveRoute(RequestContext& context);
  asio::awaitable<bool> AcquireQuotaToken(RequestContext& context);
  void GiveBackQuotaToken(RequestContext& context, RefusalReason reason);
  asio::awaitable<bool> ClaimIdempotencyKey(Downstream& downstream,
                                            RequestContext& context);
  void RecordResult(RequestContext& context, std::uint32_t status);
  asio::awaitable<void> Forward(Downstream& downstream,
                                RequestContext& context);
  asio::awaitable<void> RefuseMalformed(Downstream& downstream,
                                        HeadRefusal refusal);
  asio::awaitable<void> Refuse(Downstream& downstream,
                               RequestContext& context,
                               RefusalReason reason);
  bool ShouldKeepAlive(const Downstream& downstream,
                       const RequestContext& context) const;
  asio::awaitable<bool> AwaitTurn(Downstream& downstream,
                                  RequestContext& context,
                                  Attempt& attempt,
                                  BodyBuffer& read_before);
  asio::awaitable<void> ReturnResponse(Downstream& downstream,
                                       RequestContext& context,
                                       Attempt& attempt);
  AttemptOptions AttemptOptionsFor(const RequestContext& context,
                                   const ServiceEndpoint& endpoint) const;
  void SetTeamField(const RequestContext& context, http::fields& head) const;
  RequestMetadata MetadataFor(const RequestContext& context,
                              const ServiceEndpoint& endpoint) const;
  asio::awaitable<Attempt> TryEndpoint(Downstream& downstream,
                                       RequestContext& context,
                                       const ServiceEndpoint& endpoint);
  bool ShouldRetry(const RequestContext& context, const Attempt& attempt);
  void UpdateRetryBurst();
  const ServiceEndpoint* ChooseEndpointFor(RequestContext& context);
  const ServiceEndpoint* ChooseAmongVersions(const RequestContext& context);
  void RecordVersion(const RequestContext& context,
                     const ServiceEndpoint& endpoint,
                     EndpointOutcome outcome,
                     Duration latency);
  static Duration TimeLeft(const RequestContext& context, TimePoint now);
  static bool IsFreeRetry(const RequestContext& context, RefusalReason reason);
  void ReportDecision(const RequestContext& context,
                      std::string_view kind,
                      std::string_view reason,
                      unsigned status);
  void RecordAdmission(const RequestContext& context,
                       const ServiceEndpoint& endpoint,
                       const Attempt& attempt);
  RetryPolicy& RetryPolicyFor(const ServiceName& service);
  Duration RetryAfterDelay(const RequestContext& context);
  bool IsNestedCall(const RequestContext& context) const;
  std::optional<RefusalReason> ResolveTeam(RequestContext& context);
  bool LacksKeyLease(const http::fields& fields, Revision applied) const;
  std::optional<RefusalReason> RecheckKey(const RequestContext& context) const;
  void SetDeadlineAndTarget(RequestContext& context);
  bool MayTakeRequest(const RequestContext& context);
  bool CanFinishBeforeStop(const RequestContext& context);
  void ReportResponse(const RequestContext& context, unsigned status);

  asio::any_io_executor m_executor;
  UpstreamPool& m_pool;
  const RunningRequests& m_running;
  Options m_options;
  Rng m_rng;
  std::shared_ptr<const RoutingSnapshot> m_snapshot;
  TrafficSplitter m_splitter;
  CallerTimeoutEstimator m_caller_timeouts;
  LoadTable m_loads;
  RefusalCache m_refusals{RefusalCache::Options{}};
  /// How long responses take, by routing rule.
  std::map<RuleName, ServiceTimeEstimate> m_response_times;
  std::map<ServiceName, RetryPolicy> m_retry_policies;
  std::uint64_t m_last_attempt = 0;
  bool m_draining = false;
  /// CloseIdle was called.
  bool m_has_closed_idle = false;
  /// When the node stops, if it drains.
  TimePoint m_drain_end = TimePoint::max();
  std::size_t m_in_progress = 0;
  /// Requests that are being forwarded.
  std::set<RequestContext*> m_requests;
  /// Connections whose next request has not been read completely, in the order
  /// in which they began to wait for it.
  std::map<std::uint64_t, Downstream*> m_awaiting_request;
  std::uint64_t m_last_wait = 0;
};

}  // namespace banyantrail
