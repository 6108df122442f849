#include "banyantrail/proxy/owner_stage.h"

#include <cmath>
#include <utility>

#include "banyantrail/core/digest.h"
#include "banyantrail/proxy/disconnect_watch.h"
#include "banyantrail/proxy/metadata_fields.h"
#include "banyantrail/traffic/body_transfers.h"
#include "banyantrail/wire/mesh_headers.h"

namespace banyantrail {
namespace {

ReportedLoad LoadReport(const AdmissionGate& gate, std::uint64_t kind) {
  const AdmissionLoad load = gate.load();
  ReportedLoad report{
      .in_flight = static_cast<std::uint32_t>(load.in_flight + load.queued),
      .limit = static_cast<std::uint32_t>(load.limit)};
  if (const auto service_time = gate.ServiceTime(kind)) {
    report.service_time =
        std::chrono::duration_cast<milliseconds>(*service_time);
  }
  return report;
}

/// The part of the report that a node of mesh version 0 understands.
std::string LegacyLoadText(ReportedLoad report) {
  report.service_time.reset();
  return ToString(report);
}

/// Whether the connection comes from a process on this VM.
bool IsFromSameHost(const Downstream& downstream) {
  boost::system::error_code error;
  const asio::ip::tcp::socket& socket = downstream.stream.socket();
  const auto remote = socket.remote_endpoint(error);
  const auto local = socket.local_endpoint(error);
  return !error && remote.address() == local.address();
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
  const auto turn_options = LinkTurnOptions(m_options.link_bytes_per_s);
  if (turn_options) {
    m_link_gate = std::make_unique<LinkGate>(m_executor, *turn_options);
  }
}

asio::awaitable<void> OwnerStage::Serve(beast::tcp_stream stream) {
  Downstream downstream(std::move(stream));
  while (!downstream.must_close) {
    ReadResult read = co_await ReadRequest(downstream, m_options.limits);
    if (read.outcome == ReadOutcome::kRefused) {
      // Without memory for the head the entry node may try another node.
      const bool is_unavailable =
          read.refusal.status == http::status::service_unavailable;
      const RefusalReason reason = is_unavailable
                                       ? RefusalReason::kQueueFull
                                       : RefusalReason::kMalformedRequest;
      m_options.hooks.count_refusal(reason);
      LocalReply reply = RefusalReply(reason);
      reply.status = read.refusal.status;
      co_await SendLocalReply(downstream, std::move(reply), false);
    }
    if (read.outcome != ReadOutcome::kRequest) {
      break;
    }
    const CountInProgress in_progress(m_in_progress);
    co_await Handle(downstream, read.request);
    downstream.has_unread_body = read.request.has_unread_body();
  }
  co_await CloseAfterResponse(downstream);
}

asio::awaitable<void> OwnerStage::Handle(Downstream& downstream,
                                         InboundRequest& request) {
  RequestContext context{.request = request,
                         .metadata = RequestMetadataOf(request.head()),
                         .id = ++m_last_request};
  context.backend = FindBackend(context.metadata);
  context.deadline = SystemClock().Now() + context.metadata.time_left;
  std::optional<RefusalReason> refusal = CheckBackendState(context.backend);
  if (!refusal) {
    refusal = co_await AwaitTransferSlot(downstream, context);
  }
  if (!refusal) {
    refusal = co_await Admit(downstream, context);
  }
  if (!refusal) {
    refusal = co_await BeginIsolation(downstream, context);
  }
  if (refusal == RefusalReason::kCancelled) {
    downstream.must_close = true;
  } else if (refusal) {
    co_await Refuse(downstream, context, *refusal);
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

OwnerStage::BackendPtr OwnerStage::FindBackend(
    const RequestMetadata& metadata) const {
  const auto found = m_backends.find(metadata.server);
  if (found == m_backends.end() ||
      found->second->record.service != metadata.service) {
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
                                         const RequestContext& context,
                                         RefusalReason reason) {
  m_options.hooks.count_refusal(reason);
  ReportRefusal(context, reason);
  // A streamed body stays unread, unless the sender still waits for
  // "100 Continue".
  const InboundRequest& request = context.request;
  const bool body_unread =
      request.has_unread_body() && !request.expects_continue;
  LocalReply reply = RefusalReply(reason);
  ResponseMetadata metadata{.refusal = reason};
  if (context.backend) {
    metadata.load = LoadReport(*context.backend->gate, context.metadata.kind);
    reply.load = LegacyLoadText(*metadata.load);
  }
  if (HasCompactMetadata(request.head())) {
    reply.metadata = FormatResponseMetadata(metadata);
  }
  co_await SendLocalReply(downstream, std::move(reply), !body_unread);
  downstream.must_close = downstream.must_close || body_unread;
}

void OwnerStage::ReportRefusal(const RequestContext& context,
                               RefusalReason reason) const {
  OwnerRefusal refusal{.request = RequestIdOf(context.request),
                       .service = context.metadata.service.str(),
                       .server = context.metadata.server.str(),
                       .reason = reason,
                       .remaining = context.metadata.time_left};
  if (context.backend) {
    refusal.load = context.backend->gate->load();
  }
  m_options.hooks.on_refusal(refusal);
}

AdmissionRequest OwnerStage::AdmissionRequestFor(
    const RequestContext& context) const {
  const RequestMetadata& metadata = context.metadata;
  AdmissionRequest request{.id = context.id,
                           .rank_priority = metadata.priority,
                           .deadline = context.deadline,
                           .is_nested_call = metadata.is_nested_call,
                           .kind = metadata.kind,
                           .team = TeamOf(context.request)};
  if (metadata.target_left) {
    request.target = SystemClock().Now() + *metadata.target_left;
  }
  return request;
}

/// The team that the entry node set. Without declared teams the field may come
/// from the caller, so it is ignored.
TeamHash OwnerStage::TeamOf(const InboundRequest& request) const {
  const std::string& field = m_options.dialect.team;
  if (!m_has_teams || field.empty()) {
    return 0;
  }
  const std::string_view name = FieldValue(request.head(), field);
  return name.empty() ? 0 : Hash64(name);
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
    SetField(head, dialect.caller_service,
             context.metadata.caller_service.str());
  }
  StripRequestMetadata(head);
  EraseField(head, kDepthHeader);
  if (dialect.propagates_depth) {
    SetField(head, kDepthHeader, std::to_string(context.metadata.depth));
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
      .on_body_received =
          [this, &context] {
            context.fingerprints->EndBody();
            ReleaseTransferSlot(context);
          },
      .on_body_part =
          [&context](std::string_view part) {
            context.fingerprints->Append(part);
          },
      .may_send = [this, &context] { return MaySend(*context.backend); },
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
      context.backend->failures.Record(true, SystemClock().Now());
      ReleaseSlot(context, attempt.reason == RefusalReason::kResponseTimeout
                               ? AttemptResult::kTimedOut
                               : AttemptResult::kFailed);
      m_pool.DropIdle(context.backend->record.address);
      if (attempt.reason == RefusalReason::kConnectionLost) {
        co_await DetectCrash(context);
      }
      break;
  }
  co_await Refuse(downstream, context, attempt.reason);
}

asio::awaitable<void> OwnerStage::ReturnResponse(Downstream& downstream,
                                                 RequestContext& context,
                                                 Attempt& attempt) {
  if (attempt.reports_not_run) {
    ReleaseSlot(context, AttemptResult::kShed);
    co_await Refuse(downstream, context, RefusalReason::kShedByBackendServer);
    co_return;
  }
  const std::optional<Duration> keep_alive_timeout =
      KeepAliveTimeout(attempt.response->get());
  http::response_header<> head = ReturnedHead(attempt);
  StripInternalResponseFields(head, false);
  const ReportedLoad load =
      LoadReport(*context.backend->gate, context.metadata.kind);
  if (HasCompactMetadata(context.request.head())) {
    SetField(head, kMetadataHeader, FormatResponseMetadata({.load = load}));
  } else {
    SetField(head, kLoadHeader, LegacyLoadText(load));
  }
  const bool failed = http::to_status_class(head.result_int()) ==
                      http::status_class::server_error;
  context.backend->failures.Record(failed, SystemClock().Now());
  SetFailureField(*context.backend, head);
  std::optional<LinkUse> link;
  if (m_link_gate && !IsFromSameHost(downstream)) {
    link.emplace(LinkUse{.gate = *m_link_gate,
                         .response = context.id,
                         .admitted_at = context.admitted_at,
                         .is_nested_call = context.metadata.is_nested_call});
  }
  RelayOptions options{.link = link ? &*link : nullptr};
  const RelayOutcome outcome = co_await RelayResponse(
      attempt, downstream, std::move(head), !downstream.must_close,
      context.deadline, std::move(options));
  switch (outcome) {
    case RelayOutcome::kComplete:
      ReleaseSlot(context, AttemptResult::kCompleted);
      m_quarantine.OnCompleted(*context.fingerprints, SystemClock().Now());
      if (!attempt.must_close_upstream) {
        m_pool.Release(std::move(attempt.upstream), keep_alive_timeout);
      }
      break;
    case RelayOutcome::kNothingSent:
      ReleaseSlot(context, AttemptResult::kFailed);
      co_await Refuse(downstream, context, RefusalReason::kResponseTruncated);
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

void OwnerStage::SetFailureField(const Backend& backend,
                                 http::fields& head) const {
  constexpr double kMinReportedShare = 0.1;
  constexpr double kPercent = 100;
  if (!m_options.report_failures) {
    return;
  }
  const double share = backend.failures.Value(SystemClock().Now()).value_or(0);
  if (share >= kMinReportedShare) {
    SetField(head, kFailurePercentHeader,
             std::to_string(std::lround(share * kPercent)));
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
      ApplyState(*backend, record);
    }
    backend->record = record;
    next[record.id] = std::move(backend);
  }
  for (const auto& [id, backend] : m_backends) {
    if (!next.contains(id)) {
      Retire(*backend);
    }
  }
  m_backends = std::move(next);
}

/// Applies the announced state and slots of a known backend server to its gate.
void OwnerStage::ApplyState(Backend& backend,
                            const BackendServerRecord& record) {
  const bool was_serving = backend.record.state == BackendServerState::kServing;
  const bool is_serving = record.state == BackendServerState::kServing;
  const bool is_leaving =
      record.state == BackendServerState::kDraining && !m_draining;
  if (is_leaving) {
    Retire(backend);
  } else if (was_serving && !is_serving) {
    backend.gate->Drain();
  } else if (!was_serving && is_serving) {
    backend.departed_at.reset();
    backend.gate->Restart(record.slots);
  } else {
    backend.gate->SetAnnouncedSlots(record.slots);
  }
}

/// Refuses the queued requests of a backend server that is leaving or has been
/// deregistered. Requests keep a reference to it until they end.
void OwnerStage::Retire(Backend& backend) {
  if (!backend.departed_at) {
    backend.departed_at = SystemClock().Now();
    backend.gate->Drain();
  }
}

/// Whether an admitted request may still be sent. The backend server serves for
/// some time after it has announced its departure, so a request that is only
/// slightly late need not fail.
bool OwnerStage::MaySend(const Backend& backend) const {
  return !backend.departed_at ||
         SystemClock().Now() <
             *backend.departed_at + m_options.max_send_after_departure;
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
