// How the owner stage finds the requests that crash backend servers. A crash
// that it sees makes the requests in flight suspects, and a suspect is run by
// itself or refused.

#include <utility>

#include "banyantrail/core/digest.h"
#include "banyantrail/proxy/message_head.h"
#include "banyantrail/proxy/owner_stage.h"
#include "banyantrail/wire/mesh_headers.h"

namespace banyantrail {
namespace {

/// The fingerprints of a request, as far as they are known before its body is
/// forwarded.
std::shared_ptr<RequestFingerprints> FingerprintsOf(
    const InboundRequest& request,
    const RequestMetadata& metadata) {
  const http::request_header<>& head = request.head();
  auto fingerprints = std::make_shared<RequestFingerprints>(RequestIdentity{
      .service = metadata.service,
      .method = {head.method_string().data(), head.method_string().size()},
      .path = {head.target().data(), head.target().size()},
      .idempotency_key = FieldValue(head, kIdempotencyKeyHeader)});
  if (!metadata.body_hash.empty()) {
    fingerprints->SetBodyHash(metadata.body_hash);
  } else if (request.body.size() > RequestFingerprints::kMaxCompared) {
    fingerprints->SetBodyHash(std::to_string(Hash64(request.body)));
  }
  if (!request.is_streamed) {
    fingerprints->Append(request.body);
    fingerprints->EndBody();
  }
  return fingerprints;
}

}  // namespace

/// Runs requests that were in flight at a crash one at a time, and refuses
/// those that are known to crash backend servers.
asio::awaitable<std::optional<RefusalReason>> OwnerStage::BeginIsolation(
    Downstream& downstream,
    RequestContext& context) {
  context.fingerprints = FingerprintsOf(context.request, context.metadata);
  std::optional<RefusalReason> refusal;
  const RequestTarget target = context.fingerprints->target();
  if (m_quarantine.RemembersTarget(target, SystemClock().Now())) {
    refusal = co_await ReadComparedBody(downstream, context);
    if (!refusal) {
      refusal = co_await AwaitTurnOfSuspect(context);
    }
  }
  if (refusal) {
    context.backend->gate->Cancel(context.id);
    co_return refusal;
  }
  context.backend->suspect_running =
      context.backend->suspect_running || context.is_suspect;
  context.backend->in_flight.emplace(context.id, context.fingerprints);
  co_return std::nullopt;
}

/// Reads as much of a streamed body as tells whether it is that of a suspect.
asio::awaitable<std::optional<RefusalReason>> OwnerStage::ReadComparedBody(
    Downstream& downstream,
    RequestContext& context) {
  if (!context.fingerprints->needs_more()) {
    co_return std::nullopt;
  }
  co_await SendContinue(downstream, context.request);
  RequestFingerprints& compared = *context.fingerprints;
  const boost::system::error_code error = co_await ReadBodyStart(
      downstream, context.request, context.deadline - SystemClock().Now(),
      [&compared](std::string_view part) {
        compared.Append(part);
        return !compared.needs_more();
      });
  if (context.request.parser->is_done()) {
    compared.EndBody();
  }
  if (!error) {
    co_return std::nullopt;
  }
  co_return error == asio::error::operation_aborted ? RefusalReason::kDeadline
                                                    : RefusalReason::kCancelled;
}

/// Waits until no other suspect runs at the backend server.
asio::awaitable<std::optional<RefusalReason>> OwnerStage::AwaitTurnOfSuspect(
    RequestContext& context) {
  constexpr Duration kPollInterval = milliseconds(5);
  asio::steady_timer timer(m_executor);
  while (true) {
    const TimePoint now = SystemClock().Now();
    const Quarantine::Verdict verdict =
        m_quarantine.Check(*context.fingerprints, now);
    if (verdict == Quarantine::Verdict::kRefuse) {
      co_return RefusalReason::kQuarantined;
    }
    context.is_suspect = verdict == Quarantine::Verdict::kRunSerially;
    if (!context.is_suspect || !context.backend->suspect_running) {
      co_return std::nullopt;
    }
    if (now >= context.deadline) {
      co_return RefusalReason::kDeadline;
    }
    timer.expires_after(kPollInterval);
    co_await timer.async_wait(asio::use_awaitable);
  }
}

void OwnerStage::EndIsolation(RequestContext& context) {
  context.backend->in_flight.erase(context.id);
  if (context.is_suspect) {
    context.backend->suspect_running = false;
  }
}

/// Called when a connection to the backend server broke with a request in
/// flight. If the backend server has crashed, one of the requests in flight may
/// be the cause.
asio::awaitable<void> OwnerStage::DetectCrash(RequestContext& context) {
  const BackendPtr backend = context.backend;
  std::vector<RequestFingerprint> in_flight;
  for (const auto& [id, fingerprints] : backend->in_flight) {
    if (const auto strongest = fingerprints->Strongest()) {
      in_flight.push_back(*strongest);
    }
  }
  if (in_flight.empty() || backend->crash_suspected) {
    co_return;
  }
  backend->crash_suspected = true;
  UpstreamPtr probe =
      co_await m_pool.Connect(backend->record.address, context.deadline);
  if (probe) {
    // A process that ends may still accept connections for a moment. The
    // response to this request does not wait for that.
    asio::co_spawn(m_executor,
                   WatchForCrash(backend, in_flight, std::move(probe)),
                   asio::detached);
    co_return;
  }
  OnCrash(*backend, in_flight);
}

/// Watches a new connection to a backend server that has just lost another one.
/// If this one breaks too and no further one can be opened, the backend server
/// has crashed.
asio::awaitable<void> OwnerStage::WatchForCrash(
    BackendPtr backend,
    std::vector<RequestFingerprint> in_flight,
    UpstreamPtr probe) {
  constexpr Duration kWatchTime = milliseconds(200);
  probe->stream.expires_after(kWatchTime);
  boost::system::error_code error;
  char byte = 0;
  co_await probe->stream.async_read_some(
      asio::buffer(&byte, 1), asio::redirect_error(asio::use_awaitable, error));
  const bool is_alive = !error || error == beast::error::timeout;
  if (is_alive) {
    backend->crash_suspected = false;
    co_return;
  }
  const UpstreamPtr next = co_await m_pool.Connect(
      backend->record.address, SystemClock().Now() + kWatchTime);
  if (next) {
    backend->crash_suspected = false;
  } else {
    OnCrash(*backend, in_flight);
  }
}

void OwnerStage::OnCrash(Backend& backend,
                         const std::vector<RequestFingerprint>& in_flight) {
  backend.crash_suspected = false;
  // An empty set keeps the other requests lost in this crash from reporting it
  // again.
  backend.in_flight.clear();
  std::vector<RequestFingerprint> suspects =
      m_quarantine.OnCrash(in_flight, SystemClock().Now());
  m_options.hooks.on_unreachable(backend.record.id);
  if (!suspects.empty()) {
    m_options.hooks.on_crash(backend.record.service, std::move(suspects));
  }
}

void OwnerStage::OnCrashReport(const CrashReportMessage& report) {
  m_quarantine.OnReport(report, SystemClock().Now());
}

}  // namespace banyantrail
