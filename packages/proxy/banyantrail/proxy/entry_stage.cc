#include "banyantrail/proxy/entry_stage.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "banyantrail/core/digest.h"
#include "banyantrail/proxy/attempt_outcome.h"
#include "banyantrail/proxy/caller_team.h"
#include "banyantrail/proxy/metadata_fields.h"
#include "banyantrail/traffic/body_transfers.h"
#include "banyantrail/traffic/retry_after.h"
#include "banyantrail/wire/mesh_headers.h"

namespace banyantrail {
namespace {

std::string_view PathOf(const http::request_header<>& head) {
  const std::string_view target(head.target().data(), head.target().size());
  return target.substr(0, target.find('?'));
}

std::string_view MethodOf(const http::request_header<>& head) {
  return {head.method_string().data(), head.method_string().size()};
}

RefusalReason ReasonOf(LookupFailure failure) {
  switch (failure) {
    case LookupFailure::kNoBackendServer:
      return RefusalReason::kNoBackendServer;
    case LookupFailure::kRouteDisabled:
      return RefusalReason::kRouteDisabled;
    default:
      return RefusalReason::kNoRoute;
  }
}

/// Requests on the same route have similar service times.
std::uint64_t KindOf(const Route& route) {
  return Hash64(route.rule.str());
}

std::uint32_t DepthOf(const http::request_header<>& head) {
  return NumberField(head, kDepthHeader).value_or(0);
}

/// The size of the body, or the minimum size for a chunked body.
std::uint64_t BodyBytes(const InboundRequest& request) {
  const auto length = request.parser->content_length();
  const std::uint64_t min_size = request.is_streamed ? kMaxReplayBytes : 0;
  return length ? *length : min_size;
}

}  // namespace

struct EntryStage::RequestContext {
  InboundRequest& request;
  std::shared_ptr<const RoutingSnapshot> snapshot;
  const Route* route = nullptr;
  const RoutedService* service = nullptr;
  /// Null if the request carries no key of a team.
  const RoutedTeam* team = nullptr;
  /// The priority of the team, or that of the route.
  std::uint8_t priority = 0;
  TimePoint started;
  TimePoint deadline;
  /// Latency target: a response after this time has reduced value to the
  /// caller. Empty when none is declared.
  std::optional<TimePoint> target;
  /// The request is a nested call of a request that runs at a backend server of
  /// this node.
  bool is_nested_call = false;
  /// The request carries an idempotency key and must run at most once.
  bool needs_claim = false;
  std::optional<HeldClaim> claim;
  /// Recorded status of an earlier run under the same key; 0 if there is none.
  std::uint32_t recorded_status = 0;
  std::vector<EndpointKey> tried;
  /// Load of the endpoint that was tried last, as its owner node reported it.
  std::optional<ReportedLoad> last_load;
  /// Connection of the attempt that is running; null while there is none.
  Upstream* upstream = nullptr;
  /// Number of attempts that may have reached a backend server.
  std::uint32_t sends = 0;
  /// Reason of the last attempt that may have run.
  std::optional<RefusalReason> may_have_run;
};

/// Keeps a request in a set while it exists, also if it ends with an exception.
class EntryStage::Registration {
 public:
  Registration(std::set<RequestContext*>& requests, RequestContext& context)
      : m_requests(requests), m_context(context) {
    m_requests.insert(&m_context);
  }
  Registration(const Registration&) = delete;
  Registration& operator=(const Registration&) = delete;
  ~Registration() { m_requests.erase(&m_context); }

