#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string_view>

#include "banyantrail/core/random.h"
#include "banyantrail/proxy/answer_head.h"
#include "banyantrail/proxy/answer_relay.h"
#include "banyantrail/proxy/inbound_request.h"
#include "banyantrail/proxy/upstream_pool.h"
#include "banyantrail/traffic/caller_timeout_estimator.h"
#include "banyantrail/traffic/choose_endpoint.h"
#include "banyantrail/traffic/idempotency_ledger.h"
#include "banyantrail/traffic/load_table.h"
#include "banyantrail/traffic/refusal_cache.h"
#include "banyantrail/traffic/retry_policy.h"
#include "banyantrail/traffic/routing_snapshot.h"
#include "banyantrail/traffic/running_requests.h"
#include "banyantrail/traffic/traffic_splitter.h"
#include "banyantrail/wire/edge_dialect.h"

namespace banyantrail {

/// A decision on a request, with what it rests on, for the log.
struct RequestDecision {
  /// "refused" or "sent_again".
  std::string_view kind;
  std::string_view request;
  /// Empty when no rule matched.
  std::string_view rule;
  std::string_view service;
  std::string_view reason;
  /// Status that the caller gets; 0 when the request goes on.
  unsigned status = 0;
  /// Owner nodes that were asked, and sends that may have reached a server.
  std::size_t tried = 0;
  std::uint32_t sends = 0;
  /// Of the configuration that routed it; 0 for none.
  Revision revision = 0;
  Duration left{};
};

/// What the entry stage tells the rest of the node.
struct EntryStageHooks {
  std::function<void(std::string_view reason)> count_refusal;
  std::function<void(std::string_view decision)> count_retry;
  /// An answer went back to a caller: rank priority, status, time since the
  /// head arrived.
  std::function<void(unsigned, unsigned, Duration)> on_answer;
  std::function<void(const RequestDecision&)> on_decision =
      [](const RequestDecision&) {};
};

/// The once-only ledger as the entry stage uses it; see IdempotencyLedger.
/// Empty functions switch it off.
struct OnceOnlyHooks {
  std::function<asio::awaitable<ClaimResult>(std::string object_key,
                                             std::string attempt)>
      claim;
  std::function<asio::awaitable<bool>(HeldClaim, std::uint32_t status)>
      record_result;
  std::function<asio::awaitable<bool>(HeldClaim)> release;
};

/// The first stage of a request's way: any node takes a caller's request,
/// routes it by rule, chooses a backend server and forwards the request to the
/// node beside it. Serves the caller listener.
class EntryStage {
 public:
  struct Options {
    ChoiceOptions choice;
    LoadTableOptions loads;
    RetryPolicyOptions retries;
    /// Repeats that all nodes together may send to a service beside the ratios.
    /// 0 leaves `retries.burst` as it is.
    double fleet_retry_slack = 0;
    InboundLimits limits;
    EntryStageHooks hooks;
    OnceOnlyHooks once_only;
    EdgeDialect dialect;
    /// The service beside this node, named to backend servers as the caller.
    ServiceName local_service;
    /// Makes the names of attempts unique over nodes and their lives.
    std::string attempt_prefix;
    std::uint64_t seed = 0;
  };

  /// `running` holds what runs at the backend servers of this node.
  EntryStage(asio::any_io_executor executor,
             UpstreamPool& pool,
             const RunningRequests& running,
             Options options);

  /// Serves one connection of a caller until it closes.
  asio::awaitable<void> Serve(beast::tcp_stream stream);

  /// The configuration to route by from now on. Requests under way keep the
  /// snapshot that they began with.
  void SetSnapshot(std::shared_ptr<const RoutingSnapshot> snapshot);

  /// Answers carry "Connection: close" from now on, so that callers move to
  /// other nodes while this one drains.
  void StartDrain() { m_draining = true; }

  /// Closes the connections on which no request is under way. A caller that
  /// has just sent one knows that it was not read.
  void CloseIdle();

  std::size_t requests_in_progress() const { return m_in_progress; }

 private:
  /// A request on its way through this stage.
  struct Passage;

  asio::awaitable<void> Handle(Downstream& downstream, InboundRequest& request);
  std::optional<RefusalReason> Classify(Passage& passage);
  asio::awaitable<bool> ClaimOrder(Downstream& downstream, Passage& passage);
  void RecordResult(Passage& passage, std::uint32_t status);
  asio::awaitable<void> Forward(Downstream& downstream, Passage& passage);
  asio::awaitable<void> RefuseMalformed(Downstream& downstream,
                                        HeadRefusal refusal);
  asio::awaitable<void> Refuse(Downstream& downstream,
                               Passage& passage,
                               RefusalReason reason);
  asio::awaitable<void> Return(Downstream& downstream,
                               Passage& passage,
                               Attempt& attempt);
  AttemptOptions OptionsFor(const Passage& passage,
                            const ServiceEndpoint& endpoint) const;
  asio::awaitable<Attempt> Try(Downstream& downstream,
                               Passage& passage,
                               const ServiceEndpoint& endpoint);
  bool MayRetry(const Passage& passage, const Attempt& attempt);
  void ShareRetryBudget();
  std::vector<EndpointKey> Excluded(const Passage& passage) const;
  void ReportDecision(const Passage& passage,
                      std::string_view kind,
                      std::string_view reason,
                      unsigned status);
  void NoteRoom(const Passage& passage,
                const ServiceEndpoint& endpoint,
                const Attempt& attempt);
  RetryPolicy& PolicyFor(const ServiceName& service);
  Duration ReturnDelay();
  void SetTimes(Passage& passage);
  void Finish(const Passage& passage, unsigned status);

  asio::any_io_executor m_executor;
  UpstreamPool& m_pool;
  const RunningRequests& m_running;
  Options m_options;
  Rng m_rng;
  std::shared_ptr<const RoutingSnapshot> m_snapshot;
  TrafficSplitter m_splitter;
  CallerTimeoutEstimator m_full_deadlines;
  LoadTable m_loads;
  RefusalCache m_refusals{RefusalCache::Options{}};
  std::map<ServiceName, RetryPolicy> m_retry_policies;
  std::uint64_t m_last_attempt = 0;
  bool m_draining = false;
  std::size_t m_in_progress = 0;
  /// Connections whose next request has not arrived whole.
  std::set<Downstream*> m_waiting;
};

}  // namespace banyantrail
