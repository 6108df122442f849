#include "banyantrail/proxy/owner_stage.h"

#include <utility>

#include "banyantrail/core/digest.h"
#include "banyantrail/proxy/hang_up_watch.h"
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

std::string LoadValue(const AdmissionLoad& load) {
  const std::size_t demand = load.in_flight + load.queued;
  return std::to_string(demand) + "/" + std::to_string(load.limit);
}

/// Removes the headers from the entry node that are not meant for the backend
/// server.
void StripMeshFields(http::fields& head) {
  for (const std::string_view name :
       {kDeadlineHeader, kTargetHeader, kCallHeader, kRuleHeader,
        kPriorityHeader, kIdempotentHeader, kServiceHeader,
        kBackendServerHeader, kCallerServiceHeader, kBodyHashHeader}) {
    head.erase(beast::string_view(name.data(), name.size()));
  }
}

/// Whether the connection comes from a process on this VM.
bool IsFromOwnHost(const Downstream& downstream) {
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
       .distinction = key.empty() ? std::string_view(digest) : key,
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
  const auto transfers = BodyTransferOptions(m_options.link_bytes_per_s);
  if (transfers) {
    m_transfers = std::make_unique<AdmissionGate>(m_executor, *transfers);
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
  Passage passage{.request = request,
                  .backend = Find(request.head()),
                  .id = ++m_last_request,
                  .deadline = DeadlineOf(request.head())};
  std::optional<RefusalReason> refusal = RefusalFor(passage.backend);
  if (!refusal) {
    refusal = co_await AwaitTransfer(downstream, passage);
  }
  if (!refusal) {
    refusal = co_await Admit(downstream, passage);
  }
  if (!refusal) {
    refusal = co_await Isolate(passage);
  }
  if (refusal == RefusalReason::kCancelled) {
    downstream.must_close = true;
  } else if (refusal) {
    co_await Refuse(downstream, request, passage.backend, *refusal);
  } else if (HasDisconnected(downstream)) {
    passage.backend->gate->Cancel(passage.id);
    EndIsolation(passage);
    downstream.must_close = true;
  } else {
    co_await Forward(downstream, passage);
    EndIsolation(passage);
  }
  EndTransfer(passage);
}

/// Waits until the body of the request may be sent over the VM's link. A sender
/// on this VM does not use the link.
asio::awaitable<std::optional<RefusalReason>> OwnerStage::AwaitTransfer(
    Downstream& downstream,
    Passage& passage) {
  const bool is_large = passage.request.is_streamed;
  if (!m_transfers || !is_large || IsFromOwnHost(downstream)) {
    co_return std::nullopt;
  }
  const std::optional<RefusalReason> refusal =
      co_await EnterGate(downstream, *m_transfers, WorkOf(passage));
  if (!refusal) {
    passage.transfer_began = SystemClock().Now();
  }
  co_return refusal;
}

void OwnerStage::EndTransfer(Passage& passage) {
  if (!passage.transfer_began) {
    return;
  }
  const Duration duration = SystemClock().Now() - *passage.transfer_began;
  passage.transfer_began.reset();
  m_transfers->Leave(passage.id, {.latency = duration});
}

/// Runs requests that were in flight at a crash one at a time, and refuses
/// those that are known to crash backend servers.
asio::awaitable<std::optional<RefusalReason>> OwnerStage::Isolate(
    Passage& passage) {
  constexpr Duration kPollInterval = milliseconds(5);
  passage.fingerprint =
      FingerprintFor(passage.request, passage.backend->record.service);
  if (!passage.fingerprint) {
    co_return std::nullopt;
  }
  asio::steady_timer timer(m_executor);
  while (true) {
    const TimePoint now = SystemClock().Now();
    const Quarantine::Verdict verdict =
        m_quarantine.Check(*passage.fingerprint, now);
    if (verdict == Quarantine::Verdict::kRefuse) {
      passage.backend->gate->Cancel(passage.id);
      co_return RefusalReason::kQuarantined;
    }
    passage.is_suspect = verdict == Quarantine::Verdict::kRunSerially;
    if (!passage.is_suspect || !passage.backend->suspect_runs) {
      break;
    }
    if (now >= passage.deadline) {
      passage.backend->gate->Cancel(passage.id);
      co_return RefusalReason::kDeadline;
    }
    timer.expires_after(kPollInterval);
    co_await timer.async_wait(asio::use_awaitable);
  }
  passage.backend->suspect_runs =
      passage.backend->suspect_runs || passage.is_suspect;
  passage.backend->in_flight.insert(*passage.fingerprint);
  co_return std::nullopt;
}

void OwnerStage::EndIsolation(Passage& passage) {
  if (!passage.fingerprint) {
    return;
  }
  std::multiset<RequestFingerprint>& in_flight = passage.backend->in_flight;
  const auto found = in_flight.find(*passage.fingerprint);
  if (found != in_flight.end()) {
    in_flight.erase(found);
  }
  if (passage.is_suspect) {
    passage.backend->suspect_runs = false;
  }
}

/// Called when a connection to the backend server broke with a request in
/// flight. If a new connection fails too, the backend server has crashed, and
/// one of the requests in flight may be the cause.
asio::awaitable<void> OwnerStage::LookForCrash(Passage& passage) {
  const BackendPtr backend = passage.backend;
  const UpstreamPtr probe =
      co_await m_pool.Connect(backend->record.address, passage.deadline);
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

OwnerStage::BackendPtr OwnerStage::Find(
    const http::request_header<>& head) const {
  const BackendServerId id(std::string(FieldValue(head, kBackendServerHeader)));
  const auto found = m_backends.find(id);
  if (found == m_backends.end() ||
      found->second->record.service.str() != FieldValue(head, kServiceHeader)) {
    return nullptr;
  }
  return found->second;
}

std::optional<RefusalReason> OwnerStage::RefusalFor(
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
  ReportTurnedAway(request, backend, reason);
  // A streamed body stays unread, unless the sender still waits for
  // "100 Continue".
  const bool body_unread = request.is_streamed && !request.expects_continue;
  LocalReply reply = RefusalReply(reason);
  if (backend) {
    reply.load = LoadValue(backend->gate->load());
  }
  co_await SendLocalReply(downstream, std::move(reply), !body_unread);
  downstream.must_close = downstream.must_close || body_unread;
}

void OwnerStage::ReportTurnedAway(const InboundRequest& request,
                                  const BackendPtr& backend,
                                  RefusalReason reason) const {
  const http::request_header<>& head = request.head();
  TurnedAway turned_away{
      .request = RequestIdOf(request),
      .service = FieldValue(head, kServiceHeader),
      .server = FieldValue(head, kBackendServerHeader),
      .reason = reason,
      .left = milliseconds(NumberField(head, kDeadlineHeader).value_or(0))};
  if (backend) {
    turned_away.load = backend->gate->load();
  }
  m_options.hooks.on_turned_away(turned_away);
}

WorkRequest OwnerStage::WorkOf(const Passage& passage) {
  const http::request_header<>& head = passage.request.head();
  const std::uint32_t priority =
      NumberField(head, kPriorityHeader).value_or(kLeastUrgentPriority);
  const auto target = NumberField(head, kTargetHeader);
  const std::string_view rule = FieldValue(head, kRuleHeader);
  WorkRequest work{.request = passage.id,
                   .rank_priority = static_cast<std::uint8_t>(priority),
                   .deadline = passage.deadline,
                   .is_call = FieldValue(head, kCallHeader) == "1",
                   .kind = rule.empty() ? 0 : Hash64(rule)};
  if (target) {
    work.target = SystemClock().Now() + milliseconds(*target);
  }
  return work;
}

asio::awaitable<std::optional<RefusalReason>> OwnerStage::Admit(
    Downstream& downstream,
    Passage& passage) {
  const std::optional<RefusalReason> refusal =
      co_await EnterGate(downstream, *passage.backend->gate, WorkOf(passage));
  passage.admitted_at = SystemClock().Now();
  co_return refusal;
}

/// Waits until the gate admits or refuses the request, or the sender
/// disconnects.
asio::awaitable<std::optional<RefusalReason>> OwnerStage::EnterGate(
    Downstream& downstream,
    AdmissionGate& gate,
    WorkRequest work) {
  const OfferResult result = gate.Offer(work);
  std::optional<RefusalReason> refusal;
  if (const auto* refused = std::get_if<Refused>(&result)) {
    refusal = refused->reason;
  } else if (std::holds_alternative<Queued>(result)) {
    DisconnectWatch watch(downstream,
                          [&gate, id = work.request] { gate.Cancel(id); });
    refusal = co_await gate.Wait(work.request);
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
void OwnerStage::SetServerFields(const Passage& passage,
                                 http::fields& head) const {
  const EdgeDialect& dialect = m_options.dialect;
  if (!dialect.caller_service.empty()) {
    const std::string caller(
        FieldValue(passage.request.head(), kCallerServiceHeader));
    SetField(head, dialect.caller_service, caller);
  }
  StripMeshFields(head);
  if (!dialect.carries_depth) {
    head.erase(beast::string_view(kDepthHeader.data(), kDepthHeader.size()));
  }
  SetField(head, dialect.deadline, RemainingMs(passage.deadline));
  if (!dialect.expected_server.empty()) {
    SetField(head, dialect.expected_server, passage.backend->record.id.str());
  }
}

asio::awaitable<void> OwnerStage::Forward(Downstream& downstream,
                                          Passage& passage) {
  AttemptOptions options{
      .server = passage.backend->record.address,
      .head = ForwardedHead(passage.request),
      .deadline = passage.deadline,
      .on_body_received = [this, &passage] { EndTransfer(passage); },
      .dialect = &m_options.dialect};
  SetServerFields(passage, options.head);
  const std::string request_id(RequestIdOf(passage.request));
  m_running.Add(request_id);
  Attempt attempt = co_await MakeAttempt(m_pool, downstream, passage.request,
                                         std::move(options));
  m_running.Remove(request_id);
  NoteConnect(passage.backend, attempt.reason != RefusalReason::kConnectFailed);
  switch (attempt.result) {
    case UpstreamResult::kResponded:
      co_await Return(downstream, passage, attempt);
      co_return;
    case UpstreamResult::kCallerDisconnected:
      passage.backend->gate->Cancel(passage.id);
      downstream.must_close = true;
      co_return;
    case UpstreamResult::kNotRun:
      Leave(passage, AttemptEnd::kFailed);
      break;
    case UpstreamResult::kUnknown:
      Leave(passage, attempt.reason == RefusalReason::kAnswerTimeout
                         ? AttemptEnd::kTimedOut
                         : AttemptEnd::kFailed);
      m_pool.DropIdle(passage.backend->record.address);
      if (attempt.reason == RefusalReason::kConnectionLost) {
        co_await LookForCrash(passage);
      }
      break;
  }
  co_await Refuse(downstream, passage.request, passage.backend, attempt.reason);
}

asio::awaitable<void> OwnerStage::Return(Downstream& downstream,
                                         Passage& passage,
                                         Attempt& attempt) {
  if (attempt.reports_not_run) {
    Leave(passage, AttemptEnd::kShed);
    co_await Refuse(downstream, passage.request, passage.backend,
                    RefusalReason::kShedByBackendServer);
    co_return;
  }
  const std::optional<Duration> keep_alive_timeout =
      KeepAliveTimeout(attempt.response->get());
  http::response_header<> head = ReturnedHead(attempt);
  StripInternalResponseFields(head, false);
  SetField(head, kLoadHeader, LoadValue(passage.backend->gate->load()));
  const RelayOutcome outcome =
      co_await RelayResponse(attempt, downstream, std::move(head),
                             !downstream.must_close, passage.deadline);
  switch (outcome) {
    case RelayOutcome::kComplete:
      Leave(passage, AttemptEnd::kAnswered);
      if (passage.fingerprint) {
        m_quarantine.OnAnswered(*passage.fingerprint);
      }
      if (!attempt.must_close_upstream) {
        m_pool.Release(std::move(attempt.upstream), keep_alive_timeout);
      }
      break;
    case RelayOutcome::kNothingSent:
      Leave(passage, AttemptEnd::kFailed);
      co_await Refuse(downstream, passage.request, passage.backend,
                      RefusalReason::kAnswerCut);
      break;
    case RelayOutcome::kTruncated:
      Leave(passage, AttemptEnd::kFailed);
      m_options.hooks.count_refusal(RefusalReason::kAnswerCut);
      break;
    case RelayOutcome::kCallerDisconnected:
      passage.backend->gate->Cancel(passage.id);
      break;
  }
}

void OwnerStage::Leave(Passage& passage, AttemptEnd end) {
  passage.backend->gate->Leave(
      passage.id,
      {.end = end, .latency = SystemClock().Now() - passage.admitted_at});
}

void OwnerStage::NoteConnect(const BackendPtr& backend, bool connected) {
  constexpr unsigned kFailuresToCallItDown = 2;
  if (connected) {
    backend->failed_connects = 0;
    return;
  }
  ++backend->failed_connects;
  if (backend->failed_connects >= kFailuresToCallItDown) {
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
