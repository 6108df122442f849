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

/// What the owner node says of a request that no backend server answered, or an
/// empty view for a backend server's answer.
std::string_view SystemOutcomeOf(const Attempt& attempt) {
  return FieldValue(attempt.answer->get(), kOutcomeHeader);
}

/// The reason of an attempt without an answer of a backend server.
RefusalReason ReasonOf(const Attempt& attempt) {
  if (attempt.result != UpstreamResult::kAnswered) {
    return attempt.reason;
  }
  return ParseRefusalReason(FieldValue(attempt.answer->get(), kReasonHeader))
      .value_or(RefusalReason::kMalformedAnswer);
}

std::uint32_t DepthOf(const http::request_header<>& head) {
  return NumberField(head, kDepthHeader).value_or(0);
}

/// Whether the owner node made the answer, not its backend server.
bool IsSystemAnswer(const Attempt& attempt) {
  return attempt.result == UpstreamResult::kAnswered &&
         !SystemOutcomeOf(attempt).empty();
}

bool IsBackendAnswer(const Attempt& attempt) {
  return attempt.result == UpstreamResult::kAnswered &&
         SystemOutcomeOf(attempt).empty();
}

/// What an owner node's refusal says of its backend server.
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
    case UpstreamResult::kAnswered:
      if (!SystemOutcomeOf(attempt).empty()) {
        return RefusalOutcomeOf(attempt);
      }
      return http::to_status_class(attempt.answer->get().result()) ==
                     http::status_class::server_error
                 ? EndpointOutcome::kFailed
                 : EndpointOutcome::kSuccess;
    case UpstreamResult::kNotRun:
      return EndpointOutcome::kConnectFailed;
    case UpstreamResult::kUnknown:
      return EndpointOutcome::kFailed;
    case UpstreamResult::kCallerGone:
      return EndpointOutcome::kCancelled;
  }
  return EndpointOutcome::kCancelled;
}

/// Whether the owner node had no room in time.
bool IsForLoad(RefusalReason reason) {
  return reason == RefusalReason::kQueueFull ||
         reason == RefusalReason::kDeadline;
}

/// The size of the body; of one that streams in chunks, the least it may have.
std::uint64_t BodyBytes(const InboundRequest& request) {
  const auto length = request.parser->content_length();
  const std::uint64_t unknown = request.streams ? kMaxReplayBytes : 0;
  return length ? *length : unknown;
}

/// Whether the request may have left the owner node.
bool MayHaveReachedServer(const Attempt& attempt) {
  if (attempt.result == UpstreamResult::kNotRun) {
    return false;
  }
  if (IsBackendAnswer(attempt) || attempt.result != UpstreamResult::kAnswered) {
    return true;
  }
  const RefusalReason reason = ReasonOf(attempt);
  return reason == RefusalReason::kShedByBackendServer || !ProvesNotRun(reason);
}

EndpointResult ResultOf(const Attempt& attempt, Duration latency) {
  EndpointResult result{.outcome = OutcomeOf(attempt)};
  if (attempt.result == UpstreamResult::kAnswered) {
    result.load =
        ParseReportedLoad(FieldValue(attempt.answer->get(), kLoadHeader));
  }
  if (result.outcome == EndpointOutcome::kSuccess) {
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
  /// An answer by this time is of full use; empty when not declared.
  std::optional<TimePoint> target;
  /// A run at this node's backend server makes the call.
  bool is_call = false;
  /// The order carries an idempotency key and must run at most once.
  bool is_keyed_order = false;
  std::optional<HeldClaim> claim;
  /// Status that the ledger has on record, for an order that ran before.
  std::uint32_t recorded_status = 0;
  /// Endpoints already tried.
  std::vector<EndpointKey> tried;
  /// Backend servers that the request may have reached.
  std::uint32_t sends = 0;
  /// Reason of an attempt that may have run.
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
  m_refusals.EvictExpired(SystemClock().Now());
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
  SystemAnswer answer{
      .status = refusal.status,
      .outcome = SystemOutcome::kNotRun,
      .reason = std::string(refusal.reason),
      .remedy = "send a well-formed HTTP/1.1 request within the limits"};
  co_await SendSystemAnswer(downstream, std::move(answer), false);
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
  if (HasHungUp(downstream)) {
    m_options.hooks.count_refusal(ToString(RefusalReason::kCancelled));
    downstream.must_close = true;
    co_return;
  }
  const bool may_run = co_await ClaimOrder(downstream, passage);
  if (may_run) {
    co_await Forward(downstream, passage);
  }
}

/// Finds the route, the service and the deadline of a request.
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

/// The deadline is the rule's, or the caller's if that is sooner. The target
/// counts from when the caller first sent the request.
void EntryStage::SetTimes(Passage& passage) {
  const EdgeDialect& dialect = m_options.dialect;
  const http::request_header<>& head = passage.request.head();
  const Route& route = *passage.route;
  const auto asked = NumberField(head, dialect.deadline);
  const Duration wait =
      asked ? std::min<Duration>(milliseconds(*asked), route.deadline)
            : route.deadline;
  passage.deadline = passage.started + wait;
  passage.is_call =
      !dialect.request_id.empty() &&
      m_running.IsNestedCall(FieldValue(head, dialect.request_id));
  if (route.target_latency > Duration::zero()) {
    const Duration waited =
        asked && !passage.is_call
            ? m_full_deadlines.RecordDeadline(route.rule, milliseconds(*asked),
                                              passage.started)
            : Duration{};
    passage.target = passage.started + route.target_latency - waited;
  }
}

/// Claims an order that carries an idempotency key. Returns false when it was
/// answered here, because it must not run now.
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
  const std::string object_key =
      IdempotencyObjectKey(passage.service->name, key);
  ClaimResult result = co_await m_options.once_only.claim(object_key, attempt);
  if (!result.claim) {
    passage.recorded_status = result.recorded_status;
    co_await Refuse(downstream, passage, result.reason);
    co_return false;
  }
  passage.claim = std::move(result.claim);
  co_return true;
}