 private:
  std::set<RequestContext*>& m_requests;
  RequestContext& m_context;
};

EntryStage::EntryStage(asio::any_io_executor executor,
                       UpstreamPool& pool,
                       const RunningRequests& running,
                       Options options)
    : m_executor(std::move(executor)),
      m_pool(pool),
      m_running(running),
      m_options(std::move(options)),
      m_rng(m_options.seed),
      m_loads(m_options.loads) {}

void EntryStage::SetSnapshot(std::shared_ptr<const RoutingSnapshot> snapshot) {
  m_snapshot = std::move(snapshot);
  m_loads.Retain(m_snapshot->services(), SystemClock().Now());
  m_refusals.EvictExpired(SystemClock().Now());
  std::erase_if(m_response_times, [](const auto& entry) {
    return !entry.second.Mean(SystemClock().Now());
  });
  m_splitter.Retain(*m_snapshot);
  UpdateRetryBurst();
  const auto& limits = m_snapshot->caller_limits();
  if (limits) {
    m_options.limits = {.max_header_bytes = limits->max_header_bytes,
                        .max_body_bytes = limits->max_body_bytes,
                        .idle_timeout = limits->idle_timeout,
                        .head_timeout = limits->header_timeout};
  }
}

asio::awaitable<void> EntryStage::Serve(beast::tcp_stream stream) {
  Downstream downstream(std::move(stream));
  while (!downstream.must_close) {
    m_awaiting_request.insert(&downstream);
    ReadResult read = co_await ReadRequest(downstream, m_options.limits);
    m_awaiting_request.erase(&downstream);
    if (read.outcome == ReadOutcome::kClosed) {
      break;
    }
    if (read.outcome == ReadOutcome::kRefused) {
      co_await RefuseMalformed(downstream, read.refusal);
      break;
    }
    const CountInProgress in_progress(m_in_progress);
    co_await Handle(downstream, read.request);
    if (read.request.exceeds_chunk_limits()) {
      m_options.hooks.on_chunk_limit();
    }
    downstream.has_unread_body = read.request.has_unread_body();
    downstream.must_close = downstream.must_close || m_draining ||
                            !read.request.parser->keep_alive();
  }
  co_await CloseAfterResponse(downstream);
}

void EntryStage::StartDrain(TimePoint end) {
  m_draining = true;
  m_drain_end = end;
}

void EntryStage::EndRequests() {
  const TimePoint now = SystemClock().Now();
  for (RequestContext* context : m_requests) {
    context->deadline = std::min(context->deadline, now);  // No retries.
    if (context->upstream != nullptr) {
      context->upstream->stream.cancel();
    }
  }
}

void EntryStage::CloseIdle() {
  for (Downstream* downstream : m_awaiting_request) {
    downstream->must_close = true;
    downstream->stream.cancel();
  }
}

asio::awaitable<void> EntryStage::RefuseMalformed(Downstream& downstream,
                                                  HeadRefusal refusal) {
  m_options.hooks.count_refusal(refusal.reason);
  LocalReply reply{
      .status = refusal.status,
      .outcome = ExecutionOutcome::kNotRun,
      .reason = std::string(refusal.reason),
      .remedy = "send a well-formed HTTP/1.1 request within the limits"};
  co_await SendLocalReply(downstream, std::move(reply), false);
}

asio::awaitable<void> EntryStage::Handle(Downstream& downstream,
                                         InboundRequest& request) {
  RequestContext context{.request = request,
                         .snapshot = m_snapshot,
                         .started = SystemClock().Now()};
  const std::optional<RefusalReason> refusal = ResolveRoute(context);
  if (refusal) {
    co_await Refuse(downstream, context, *refusal);
    co_return;
  }
  if (HasDisconnected(downstream)) {
    m_options.hooks.count_refusal(ToString(RefusalReason::kCancelled));
    downstream.must_close = true;
    co_return;
  }
  if (!CanFinishBeforeStop(context)) {
    co_await Refuse(downstream, context, RefusalReason::kDraining);
    co_return;
  }
  const bool may_run = co_await ClaimIdempotencyKey(downstream, context);
  if (may_run) {
    const Registration registration(m_requests, context);
    co_await Forward(downstream, context);
  }
}

/// Whether the node stops late enough for the time that requests of the route
/// take.
bool EntryStage::CanFinishBeforeStop(const RequestContext& context) {
  if (!m_draining) {
    return true;
  }
  const TimePoint now = SystemClock().Now();
  const Duration expected =
      m_response_times[context.route->rule].Mean(now).value_or(
          Duration::zero());
  return now + expected < m_drain_end;
}

/// Determines the route, service, deadline and latency target of a request.
/// Returns a reason if it cannot be routed.
std::optional<RefusalReason> EntryStage::ResolveRoute(RequestContext& context) {
  if (!context.snapshot) {
    return RefusalReason::kNoConfiguration;
  }
  const http::request_header<>& head = context.request.head();
  const RouteLookup lookup =
      context.snapshot->FindRoute({.method = MethodOf(head),
                                   .path = PathOf(head),
                                   .host = FieldValue(head, "host")});
  context.route = lookup.route;
  if (lookup.route != nullptr) {
    const std::optional<RefusalReason> refusal = ResolveTeam(context);
    if (refusal) {
      return refusal;
    }
  }
  if (lookup.failure != LookupFailure::kNone) {
    return ReasonOf(lookup.failure);
  }
  const std::size_t service = m_splitter.Next(*lookup.route);
  context.service = &context.snapshot->services()[service];
  SetDeadlineAndTarget(context);
  return std::nullopt;
}

/// Determines the team and the priority of a request. Returns a reason if it
/// lacks a team's key.
std::optional<RefusalReason> EntryStage::ResolveTeam(RequestContext& context) {
  context.priority = context.route->priority;
  const std::string& request_id = m_options.dialect.request_id;
  context.is_nested_call =
      !request_id.empty() &&
      m_running.IsNestedCall(FieldValue(context.request.head(), request_id));
  if (LacksKeyLease(context.request.head(), context.snapshot->revision())) {
    return RefusalReason::kKeyLeaseExpired;
  }
  if (context.snapshot->teams().empty()) {
    return std::nullopt;
  }
  const CallerTeam caller =
      FindCallerTeam(context.request.head(), *context.snapshot);
  if (caller.has_unknown_key ||
      IsKeyMissing(caller, *context.route, context.is_nested_call)) {
    return RefusalReason::kUnknownKey;
  }
  context.team = caller.team;
  if (context.team != nullptr) {
    context.priority = context.team->priority.value_or(context.priority);
  }
  return std::nullopt;
}

/// Whether a request carries a key that this node must not accept now. This
/// includes unknown keys, and all keys if no team is declared: a newer
/// configuration may declare teams.
bool EntryStage::LacksKeyLease(const http::fields& fields,
                               Revision applied) const {
  return fields.count(http::field::authorization) > 0 &&
         !m_options.hooks.may_accept_keys(applied);
}

/// Checks the key again, before a request is sent again, by the configuration
/// that is applied now. Returns a reason if it must not be sent.
std::optional<RefusalReason> EntryStage::RecheckKey(
    const RequestContext& context) const {
  if (context.team == nullptr) {
    return std::nullopt;
  }
  const http::request_header<>& head = context.request.head();
  if (LacksKeyLease(head, m_snapshot->revision())) {
    return RefusalReason::kKeyLeaseExpired;
  }
  const bool is_removed = !m_snapshot->teams().empty() &&
                          FindCallerTeam(head, *m_snapshot).has_unknown_key;
  return is_removed ? std::optional(RefusalReason::kUnknownKey) : std::nullopt;
}

/// The deadline is that of the routing rule, or the caller's if that is
/// earlier. The latency target counts from the time when the caller first sent
/// the request.
void EntryStage::SetDeadlineAndTarget(RequestContext& context) {
  const EdgeDialect& dialect = m_options.dialect;
  const http::request_header<>& head = context.request.head();
  const Route& route = *context.route;
  const auto caller_timeout = NumberField(head, dialect.deadline);
  const Duration timeout =
      caller_timeout
          ? std::min<Duration>(milliseconds(*caller_timeout), route.deadline)
          : route.deadline;
  context.deadline = std::min(context.started + timeout, m_drain_end);
  if (route.target_latency > Duration::zero()) {
    const Duration already_waited =
        caller_timeout && !context.is_nested_call
            ? m_caller_timeouts.RecordDeadline(
                  route.rule, milliseconds(*caller_timeout), context.started)
            : Duration{};
    context.target = context.started + route.target_latency - already_waited;
  }
}

/// Claims the idempotency key of a request that carries one. Returns false if
/// the request must not run now; a refusal has then been sent.
asio::awaitable<bool> EntryStage::ClaimIdempotencyKey(Downstream& downstream,
                                                      RequestContext& context) {
  const std::string key(
      FieldValue(context.request.head(), kIdempotencyKeyHeader));
  context.needs_claim = !key.empty() && !context.route->idempotent &&
                        m_options.idempotency.claim != nullptr;
  if (!context.needs_claim) {
    co_return true;
  }
  const std::string attempt =
      m_options.attempt_prefix + std::to_string(++m_last_attempt);
  const std::string object_key =
      IdempotencyObjectKey(context.service->name, key);
  ClaimResult result =
      co_await m_options.idempotency.claim(object_key, attempt);
  if (!result.claim) {
    context.recorded_status = result.recorded_status;
    co_await Refuse(downstream, context, result.reason);
    co_return false;
  }
  context.claim = std::move(result.claim);
  co_return true;
}

/// Records the status of a claimed request in the ledger, without delaying the
/// response.
void EntryStage::RecordResult(RequestContext& context, std::uint32_t status) {
  if (!context.claim) {
    return;
  }
  auto record =
      [](std::function<asio::awaitable<bool>(HeldClaim, std::uint32_t)> hook,
         HeldClaim claim,
         std::uint32_t response_status) -> asio::awaitable<void> {
    co_await hook(std::move(claim), response_status);
  };
  asio::co_spawn(m_executor,
                 record(m_options.idempotency.record_result,
                        std::move(*context.claim), status),
                 asio::detached);
  context.claim.reset();
}

AttemptOptions EntryStage::AttemptOptionsFor(
    const RequestContext& context,
    const ServiceEndpoint& endpoint) const {
  AttemptOptions options{.server = endpoint.mesh_address,
                         .head = ForwardedHead(context.request),
                         .deadline = context.deadline,
                         .expect_continue = true};
  StripInternalFields(options.head, m_options.dialect);
  SetTeamField(context, options.head);
  if (endpoint.mesh_version > 0) {
    // The metadata holds both.
    EraseField(options.head, m_options.dialect.deadline);
    EraseField(options.head, kDepthHeader);
  }
  SetRequestMetadata(options.head, MetadataFor(context, endpoint),
                     endpoint.mesh_version);
  return options;
}

/// Replaces the key, which backend servers must not see, by the team's name.
void EntryStage::SetTeamField(const RequestContext& context,
                              http::fields& head) const {
  if (context.snapshot->teams().empty()) {
    return;
  }
  head.erase(http::field::authorization);
  EraseField(head, m_options.dialect.team);
  if (context.team != nullptr) {
    SetField(head, m_options.dialect.team, context.team->name.str());
  }
}

RequestMetadata EntryStage::MetadataFor(const RequestContext& context,
                                        const ServiceEndpoint& endpoint) const {
  RequestMetadata metadata{.time_left = RemainingTime(context.deadline),
                           .depth = DepthOf(context.request.head()) + 1,
                           .priority = context.priority,
                           .is_idempotent = context.route->idempotent,
                           .is_nested_call = context.is_nested_call,
                           .kind = KindOf(*context.route),
                           .service = context.service->name,
                           .server = endpoint.id,
                           .caller_service = m_options.local_service};
  if (context.target) {
    metadata.target_left = RemainingTime(*context.target);
  }
  if (context.request.body.size() >= kLargeBodyBytes) {
    metadata.body_hash = std::to_string(Hash64(context.request.body));
  }
  return metadata;
}

asio::awaitable<void> EntryStage::Forward(Downstream& downstream,
                                          RequestContext& context) {
  if (!context.is_nested_call) {
    RetryPolicyFor(context.service->name).OnFirstAttempt();
  }
  while (true) {
    const ServiceEndpoint* endpoint = ChooseEndpointFor(context);
    if (endpoint == nullptr) {
      // Endpoints exist, but none has capacity before the deadline.
      const bool has_endpoints = !context.service->endpoints.empty();
      co_await Refuse(downstream, context,
                      has_endpoints ? RefusalReason::kQueueFull
                                    : RefusalReason::kNoBackendServer);
      co_return;
    }
    Attempt attempt = co_await TryEndpoint(downstream, context, *endpoint);
    if (attempt.result == UpstreamResult::kCallerDisconnected) {
      downstream.must_close = true;
      co_return;
    }
    if (IsLocalReply(attempt)) {
      co_await DiscardRefusalBody(m_pool, attempt);
    }
    if (ShouldRetry(context, attempt)) {
      const std::optional<RefusalReason> refusal = RecheckKey(context);
      if (refusal) {
        co_await Refuse(downstream, context, *refusal);
        co_return;
      }
      continue;
    }
    if (attempt.result == UpstreamResult::kResponded) {
      co_await ReturnResponse(downstream, context, attempt);
    } else {
      co_await Refuse(downstream, context, attempt.reason);
    }
    co_return;
  }
}

/// Chooses among the endpoints that were not tried yet and are not known to
/// have no capacity before the deadline. Nested calls are still sent to the
/// latter, because the owner node admits them ahead of new requests.
const ServiceEndpoint* EntryStage::ChooseEndpointFor(
    const RequestContext& context) {
  const TimePoint now = SystemClock().Now();
  const RequestUrgency urgency{.priority = context.priority,
                               .slack = context.deadline - now};
  ChoiceRequest request{
      .body_bytes = BodyBytes(context.request),
      .excluded = context.tried,
      .time_left = TimeLeft(context, now),
      .expected_duration = m_response_times[context.route->rule].Mean(now),
      .kind = KindOf(*context.route)};
  const bool is_large = request.body_bytes > m_options.choice.max_spill_bytes;
  if (!context.is_nested_call && !is_large) {
    request.is_excluded = [&](const ServiceEndpoint& endpoint) {
      return m_refusals.WouldRefuse(endpoint, urgency, now);
    };
  }
  return ChooseEndpoint(context.service->endpoints, m_loads, m_options.choice,
                        now, m_rng, request);
}

/// The time for a response of full use, or until the deadline when the target
/// has passed or none is declared.
Duration EntryStage::TimeLeft(const RequestContext& context, TimePoint now) {
  const bool can_meet_target = context.target && *context.target > now;
  return (can_meet_target ? *context.target : context.deadline) - now;
}

void EntryStage::ReportDecision(const RequestContext& context,
                                std::string_view kind,
                                std::string_view reason,
                                unsigned status) {
  const std::string& id = m_options.dialect.request_id;
  RequestDecision decision{.kind = kind,
                           .reason = reason,
                           .status = status,
                           .tried = context.tried.size(),
                           .sends = context.sends};
  if (!id.empty()) {
    decision.request = FieldValue(context.request.head(), id);
  }
  if (context.snapshot) {
    decision.revision = context.snapshot->revision();
  }
  if (context.route != nullptr) {
    decision.rule = context.route->rule.str();
    decision.remaining = context.deadline - SystemClock().Now();
  }
  if (context.service != nullptr) {
    decision.service = context.service->name.str();
  }
  m_options.hooks.on_decision(decision);
}

/// Remembers whether the owner node had capacity, for ExcludedEndpoints.
void EntryStage::RecordAdmission(const RequestContext& context,
                                 const ServiceEndpoint& endpoint,
                                 const Attempt& attempt) {
  if (context.is_nested_call || attempt.result != UpstreamResult::kResponded) {
    return;
  }
  if (IsBackendResponse(attempt)) {
    m_refusals.OnAdmitted(KeyOf(endpoint));
  } else if (IsOverload(ReasonOf(attempt))) {
    const TimePoint now = SystemClock().Now();
    m_refusals.OnRefused(
        KeyOf(endpoint),
        {.priority = context.priority, .slack = context.deadline - now}, now);
  }
}

asio::awaitable<Attempt> EntryStage::TryEndpoint(
    Downstream& downstream,
    RequestContext& context,
    const ServiceEndpoint& endpoint) {
  context.tried.push_back(KeyOf(endpoint));
  const TimePoint started = SystemClock().Now();
  m_loads.OnStart(endpoint, started);
  AttemptOptions options = AttemptOptionsFor(context, endpoint);
  options.in_use = &context.upstream;
  Attempt attempt = co_await MakeAttempt(m_pool, downstream, context.request,
                                         std::move(options));
  const TimePoint now = SystemClock().Now();
  EndpointResult result = ResultOf(attempt, now - started);
  result.kind = KindOf(*context.route);
  m_loads.OnResult(endpoint, result, now);
  if (IsBackendResponse(attempt)) {
    m_response_times[context.route->rule].Record(now - started, now);
  }
  context.last_load = LoadOf(attempt);
  context.sends += MayHaveReachedBackendServer(attempt) ? 1 : 0;
  if (!IsBackendResponse(attempt) && !ProvesNotRun(ReasonOf(attempt))) {
    context.may_have_run = ReasonOf(attempt);
  }
  RecordAdmission(context, endpoint, attempt);
  if (attempt.result == UpstreamResult::kUnknown) {
    m_pool.DropIdle(endpoint.mesh_address);
  }
  co_return attempt;
}

/// Whether a retry costs no backend server anything and little else: none of
/// the attempt reached one, and the request is small or was tried only a few
/// times.
bool EntryStage::IsFreeRetry(const RequestContext& context,
                             RefusalReason reason) {
  constexpr std::size_t kMaxFreeRetries = 2;
  const bool reached_no_server =
      IsOverload(reason) || reason == RefusalReason::kConnectFailed;
  const bool is_body_unsent =
      IsOverload(reason) && BodyBytes(context.request) >= kLargeBodyBytes;
  return is_body_unsent ||
         (reached_no_server && context.tried.size() <= kMaxFreeRetries);
}

/// Decides whether to try another endpoint, and counts the decision.
bool EntryStage::ShouldRetry(const RequestContext& context,
                             const Attempt& attempt) {
  if (IsBackendResponse(attempt)) {
    return false;
  }
  const RefusalReason reason = ReasonOf(attempt);
  const bool lost_again =
      reason == RefusalReason::kConnectionLost && context.tried.size() > 1;
  if (lost_again) {
    // A retry lost its connection too: the request itself may crash backend
    // servers.
    m_options.hooks.count_retry("second_connection_lost");
    return false;
  }
  const FailedAttempt failed{
      .reason = reason,
      .idempotent = context.route->idempotent,
      .body_replayable = !context.request.body_consumed,
      .attempts = context.sends,
      .max_attempts = context.route->max_attempts,
      .is_free = IsFreeRetry(context, reason),
      .depth = std::max<std::uint32_t>(DepthOf(context.request.head()),
                                       context.is_nested_call ? 1 : 0),
      .deadline = context.deadline};
  const ChoiceRequest next_choice{.body_bytes = BodyBytes(context.request),
                                  .excluded = context.tried};
  if (IsOverload(reason) &&
      !MayTryAnotherEndpoint(context.service->endpoints, m_options.choice,
                             next_choice)) {
    m_options.hooks.count_retry("too_large_to_move");
    return false;
  }
  const RetryDecision decision =
      RetryPolicyFor(context.service->name).Decide(failed, SystemClock().Now());
  m_options.hooks.count_retry(ToString(decision));
  const bool has_untried =
      context.tried.size() < context.service->endpoints.size();
  const bool retry = IsRetry(decision) && has_untried;
  if (retry) {
    ReportDecision(context, "sent_again", ToString(reason), 0);
  }
  return retry;
}

/// Divides the retry burst of the fleet among the nodes, assuming one backend
/// server for each node. The buckets for both kinds of retries share it.
void EntryStage::UpdateRetryBurst() {
  constexpr double kRetryBuckets = 2;
  if (m_options.fleet_retry_burst <= 0) {
    return;
  }
  std::size_t nodes = 0;
  for (const RoutedService& service : m_snapshot->services()) {
    nodes += service.endpoints.size();
  }
  m_options.retries.burst =
      m_options.fleet_retry_burst /
      (kRetryBuckets * static_cast<double>(std::max<std::size_t>(nodes, 1)));
  for (auto& [service, policy] : m_retry_policies) {
    policy.SetBurst(m_options.retries.burst);
  }
}

RetryPolicy& EntryStage::RetryPolicyFor(const ServiceName& service) {
  return m_retry_policies.try_emplace(service, m_options.retries).first->second;
}

asio::awaitable<void> EntryStage::ReturnResponse(Downstream& downstream,
                                                 RequestContext& context,
                                                 Attempt& attempt) {
  const bool is_local_reply = IsLocalReply(attempt);
  if (is_local_reply) {
    // The entry node replaces the refusal with its own reply: it knows the
    // caller's dialect, and must update the ledger before the caller is told.
    co_await Refuse(downstream, context, ReasonOf(attempt));
    co_return;
  }
  const bool keep_alive = !downstream.must_close &&
                          !context.request.has_unread_body() && !m_draining &&
                          context.request.parser->keep_alive();
  const unsigned status = attempt.response->get().result_int();
  RecordResult(context, status);
  http::response_header<> head = ReturnedHead(attempt);
  StripInternalResponseFields(head, is_local_reply);
  const RelayOutcome outcome = co_await RelayResponse(
      attempt, downstream, std::move(head), keep_alive, context.deadline);
  switch (outcome) {
    case RelayOutcome::kComplete:
      ReportResponse(context, status);
      if (!attempt.must_close_upstream) {
        m_pool.Release(std::move(attempt.upstream));
      }
      break;
    case RelayOutcome::kNothingSent:
      co_await Refuse(downstream, context, RefusalReason::kResponseTruncated);
      break;
    case RelayOutcome::kTruncated:
      m_options.hooks.count_refusal(
          ToString(RefusalReason::kResponseTruncated));
      break;
    case RelayOutcome::kCallerDisconnected:
      m_options.hooks.count_refusal(ToString(RefusalReason::kCancelled));
      break;
  }
}

asio::awaitable<void> EntryStage::Refuse(Downstream& downstream,
                                         RequestContext& context,
                                         RefusalReason last_reason) {
  const RefusalReason reason =
      CombinedReason(context.may_have_run, last_reason);
  m_options.hooks.count_refusal(ToString(reason));
  LocalReply reply = RefusalReply(reason, m_options.dialect);
  reply.fractional_retry_after = m_options.dialect.fractional_retry_after;
  if (reply.status == http::status::service_unavailable) {
    reply.retry_after = RetryAfterDelay(context);
  }
  if (context.needs_claim) {
    const bool not_run = MayReportNotRun(reason, context.claim.has_value());
    reply.outcome =
        not_run ? ExecutionOutcome::kNotRun : ExecutionOutcome::kUnknown;
    reply.recorded_status = context.recorded_status;
    if (not_run) {
      // The claim is released before the caller is told "not run".
      HeldClaim claim = std::move(*context.claim);
      context.claim.reset();
      co_await m_options.idempotency.release(std::move(claim));
    }
  }
  const unsigned status = static_cast<unsigned>(reply.status);
  ReportDecision(context, "refused", ToString(reason), status);
  const bool keep_alive = !downstream.must_close &&
                          !context.request.has_unread_body() && !m_draining &&
                          context.request.parser->keep_alive();
  co_await SendLocalReply(downstream, std::move(reply), keep_alive);
  downstream.must_close = downstream.must_close || !keep_alive;
  ReportResponse(context, status);
}

/// Delay for "Retry-After": long enough for the queue that refused the request
/// to drain, and spread over the time in which the caller would still return,
/// so that callers that were refused together do not return together.
Duration EntryStage::RetryAfterDelay(const RequestContext& context) {
  const TimePoint now = SystemClock().Now();
  std::optional<Duration> service_time;
  if (context.route != nullptr) {
    service_time = m_response_times[context.route->rule].Mean(now);
  }
  return ChooseRetryAfter({.time_left = context.deadline - now,
                           .load = context.last_load,
                           .service_time = service_time},
                          m_rng);
}

void EntryStage::ReportResponse(const RequestContext& context,
                                unsigned status) {
  m_options.hooks.on_response(context.priority, status,
                              SystemClock().Now() - context.started);
}

}  // namespace banyantrail
