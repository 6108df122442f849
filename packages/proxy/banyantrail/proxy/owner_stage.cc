#include "banyantrail/proxy/owner_stage.h"

#include <utility>

#include "banyantrail/core/digest.h"
#include "banyantrail/proxy/disconnect_watch.h"
#include "banyantrail/traffic/body_transfers.h"
#include "banyantrail/wire/mesh_headers.h"

namespace banyantrail {
namespace {

/// Time to the deadline of a request without a deadline header.
constexpr Duration kDefaultDeadline = seconds(30);

/// Priority of a request without a priority header.
constexpr std::uint32_t kLeastUrgentPriority = 255;

TimePoint DeadlineOf(const http::request_header<>& head) {
  const auto remaining = NumberField(head, kDeadlineHeader);
  const TimePoint now = SystemClock().Now();
  return now +
         (remaining ? Duration(milliseconds(*remaining)) : kDefaultDeadline);
}

std::string FormatLoad(const AdmissionLoad& load) {
  const std::size_t demand = load.in_flight + load.queued;
  return std::to_string(demand) + "/" + std::to_string(load.limit);
}

/// Removes the headers from the entry node that are not meant for the backend
/// server.
void StripMeshFields(http::fields& head) {
  for (const std::string_view name :
       {kDeadlineHeader, kTargetLatencyHeader, kNestedCallHeader,
        kRoutingRuleHeader, kPriorityHeader, kIdempotentHeader, kServiceHeader,
        kBackendServerHeader, kCallerServiceHeader, kBodyHashHeader}) {
    head.erase(beast::string_view(name.data(), name.size()));
  }
}

/// Whether the connection comes from a process on this VM.
bool IsFromSameHost(const Downstream& downstream) {
  boost::system::error_code error;
  const asio::ip::tcp::socket& socket = downstream.stream.socket();
  const auto remote = socket.remote_endpoint(error);
  const auto local = socket.local_endpoint(error);
  return !error && remote.address() == local.address();
}

/// A fingerprint that recognises the request when it is sent again, from its
/// idempotency key or else from a hash of its body, if one is available.
std::optional<RequestFingerprint> FingerprintFor(const InboundRequest& request,
                                                 const ServiceName& service) {
  const http::request_header<>& head = request.head();
  const std::string_view key = FieldValue(head, kIdempotencyKeyHeader);
  const std::string digest =
      request.body.empty() ? std::string(FieldValue(head, kBodyHashHeader))
                           : std::to_string(Hash64(request.body));
  return FingerprintOf(
      {.service = service,
       .method = {head.method_string().data(), head.method_string().size()},
       .target = {head.target().data(), head.target().size()},
       .discriminator = key.empty() ? std::string_view(digest) : key,
       .has_body = request.is_streamed || !request.body.empty()});
}

}  // namespace

OwnerStage::OwnerStage(asio::any_io_executor executor,
                       UpstreamPool& pool,
                       RunningRequests& running,
                       Options options)
    : m_executor(std::move(executor)),
      m_pool(pool),
      m_running(running),
      m_options(std::move(options)),
      m_quarantine(m_options.quarantine) {
  m_options.limits.admit_before_body = true;
  const auto transfer_options =
      BodyTransferQueueOptions(m_options.link_bytes_per_s);
  if (transfer_options) {
    m_transfer_gate =
        std::make_unique<AdmissionGate>(m_executor, *transfer_options);
  }
}

asio::awaitable<void> OwnerStage::Serve(beast::tcp_stream stream) {
  Downstream downstream(std::move(stream));
  while (!downstream.must_close) {
    ReadResult read = co_await ReadRequest(downstream, m_options.limits);
    if (read.outcome == ReadOutcome::kRefused) {
      m_options.hooks.count_refusal(RefusalReason::kMalformedRequest);
      LocalReply reply = RefusalReply(RefusalReason::kMalformedRequest);
      reply.status = read.refusal.status;
      co_await SendLocalReply(downstream, std::move(reply), false);
    }
    if (read.outcome != ReadOutcome::kRequest) {
      break;
    }
    ++m_in_progress;
    co_await Handle(downstream, read.request);
    --m_in_progress;
  }
  Close(downstream.stream);
}

asio::awaitable<void> OwnerStage::Handle(Downstream& downstream,
                                         InboundRequest& request) {
  RequestContext context{.request = request,
                         .backend = FindBackend(request.head()),
                         .id = ++m_last_request,
                         .deadline = DeadlineOf(request.head())};
  std::optional<RefusalReason> refusal = CheckBackendState(context.backend);
  if (!refusal) {
    refusal = co_await AwaitTransferSlot(downstream, context);
  }
  if (!refusal) {
    refusal = co_await Admit(downstream, context);
  }
  if (!refusal) {
    refusal = co_await BeginIsolation(context);
  }
  if (refusal == RefusalReason::kCancelled) {
    downstream.must_close = true;
  } else if (refusal) {
    co_await Refuse(downstream, request, context.backend, *refusal);
  } else if (HasDisconnected(downstream)) {
    context.backend->gate->Cancel(context.id);
    EndIsolation(context);
    downstream.must_close = true;
  } else {
    co_await Forward(downstream, context);
    EndIsolation(context);
  }
  ReleaseTransferSlot(context);
}

/// Waits until the body of the request may be sent over the VM's link. A sender
/// on this VM does not use the link.
asio::awaitable<std::optional<RefusalReason>> OwnerStage::AwaitTransferSlot(
    Downstream& downstream,
    RequestContext& context) {
  const bool is_large = context.request.is_streamed;
  if (!m_transfer_gate || !is_large || IsFromSameHost(downstream)) {
    co_return std::nullopt;
  }
  const std::optional<RefusalReason> refusal = co_await AwaitAdmission(
      downstream, *m_transfer_gate, AdmissionRequestFor(context));
  if (!refusal) {
    context.transfer_started = SystemClock().Now();
  }
  co_return refusal;
}

void OwnerStage::ReleaseTransferSlot(RequestContext& context) {
  if (!context.transfer_started) {
    return;
  }
  const Duration duration = SystemClock().Now() - *context.transfer_started;
  context.transfer_started.reset();
  m_transfer_gate->Release(context.id, {.latency = duration});
}

/// Runs requests that were in flight at a crash one at a time, and refuses
/// those that are known to crash backend servers.
asio::awaitable<std::optional<RefusalReason>> OwnerStage::BeginIsolation(
    RequestContext& context) {
  constexpr Duration kPollInterval = milliseconds(5);
  context.fingerprint =
      FingerprintFor(context.request, context.backend->record.service);
  if (!context.fingerprint) {
    co_return std::nullopt;
  }
  asio::steady_timer timer(m_executor);
  while (true) {
    const TimePoint now = SystemClock().Now();
    const Quarantine::Verdict verdict =
        m_quarantine.Check(*context.fingerprint, now);
    if (verdict == Quarantine::Verdict::kRefuse) {
      context.backend->gate->Cancel(context.id);
      co_return RefusalReason::kQuarantined;
    }
    context.is_suspect = verdict == Quarantine::Verdict::kRunSerially;
    if (!context.is_suspect || !context.backend->suspect_running) {
      break;
    }
    if (now >= context.deadline) {
      context.backend->gate->Cancel(context.id);
      co_return RefusalReason::kDeadline;
    }
    timer.expires_after(kPollInterval);
    co_await timer.async_wait(asio::use_awaitable);
  }
  context.backend->suspect_running =
      context.backend->suspect_running || context.is_suspect;
  context.backend->in_flight.insert(*context.fingerprint);
  co_return std::nullopt;
}

void OwnerStage::EndIsolation(RequestContext& context) {
  if (!context.fingerprint) {
    return;
  }
  std::multiset<RequestFingerprint>& in_flight = context.backend->in_flight;
  const auto found = in_flight.find(*context.fingerprint);
  if (found != in_flight.end()) {
    in_flight.erase(found);
  }
  if (context.is_suspect) {
    context.backend->suspect_running = false;
  }
}

/// Called when a connection to the backend server broke with a request in
/// flight. If a new connection fails too, the backend server has crashed, and
/// one of the requests in flight may be the cause.
asio::awaitable<void> OwnerStage::DetectCrash(RequestContext& context) {
  const BackendPtr backend = context.backend;
  const UpstreamPtr probe =
      co_await m_pool.Connect(backend->record.address, context.deadline);
  if (probe || backend->in_flight.empty()) {
    co_return;
  }
  const std::vector<RequestFingerprint> in_flight(backend->in_flight.begin(),
                                                  backend->in_flight.end());
  // An empty set keeps the other requests lost in this crash from reporting it
  // again.
  backend->in_flight.clear();
  std::vector<RequestFingerprint> suspects =
      m_quarantine.OnCrash(in_flight, SystemClock().Now());
  m_options.hooks.on_unreachable(backend->record.id);
  if (!suspects.empty()) {
    m_options.hooks.on_crash(backend->record.service, std::move(suspects));
  }
}

void OwnerStage::OnCrashReport(const CrashReportMessage& report) {
  m_quarantine.OnReport(report, SystemClock().Now());
}

OwnerStage::BackendPtr OwnerStage::FindBackend(
    const http::request_header<>& head) const {
  const BackendServerId id(std::string(FieldValue(head, kBackendServerHeader)));
  const auto found = m_backends.find(id);
  if (found == m_backends.end() ||
      found->second->record.service.str() != FieldValue(head, kServiceHeader)) {
    return nullptr;
  }
  return found->second;
}

std::optional<RefusalReason> OwnerStage::CheckBackendState(
    const BackendPtr& backend) const {
  if (!backend) {
    // It was removed after the sender's snapshot was taken. The sender may try
    // another one.
    return RefusalReason::kBackendServerDown;
  }
  switch (backend->record.state) {
    case BackendServerState::kServing:
      return std::nullopt;
    case BackendServerState::kDraining:
      return RefusalReason::kDraining;
    case BackendServerState::kDown:
      return RefusalReason::kBackendServerDown;
  }
  return std::nullopt;
}

asio::awaitable<void> OwnerStage::Refuse(Downstream& downstream,
                                         const InboundRequest& request,
                                         const BackendPtr& backend,
                                         RefusalReason reason) {
  m_options.hooks.count_refusal(reason);
  ReportRefusal(request, backend, reason);
  // A streamed body stays unread, unless the sender still waits for
  // "100 Continue".
  const bool body_unread = request.is_streamed && !request.expects_continue;
  LocalReply reply = RefusalReply(reason);
  if (backend) {
    reply.load = FormatLoad(backend->gate->load());
  }
  co_await SendLocalReply(downstream, std::move(reply), !body_unread);
  downstream.must_close = downstream.must_close || body_unread;
}

void OwnerStage::ReportRefusal(const InboundRequest& request,
                               const BackendPtr& backend,
                               RefusalReason reason) const {
  const http::request_header<>& head = request.head();
  OwnerRefusal refusal{.request = RequestIdOf(request),
                       .service = FieldValue(head, kServiceHeader),
                       .server = FieldValue(head, kBackendServerHeader),
                       .reason = reason,
                       .remaining = milliseconds(
                           NumberField(head, kDeadlineHeader).value_or(0))};
  if (backend) {
    refusal.load = backend->gate->load();
  }
  m_options.hooks.on_refusal(refusal);
}

AdmissionRequest OwnerStage::AdmissionRequestFor(
    const RequestContext& context) {
  const http::request_header<>& head = context.request.head();
  const std::uint32_t priority =
      NumberField(head, kPriorityHeader).value_or(kLeastUrgentPriority);
  const auto target = NumberField(head, kTargetLatencyHeader);
  const std::string_view rule = FieldValue(head, kRoutingRuleHeader);
  AdmissionRequest request{
      .id = context.id,
      .rank_priority = static_cast<std::uint8_t>(priority),
      .deadline = context.deadline,
      .is_nested_call = FieldValue(head, kNestedCallHeader) == "1",
      .kind = rule.empty() ? 0 : Hash64(rule)};
  if (target) {
    request.target = SystemClock().Now() + milliseconds(*target);
  }
  return request;
}

asio::awaitable<std::optional<RefusalReason>> OwnerStage::Admit(
    Downstream& downstream,
    RequestContext& context) {
  const std::optional<RefusalReason> refusal = co_await AwaitAdmission(
      downstream, *context.backend->gate, AdmissionRequestFor(context));
  context.admitted_at = SystemClock().Now();
  co_return refusal;
}

/// Waits until the gate admits or refuses the request, or the sender
/// disconnects.
asio::awaitable<std::optional<RefusalReason>> OwnerStage::AwaitAdmission(
    Downstream& downstream,
    AdmissionGate& gate,
    AdmissionRequest request) {
  const OfferResult result = gate.Offer(request);
  std::optional<RefusalReason> refusal;
  if (const auto* refused = std::get_if<Refused>(&result)) {
    refusal = refused->reason;
  } else if (std::holds_alternative<Queued>(result)) {
    DisconnectWatch watch(downstream,
                          [&gate, id = request.id] { gate.Cancel(id); });
    refusal = co_await gate.Wait(request.id);
    co_await watch.Stop();
  }
  co_return refusal;
}

std::string_view OwnerStage::RequestIdOf(const InboundRequest& request) const {
  const std::string& name = m_options.dialect.request_id;
  return name.empty() ? std::string_view() : FieldValue(request.head(), name);
}

/// Sets the headers for the backend server in the terms of its dialect: the
/// deadline, the calling service, and the backend server that may run the
/// request.
void OwnerStage::SetBackendServerFields(const RequestContext& context,
                                        http::fields& head) const {
  const EdgeDialect& dialect = m_options.dialect;
  if (!dialect.caller_service.empty()) {
    const std::string caller(
        FieldValue(context.request.head(), kCallerServiceHeader));
    SetField(head, dialect.caller_service, caller);
  }
  StripMeshFields(head);
  if (!dialect.propagates_depth) {
    head.erase(beast::string_view(kDepthHeader.data(), kDepthHeader.size()));
  }
  SetField(head, dialect.deadline, RemainingMs(context.deadline));
  if (!dialect.expected_server.empty()) {
    SetField(head, dialect.expected_server, context.backend->record.id.str());
  }
}

asio::awaitable<void> OwnerStage::Forward(Downstream& downstream,
                                          RequestContext& context) {
  AttemptOptions options{
      .server = context.backend->record.address,
      .head = ForwardedHead(context.request),
      .deadline = context.deadline,
      .on_body_received = [this, &context] { ReleaseTransferSlot(context); },
      .dialect = &m_options.dialect};
  SetBackendServerFields(context, options.head);
  const std::string request_id(RequestIdOf(context.request));
  m_running.Add(request_id);
  Attempt attempt = co_await MakeAttempt(m_pool, downstream, context.request,
                                         std::move(options));
  m_running.Remove(request_id);
  RecordConnect(context.backend,
                attempt.reason != RefusalReason::kConnectFailed);
  switch (attempt.result) {
    case UpstreamResult::kResponded:
      co_await ReturnResponse(downstream, context, attempt);
      co_return;
    case UpstreamResult::kCallerDisconnected:
      context.backend->gate->Cancel(context.id);
      downstream.must_close = true;
      co_return;
    case UpstreamResult::kNotRun:
      ReleaseSlot(context, AttemptResult::kFailed);
      break;
    case UpstreamResult::kUnknown:
      ReleaseSlot(context, attempt.reason == RefusalReason::kResponseTimeout
                               ? AttemptResult::kTimedOut
                               : AttemptResult::kFailed);
      m_pool.DropIdle(context.backend->record.address);
      if (attempt.reason == RefusalReason::kConnectionLost) {
        co_await DetectCrash(context);
      }
      break;
  }
  co_await Refuse(downstream, context.request, context.backend, attempt.reason);
}

asio::awaitable<void> OwnerStage::ReturnResponse(Downstream& downstream,
                                                 RequestContext& context,
                                                 Attempt& attempt) {
  if (attempt.reports_not_run) {
    ReleaseSlot(context, AttemptResult::kShed);
    co_await Refuse(downstream, context.request, context.backend,
                    RefusalReason::kShedByBackendServer);
    co_return;
  }
  const std::optional<Duration> keep_alive_timeout =
      KeepAliveTimeout(attempt.response->get());
  http::response_header<> head = ReturnedHead(attempt);
  StripInternalResponseFields(head, false);
  SetField(head, kLoadHeader, FormatLoad(context.backend->gate->load()));
  const RelayOutcome outcome =
      co_await RelayResponse(attempt, downstream, std::move(head),
                             !downstream.must_close, context.deadline);
  switch (outcome) {
    case RelayOutcome::kComplete:
      ReleaseSlot(context, AttemptResult::kCompleted);
      if (context.fingerprint) {
        m_quarantine.OnCompleted(*context.fingerprint);
      }
      if (!attempt.must_close_upstream) {
        m_pool.Release(std::move(attempt.upstream), keep_alive_timeout);
      }
      break;
    case RelayOutcome::kNothingSent:
      ReleaseSlot(context, AttemptResult::kFailed);
      co_await Refuse(downstream, context.request, context.backend,
                      RefusalReason::kResponseTruncated);
      break;
    case RelayOutcome::kTruncated:
      ReleaseSlot(context, AttemptResult::kFailed);
      m_options.hooks.count_refusal(RefusalReason::kResponseTruncated);
      break;
    case RelayOutcome::kCallerDisconnected:
      context.backend->gate->Cancel(context.id);
      break;
  }
}

void OwnerStage::ReleaseSlot(RequestContext& context, AttemptResult result) {
  context.backend->gate->Release(
      context.id,
      {.result = result, .latency = SystemClock().Now() - context.admitted_at});
}

void OwnerStage::RecordConnect(const BackendPtr& backend, bool connected) {
  constexpr unsigned kMaxFailedConnects = 2;
  if (connected) {
    backend->failed_connects = 0;
    return;
  }
  ++backend->failed_connects;
  if (backend->failed_connects >= kMaxFailedConnects) {
    backend->failed_connects = 0;
    m_options.hooks.on_unreachable(backend->record.id);
  }
}

void OwnerStage::SetBackendServers(
    const std::vector<BackendServerRecord>& records) {
  std::map<BackendServerId, BackendPtr> next;
  for (const BackendServerRecord& record : records) {
    BackendPtr backend;
    const auto found = m_backends.find(record.id);
    if (found == m_backends.end()) {
      backend = std::make_shared<Backend>();
      backend->gate = std::make_unique<AdmissionGate>(
          m_executor, AdmissionOptionsFor(record));
    } else {
      backend = found->second;
      const bool was_serving =
          backend->record.state == BackendServerState::kServing;
      const bool is_serving = record.state == BackendServerState::kServing;
      if (was_serving && !is_serving) {
        backend->gate->Drain();
      } else if (!was_serving && is_serving) {
        backend->gate->Restart(record.slots);
      } else {
        backend->gate->SetAnnouncedSlots(record.slots);
      }
    }
    backend->record = record;
    next[record.id] = std::move(backend);
  }
  m_backends = std::move(next);
}

AdmissionOptions OwnerStage::AdmissionOptionsFor(
    const BackendServerRecord& record) const {
  AdmissionOptions options = m_options.admission;
  options.announced_slots = record.slots;
  options.ranks = m_ranks;
  return options;
}

void OwnerStage::SetRanks(std::vector<RankShare> ranks) {
  m_ranks = std::move(ranks);
  for (const auto& [id, backend] : m_backends) {
    backend->gate->SetRanks(m_ranks);
  }
}

}  // namespace banyantrail