/// Records how a claimed order was answered, beside the answer's own way.
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
                         .ask_before_body = true};
  StripInternalFields(options.head, m_options.dialect);
  SetField(options.head, kDeadlineHeader, RemainingMs(passage.deadline));
  SetField(options.head, kDepthHeader,
           std::to_string(DepthOf(passage.request.head()) + 1));
  SetField(options.head, kPriorityHeader,
           std::to_string(passage.route->priority));
  SetField(options.head, kIdempotentHeader,
           passage.route->idempotent ? "1" : "0");
  SetField(options.head, kServiceHeader, passage.service->name.str());
  SetField(options.head, kRoutingRuleHeader, passage.route->rule.str());
  if (passage.is_call) {
    SetField(options.head, kNestedCallHeader, "1");
  }
  if (passage.request.body.size() >= kLargeBodyBytes) {
    SetField(options.head, kBodyHashHeader,
             std::to_string(Hash64(passage.request.body)));
  }
  if (passage.target) {
    SetField(options.head, kTargetLatencyHeader, RemainingMs(*passage.target));
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
        ChooseEndpoint(passage.service->endpoints, m_loads, m_options.choice,
                       SystemClock().Now(), m_rng,
                       {.body_bytes = BodyBytes(passage.request),
                        .excluded = Excluded(passage)});
    if (endpoint == nullptr) {
      // Some server may be there, but none with room in time.
      const bool is_full = !passage.service->endpoints.empty();
      co_await Refuse(downstream, passage,
                      is_full ? RefusalReason::kQueueFull
                              : RefusalReason::kNoBackendServer);
      co_return;
    }
    Attempt attempt = co_await Try(downstream, passage, *endpoint);
    if (attempt.result == UpstreamResult::kCallerGone) {
      downstream.must_close = true;
      co_return;
    }
    if (IsSystemAnswer(attempt)) {
      co_await FinishRefusal(m_pool, attempt);
    }
    if (MayRetry(passage, attempt)) {
      continue;
    }
    if (attempt.result == UpstreamResult::kAnswered) {
      co_await Return(downstream, passage, attempt);
    } else {
      co_await Refuse(downstream, passage, attempt.reason);
    }
    co_return;
  }
}

