#include "banyantrail/proxy/entry_stage.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "banyantrail/core/digest.h"
#include "banyantrail/traffic/body_transfers.h"
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
  return failure == LookupFailure::kNoBackendServer
             ? RefusalReason::kNoBackendServer
             : RefusalReason::kNoRoute;
}

/// The outcome header that an owner node sets on its own replies; empty for the
/// response of a backend server.
std::string_view OutcomeHeaderOf(const Attempt& attempt) {
  return FieldValue(attempt.response->get(), kOutcomeHeader);
}

/// Why an attempt brought no response from a backend server.
RefusalReason ReasonOf(const Attempt& attempt) {
  if (attempt.result != UpstreamResult::kResponded) {
    return attempt.reason;
  }
  return ParseRefusalReason(FieldValue(attempt.response->get(), kReasonHeader))
      .value_or(RefusalReason::kMalformedAnswer);
}

std::uint32_t DepthOf(const http::request_header<>& head) {
  return NumberField(head, kDepthHeader).value_or(0);
}

/// Whether the owner node sent the response itself.
bool IsLocalReply(const Attempt& attempt) {
  return attempt.result == UpstreamResult::kResponded &&
         !OutcomeHeaderOf(attempt).empty();
}

bool IsBackendResponse(const Attempt& attempt) {
  return attempt.result == UpstreamResult::kResponded &&
         OutcomeHeaderOf(attempt).empty();
}

/// The endpoint outcome that an owner node's refusal stands for.
EndpointOutcome RefusalOutcomeOf(const Attempt& attempt) {
  switch (ReasonOf(attempt)) {
    case RefusalReason::kQueueFull:
    case RefusalReason::kDeadline:
    case RefusalReason::kDraining:
    case RefusalReason::kShedByBackendServer:
      return EndpointOutcome::kShed;
    case RefusalReason::kConnectFailed:
    case RefusalReason::kBackendServerDown:
      return EndpointOutcome::kConnectFailed;
    default:
      return EndpointOutcome::kFailed;
  }
}

EndpointOutcome OutcomeOf(const Attempt& attempt) {
  switch (attempt.result) {
    case UpstreamResult::kResponded:
      if (!OutcomeHeaderOf(attempt).empty()) {
        return RefusalOutcomeOf(attempt);
      }
      return http::to_status_class(attempt.response->get().result()) ==
                     http::status_class::server_error
                 ? EndpointOutcome::kFailed
                 : EndpointOutcome::kAnswered;
    case UpstreamResult::kNotRun:
      return EndpointOutcome::kConnectFailed;
    case UpstreamResult::kUnknown:
      return EndpointOutcome::kFailed;
    case UpstreamResult::kCallerDisconnected:
      return EndpointOutcome::kCancelled;
  }
  return EndpointOutcome::kCancelled;
}

/// Whether the owner node had no capacity before the deadline.
bool IsForLoad(RefusalReason reason) {
  return reason == RefusalReason::kQueueFull ||
         reason == RefusalReason::kDeadline;
}

/// The size of the body, or the minimum size for a chunked body.
std::uint64_t BodyBytes(const InboundRequest& request) {
  const auto length = request.parser->content_length();
  const std::uint64_t unknown = request.is_streamed ? kMaxReplayBytes : 0;
  return length ? *length : unknown;
}

/// Whether the owner node may have sent the request on.
bool MayHaveReachedServer(const Attempt& attempt) {
  if (attempt.result == UpstreamResult::kNotRun) {
    return false;
  }
  if (IsBackendResponse(attempt) ||
      attempt.result != UpstreamResult::kResponded) {
    return true;
  }
  const RefusalReason reason = ReasonOf(attempt);
  return reason == RefusalReason::kShedByBackendServer || !ProvesNotRun(reason);
}

EndpointResult ResultOf(const Attempt& attempt, Duration latency) {
  EndpointResult result{.outcome = OutcomeOf(attempt)};
  if (attempt.result == UpstreamResult::kResponded) {
    result.load =
        ParseReportedLoad(FieldValue(attempt.response->get(), kLoadHeader));
  }
  if (result.outcome == EndpointOutcome::kAnswered) {
    result.latency = latency;
  }
  return result;
}

}  // namespace