/// Endpoints that were tried, and those known to have no room in time. Calls of
/// runs under way are always carried there: their owner node puts them first.
std::vector<EndpointKey> EntryStage::Excluded(const Passage& passage) const {
  std::vector<EndpointKey> excluded = passage.tried;
  const bool is_large =
      BodyBytes(passage.request) > m_options.choice.max_spill_bytes;
  if (passage.is_call || is_large) {
    return excluded;
  }
  const TimePoint now = SystemClock().Now();
  const RequestUrgency room{.priority = passage.route->priority,
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
  if (passage.is_call || attempt.result != UpstreamResult::kAnswered) {
    return;
  }
  if (IsBackendAnswer(attempt)) {
    m_refusals.OnAdmitted(KeyOf(endpoint));
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
  if (!IsBackendAnswer(attempt) && !ProvesNotRun(ReasonOf(attempt))) {
    passage.may_have_run = ReasonOf(attempt);
  }
  NoteRoom(passage, endpoint, attempt);
  if (attempt.result == UpstreamResult::kUnknown) {
    m_pool.Distrust(endpoint.mesh_address);
  }
  co_return attempt;
}

bool EntryStage::MayRetry(const Passage& passage, const Attempt& attempt) {
  if (IsBackendAnswer(attempt)) {
    return false;
  }
  const RefusalReason reason = ReasonOf(attempt);
  const bool second_loss =
      reason == RefusalReason::kConnectionLost && passage.tried.size() > 1;
  if (second_loss) {
    // Two connections lost in a row: the request may be what kills them.
    m_options.hooks.count_retry("second_connection_lost");
    return false;
  }
  const FailedAttempt failed{
      .reason = reason,
      .idempotent = passage.route->idempotent,
      .body_replayable = !passage.request.body_taken,
      .attempts = passage.sends,
      .max_attempts = passage.route->max_attempts,
      .body_unsent =
          IsForLoad(reason) && BodyBytes(passage.request) >= kLargeBodyBytes,
      .depth = std::max<std::uint32_t>(DepthOf(passage.request.head()),
                                       passage.is_call ? 1 : 0),
      .deadline = passage.deadline};
  const ChoiceRequest rest{.body_bytes = BodyBytes(passage.request),
                           .excluded = passage.tried};
  if (IsForLoad(reason) && !MayTryAnotherEndpoint(passage.service->endpoints,
                                                  m_options.choice, rest)) {
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

/// Divides the fleet's slack among the nodes, of which each serves one backend
/// server. Both kinds of retries draw on it.
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
  const bool made_by_system = !SystemOutcomeOf(attempt).empty();
  if (made_by_system) {
    // The entry node words the refusal: it knows the caller's dialect, and the
    // ledger has to know before the caller does.
    co_await Refuse(downstream, passage, ReasonOf(attempt));
    co_return;
  }
  const bool keep_alive = !downstream.must_close && !m_draining &&
                          passage.request.parser->keep_alive();
  const unsigned status = attempt.answer->get().result_int();
  RecordResult(passage, status);
  http::response_header<> head = ReturnedHead(attempt);
  StripInternalAnswerFields(head, made_by_system);
  const RelayOutcome outcome = co_await RelayAnswer(
      attempt, downstream, std::move(head), keep_alive, passage.deadline);
  switch (outcome) {
    case RelayOutcome::kWhole:
      Finish(passage, status);
      if (!attempt.upstream_spent) {
        m_pool.Keep(std::move(attempt.upstream));
      }
      break;
    case RelayOutcome::kNothingSent:
      co_await Refuse(downstream, passage, RefusalReason::kAnswerCut);
      break;
    case RelayOutcome::kCut:
      m_options.hooks.count_refusal(ToString(RefusalReason::kAnswerCut));
      break;
    case RelayOutcome::kCallerGone:
      m_options.hooks.count_refusal(ToString(RefusalReason::kCancelled));
      break;
  }
}

asio::awaitable<void> EntryStage::Refuse(Downstream& downstream,
                                         Passage& passage,
                                         RefusalReason last_reason) {
  const RefusalReason reason =
      CombinedReason(passage.may_have_run, last_reason);
  m_options.hooks.count_refusal(ToString(reason));
  SystemAnswer answer = RefusalAnswer(reason, m_options.dialect);
  answer.fractional_retry_after = m_options.dialect.fractional_retry_after;
  if (answer.status == http::status::service_unavailable) {
    answer.retry_after = ReturnDelay();
  }
  if (passage.is_keyed_order) {
    const bool not_run = MayReportNotRun(reason, passage.claim.has_value());
    answer.outcome = not_run ? SystemOutcome::kNotRun : SystemOutcome::kUnknown;
    answer.recorded_status = passage.recorded_status;
    if (not_run) {
      // From here on the claim is never used, so that "not run" stays true.
      HeldClaim claim = std::move(*passage.claim);
      passage.claim.reset();
      co_await m_options.once_only.release(std::move(claim));
    }
  }
  const unsigned status = static_cast<unsigned>(answer.status);
  ReportDecision(passage, "refused", ToString(reason), status);
  const bool body_unread =
      passage.request.streams && !passage.request.parser->is_done();
  const bool keep_alive =
      !body_unread && !m_draining && passage.request.parser->keep_alive();
  co_await SendSystemAnswer(downstream, std::move(answer), keep_alive);
  downstream.must_close = downstream.must_close || !keep_alive;
  Finish(passage, status);
}

/// When a refused caller may come back, spread so that callers that were
/// refused together do not return together.
Duration EntryStage::ReturnDelay() {
  constexpr milliseconds kLeast{100};
  constexpr std::size_t kSpreadMs = 200;
  return kLeast + milliseconds(UniformIndex(m_rng, kSpreadMs));
}

void EntryStage::Finish(const Passage& passage, unsigned status) {
  const unsigned priority =
      passage.route == nullptr ? 0 : passage.route->priority;
  m_options.hooks.on_answer(priority, status,
                            SystemClock().Now() - passage.started);
}

}  // namespace banyantrail