struct EntryStage::Passage {
  InboundRequest& request;
  std::shared_ptr<const RoutingSnapshot> snapshot;
  const Route* route = nullptr;
  const RoutedService* service = nullptr;
  TimePoint started;
  TimePoint deadline;
  /// Latency target: a response after this time has reduced value to the
  /// caller. Empty when none is declared.
  std::optional<TimePoint> target;
  /// The request is a nested call of a request that runs at a backend server of
  /// this node.
  bool is_call = false;
  /// The request carries an idempotency key and must run at most once.
  bool is_keyed_order = false;
  std::optional<HeldClaim> claim;
  /// Recorded status of an earlier run under the same key; 0 if there is none.
  std::uint32_t recorded_status = 0;
  std::vector<EndpointKey> tried;
  /// Number of attempts that may have reached a backend server.
  std::uint32_t sends = 0;
  /// Reason of the last attempt that may have run.
  std::optional<RefusalReason> may_have_run;
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
  m_refusals.Tidy(SystemClock().Now());
  m_splitter.Retain(*m_snapshot);
  ShareRetryBudget();
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
    m_waiting.insert(&downstream);
    ReadResult read = co_await ReadRequest(downstream, m_options.limits);
    m_waiting.erase(&downstream);
    if (read.outcome == ReadOutcome::kClosed) {
      break;
    }
    if (read.outcome == ReadOutcome::kRefused) {
      co_await RefuseMalformed(downstream, read.refusal);
      break;
    }
    ++m_in_progress;
    co_await Handle(downstream, read.request);
    --m_in_progress;
    downstream.must_close = downstream.must_close || m_draining ||
                            !read.request.parser->keep_alive();
  }
  Close(downstream.stream);
}

void EntryStage::CloseIdle() {
  for (Downstream* downstream : m_waiting) {
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
  Passage passage{.request = request,
                  .snapshot = m_snapshot,
                  .started = SystemClock().Now()};
  const std::optional<RefusalReason> refusal = Classify(passage);
  if (refusal) {
    co_await Refuse(downstream, passage, *refusal);
    co_return;
  }
  if (HasDisconnected(downstream)) {
    m_options.hooks.count_refusal(ToString(RefusalReason::kCancelled));
    downstream.must_close = true;
    co_return;
  }
  const bool may_run = co_await ClaimOrder(downstream, passage);
  if (may_run) {
    co_await Forward(downstream, passage);
  }
}

/// Determines the route, service, deadline and latency target of a request.
/// Returns a reason if it cannot be routed.
std::optional<RefusalReason> EntryStage::Classify(Passage& passage) {
  if (!passage.snapshot) {
    return RefusalReason::kNoConfiguration;
  }
  const http::request_header<>& head = passage.request.head();
  const RouteLookup lookup =
      passage.snapshot->FindRoute({.method = MethodOf(head),
                                   .path = PathOf(head),
                                   .host = FieldValue(head, "host")});
  passage.route = lookup.route;
  if (lookup.failure != LookupFailure::kNone) {
    return ReasonOf(lookup.failure);
  }
  const std::size_t service = m_splitter.Next(*lookup.route);
  passage.service = &passage.snapshot->services()[service];
  SetTimes(passage);
  return std::nullopt;
}

/// The deadline is that of the routing rule, or the caller's if that is
/// earlier. The latency target counts from the time when the caller first sent
/// the request.
void EntryStage::SetTimes(Passage& passage) {
  const EdgeDialect& dialect = m_options.dialect;
  const http::request_header<>& head = passage.request.head();
  const Route& route = *passage.route;
  const auto asked = NumberField(head, dialect.deadline);
  const Duration wait =
      asked ? std::min<Duration>(milliseconds(*asked), route.deadline)
            : route.deadline;
  passage.deadline = passage.started + wait;
  passage.is_call = !dialect.request_id.empty() &&
                    m_running.IsCall(FieldValue(head, dialect.request_id));
  if (route.target_latency > Duration::zero()) {
    const Duration waited =
        asked && !passage.is_call
            ? m_full_deadlines.Waited(route.rule, milliseconds(*asked),
                                      passage.started)
            : Duration{};
    passage.target = passage.started + route.target_latency - waited;
  }
}

/// Claims the idempotency key of a request that carries one. Returns false if
/// the request must not run now; a refusal has then been sent.
asio::awaitable<bool> EntryStage::ClaimOrder(Downstream& downstream,
                                             Passage& passage) {
  const std::string key(
      FieldValue(passage.request.head(), kIdempotencyKeyHeader));
  passage.is_keyed_order = !key.empty() && !passage.route->idempotent &&
                           m_options.once_only.claim != nullptr;
  if (!passage.is_keyed_order) {
    co_return true;
  }
  const std::string attempt =
      m_options.attempt_prefix + std::to_string(++m_last_attempt);
  const std::string object_key = OnceObjectKey(passage.service->name, key);
  ClaimResult result = co_await m_options.once_only.claim(object_key, attempt);
  if (!result.claim) {
    passage.recorded_status = result.recorded_status;
    co_await Refuse(downstream, passage, result.reason);
    co_return false;
  }
  passage.claim = std::move(result.claim);
  co_return true;
}

/// Records the status of a claimed request in the ledger, without delaying the
/// response.
void EntryStage::RecordResult(Passage& passage, std::uint32_t status) {
  if (!passage.claim) {
    return;
  }
  auto record =
      [](std::function<asio::awaitable<bool>(HeldClaim, std::uint32_t)> hook,
         HeldClaim claim, std::uint32_t answered) -> asio::awaitable<void> {
    co_await hook(std::move(claim), answered);
  };
  asio::co_spawn(m_executor,
                 record(m_options.once_only.record_result,
                        std::move(*passage.claim), status),
                 asio::detached);
  passage.claim.reset();
}

AttemptOptions EntryStage::OptionsFor(const Passage& passage,
                                      const ServiceEndpoint& endpoint) const {
  AttemptOptions options{.server = endpoint.mesh_address,
                         .head = ForwardedHead(passage.request),
                         .deadline = passage.deadline,
                         .expect_continue = true};
  StripInternalFields(options.head, m_options.dialect);
  SetField(options.head, kDeadlineHeader, RemainingMs(passage.deadline));
  SetField(options.head, kDepthHeader,
           std::to_string(DepthOf(passage.request.head()) + 1));
  SetField(options.head, kPriorityHeader,
           std::to_string(passage.route->priority));
  SetField(options.head, kIdempotentHeader,
           passage.route->idempotent ? "1" : "0");
  SetField(options.head, kServiceHeader, passage.service->name.str());
  SetField(options.head, kRuleHeader, passage.route->rule.str());
  if (passage.is_call) {
    SetField(options.head, kCallHeader, "1");
  }
  if (passage.request.body.size() >= kLargeBodyBytes) {
    SetField(options.head, kBodyHashHeader,
             std::to_string(Hash64(passage.request.body)));
  }
  if (passage.target) {
    SetField(options.head, kTargetHeader, RemainingMs(*passage.target));
  }
  if (!m_options.local_service.empty()) {
    SetField(options.head, kCallerServiceHeader, m_options.local_service.str());
  }
  SetField(options.head, kBackendServerHeader, endpoint.id.str());
  return options;
}

asio::awaitable<void> EntryStage::Forward(Downstream& downstream,
                                          Passage& passage) {
  if (!passage.is_call) {
    PolicyFor(passage.service->name).OnFirstAttempt();
  }
  while (true) {
    const ServiceEndpoint* endpoint =
        Choose(passage.service->endpoints, m_loads, m_options.choice,
               SystemClock().Now(), m_rng,
               {.body_bytes = BodyBytes(passage.request),
                .excluded = Excluded(passage)});
    if (endpoint == nullptr) {
      // Endpoints exist, but none has capacity before the deadline.
      const bool is_full = !passage.service->endpoints.empty();
      co_await Refuse(downstream, passage,
                      is_full ? RefusalReason::kQueueFull
                              : RefusalReason::kNoBackendServer);
      co_return;
    }
    Attempt attempt = co_await Try(downstream, passage, *endpoint);
    if (attempt.result == UpstreamResult::kCallerDisconnected) {
      downstream.must_close = true;
      co_return;
    }
    if (IsLocalReply(attempt)) {
      co_await DiscardRefusalBody(m_pool, attempt);
    }
    if (MayRetry(passage, attempt)) {
      continue;
    }
    if (attempt.result == UpstreamResult::kResponded) {
      co_await Return(downstream, passage, attempt);
    } else {
      co_await Refuse(downstream, passage, attempt.reason);
    }
    co_return;
  }
}

/// Endpoints that were tried, and those known to have no capacity before the
/// deadline. Nested calls are still sent to the latter, because the owner node
/// admits them ahead of new requests.
std::vector<EndpointKey> EntryStage::Excluded(const Passage& passage) const {
  std::vector<EndpointKey> excluded = passage.tried;
  const bool is_large =
      BodyBytes(passage.request) > m_options.choice.max_spill_bytes;
  if (passage.is_call || is_large) {
    return excluded;
  }
  const TimePoint now = SystemClock().Now();
  const RoomRequest room{.priority = passage.route->priority,
                         .slack = passage.deadline - now};
  for (const ServiceEndpoint& endpoint : passage.service->endpoints) {
    EndpointKey key = KeyOf(endpoint);
    if (m_refusals.WouldRefuse(key, room, now)) {
      excluded.push_back(std::move(key));
    }
  }
  return excluded;
}

void EntryStage::ReportDecision(const Passage& passage,
                                std::string_view kind,
                                std::string_view reason,
                                unsigned status) {
  const std::string& id = m_options.dialect.request_id;
  RequestDecision decision{.kind = kind,
                           .reason = reason,
                           .status = status,
                           .tried = passage.tried.size(),
                           .sends = passage.sends};
  if (!id.empty()) {
    decision.request = FieldValue(passage.request.head(), id);
  }
  if (passage.snapshot) {
    decision.revision = passage.snapshot->revision();
  }
  if (passage.route != nullptr) {
    decision.rule = passage.route->rule.str();
    decision.left = passage.deadline - SystemClock().Now();
  }
  if (passage.service != nullptr) {
    decision.service = passage.service->name.str();
  }
  m_options.hooks.on_decision(decision);
}

void EntryStage::NoteRoom(const Passage& passage,
                          const ServiceEndpoint& endpoint,
                          const Attempt& attempt) {
  if (passage.is_call || attempt.result != UpstreamResult::kResponded) {
    return;
  }
  if (IsBackendResponse(attempt)) {
    m_refusals.OnTaken(KeyOf(endpoint));
  } else if (IsForLoad(ReasonOf(attempt))) {
    const TimePoint now = SystemClock().Now();
    m_refusals.OnRefused(
        KeyOf(endpoint),
        {.priority = passage.route->priority, .slack = passage.deadline - now},
        now);
  }
}

asio::awaitable<Attempt> EntryStage::Try(Downstream& downstream,
                                         Passage& passage,
                                         const ServiceEndpoint& endpoint) {
  passage.tried.push_back(KeyOf(endpoint));
  const TimePoint started = SystemClock().Now();
  m_loads.OnStart(endpoint, started);
  AttemptOptions options = OptionsFor(passage, endpoint);
  Attempt attempt = co_await MakeAttempt(m_pool, downstream, passage.request,
                                         std::move(options));
  const TimePoint now = SystemClock().Now();
  m_loads.OnResult(endpoint, ResultOf(attempt, now - started), now);
  passage.sends += MayHaveReachedServer(attempt) ? 1 : 0;
  if (!IsBackendResponse(attempt) && !ProvesNotRun(ReasonOf(attempt))) {
    passage.may_have_run = ReasonOf(attempt);
  }
  NoteRoom(passage, endpoint, attempt);
  if (attempt.result == UpstreamResult::kUnknown) {
    m_pool.DropIdle(endpoint.mesh_address);
  }
  co_return attempt;
}

bool EntryStage::MayRetry(const Passage& passage, const Attempt& attempt) {
  if (IsBackendResponse(attempt)) {
    return false;
  }
  const RefusalReason reason = ReasonOf(attempt);
  const bool second_loss =
      reason == RefusalReason::kConnectionLost && passage.tried.size() > 1;
  if (second_loss) {
    // A retry lost its connection too: the request itself may crash backend
    // servers.
    m_options.hooks.count_retry("second_connection_lost");
    return false;
  }
  const FailedAttempt failed{
      .reason = reason,
      .idempotent = passage.route->idempotent,
      .body_replayable = !passage.request.body_consumed,
      .attempts = passage.sends,
      .max_attempts = passage.route->max_attempts,
      .body_held_back =
          IsForLoad(reason) && BodyBytes(passage.request) >= kLargeBodyBytes,
      .depth = std::max<std::uint32_t>(DepthOf(passage.request.head()),
                                       passage.is_call ? 1 : 0),
      .deadline = passage.deadline};
  const ChoiceRequest rest{.body_bytes = BodyBytes(passage.request),
                           .excluded = passage.tried};
  if (IsForLoad(reason) &&
      !MayTryAnother(passage.service->endpoints, m_options.choice, rest)) {
    m_options.hooks.count_retry("too_large_to_move");
    return false;
  }
  const RetryDecision decision =
      PolicyFor(passage.service->name).Decide(failed, SystemClock().Now());
  m_options.hooks.count_retry(ToString(decision));
  const bool choice_left =
      passage.tried.size() < passage.service->endpoints.size();
  const bool goes_on = IsRetry(decision) && choice_left;
  if (goes_on) {
    ReportDecision(passage, "sent_again", ToString(reason), 0);
  }
  return goes_on;
}

/// Divides the retry burst of the fleet among the nodes, assuming one backend
/// server for each node. The buckets for both kinds of retries share it.
void EntryStage::ShareRetryBudget() {
  constexpr double kBuckets = 2;
  if (m_options.fleet_retry_slack <= 0) {
    return;
  }
  std::size_t nodes = 0;
  for (const RoutedService& service : m_snapshot->services()) {
    nodes += service.endpoints.size();
  }
  m_options.retries.burst =
      m_options.fleet_retry_slack /
      (kBuckets * static_cast<double>(std::max<std::size_t>(nodes, 1)));
  for (auto& [service, policy] : m_retry_policies) {
    policy.SetBurst(m_options.retries.burst);
  }
}

RetryPolicy& EntryStage::PolicyFor(const ServiceName& service) {
  return m_retry_policies.try_emplace(service, m_options.retries).first->second;
}

asio::awaitable<void> EntryStage::Return(Downstream& downstream,
                                         Passage& passage,
                                         Attempt& attempt) {
  const bool is_local_reply = !OutcomeHeaderOf(attempt).empty();
  if (is_local_reply) {
    // The entry node replaces the refusal by its own: it knows the caller's
    // dialect, and has to update the ledger before the caller is told.
    co_await Refuse(downstream, passage, ReasonOf(attempt));
    co_return;
  }
  const bool keep_alive = !downstream.must_close && !m_draining &&
                          passage.request.parser->keep_alive();
  const unsigned status = attempt.response->get().result_int();
  RecordResult(passage, status);
  http::response_header<> head = ReturnedHead(attempt);
  StripInternalResponseFields(head, is_local_reply);
  const RelayOutcome outcome = co_await RelayResponse(
      attempt, downstream, std::move(head), keep_alive, passage.deadline);
  switch (outcome) {
    case RelayOutcome::kComplete:
      Finish(passage, status);
      if (!attempt.must_close_upstream) {
        m_pool.Release(std::move(attempt.upstream));
      }
      break;
    case RelayOutcome::kNothingSent:
      co_await Refuse(downstream, passage, RefusalReason::kAnswerCut);
      break;
    case RelayOutcome::kTruncated:
      m_options.hooks.count_refusal(ToString(RefusalReason::kAnswerCut));
      break;
    case RelayOutcome::kCallerDisconnected:
      m_options.hooks.count_refusal(ToString(RefusalReason::kCancelled));
      break;
  }
}

asio::awaitable<void> EntryStage::Refuse(Downstream& downstream,
                                         Passage& passage,
                                         RefusalReason last_reason) {
  const RefusalReason reason = ReasonForAll(passage.may_have_run, last_reason);
  m_options.hooks.count_refusal(ToString(reason));
  LocalReply reply = RefusalReply(reason, m_options.dialect);
  reply.fractional_retry_after = m_options.dialect.fractional_retry_after;
  if (reply.status == http::status::service_unavailable) {
    reply.retry_after = ReturnDelay();
  }
  if (passage.is_keyed_order) {
    const bool not_run = MaySayNotRun(reason, passage.claim.has_value());
    reply.outcome =
        not_run ? ExecutionOutcome::kNotRun : ExecutionOutcome::kUnknown;
    reply.recorded_status = passage.recorded_status;
    if (not_run) {
      // The claim is given up for good before the caller is told "not run".
      HeldClaim claim = std::move(*passage.claim);
      passage.claim.reset();
      co_await m_options.once_only.release(std::move(claim));
    }
  }
  const unsigned status = static_cast<unsigned>(reply.status);
  ReportDecision(passage, "refused", ToString(reason), status);
  const bool body_unread =
      passage.request.is_streamed && !passage.request.parser->is_done();
  const bool keep_alive =
      !body_unread && !m_draining && passage.request.parser->keep_alive();
  co_await SendLocalReply(downstream, std::move(reply), keep_alive);
  downstream.must_close = downstream.must_close || !keep_alive;
  Finish(passage, status);
}

/// Delay for "Retry-After", with jitter so that callers that were refused
/// together do not retry together.
Duration EntryStage::ReturnDelay() {
  constexpr milliseconds kLeast{100};
  constexpr std::size_t kSpreadMs = 200;
  return kLeast + milliseconds(UniformIndex(m_rng, kSpreadMs));
}

void EntryStage::Finish(const Passage& passage, unsigned status) {
  const unsigned priority =
      passage.route == nullptr ? 0 : passage.route->priority;
  m_options.hooks.on_response(priority, status,
                              SystemClock().Now() - passage.started);
}

}  // namespace banyantrail
