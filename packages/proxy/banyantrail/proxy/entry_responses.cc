#include <algorithm>
#include <utility>

#include "banyantrail/proxy/attempt_outcome.h"
#include "banyantrail/proxy/entry_request_context.h"
#include "banyantrail/proxy/metadata_fields.h"
#include "banyantrail/traffic/retry_after.h"

namespace banyantrail {
namespace {

/// Time for writing a response that has waited for earlier ones beyond its own
/// deadline.
constexpr Duration kMinWriteTime = seconds(5);

}  // namespace

/// Whether the connection stays open after the response. While the node drains,
/// the last of the requests that were started closes it, so that all of them
/// are answered.
bool EntryStage::ShouldKeepAlive(const Downstream& downstream,
                                 const RequestContext& context) const {
  const bool ends_drain = m_draining && context.turn.IsLast();
  return !downstream.must_close && !context.request.has_unread_body() &&
         !ends_drain && context.request.parser->keep_alive();
}

/// Waits until the responses to earlier requests are sent. A small response is
/// read meanwhile, which frees the backend server; a large one stays on the
/// upstream connection. Returns false if the response must not be sent; the
/// request was then refused or cancelled.
asio::awaitable<bool> EntryStage::AwaitTurn(Downstream& downstream,
                                            RequestContext& context,
                                            Attempt& attempt,
                                            BodyBuffer& read_before) {
  const auto length = attempt.response->content_length();
  const bool is_small = length && *length <= kRelayBufferBytes;
  boost::system::error_code error;
  if (is_small && context.turn.ReserveResponse(*length)) {
    context.turn.upstream = attempt.upstream.get();
    error = co_await FillBuffer(attempt, read_before, kRelayBufferBytes,
                                context.deadline);
    context.turn.upstream = nullptr;
  }
  if (!co_await context.turn.Wait()) {
    m_options.hooks.count_refusal(ToString(RefusalReason::kCancelled));
    co_return false;
  }
  if (error) {
    co_await Refuse(downstream, context, RefusalReason::kResponseTruncated);
    co_return false;
  }
  if (!attempt.response->is_done() && SystemClock().Now() >= context.deadline) {
    co_await Refuse(downstream, context, RefusalReason::kResponseTimeout);
    co_return false;
  }
  co_return true;
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
  BodyBuffer read_before;
  const bool waits = !context.turn.MayWrite();
  if (waits && !co_await AwaitTurn(downstream, context, attempt, read_before)) {
    co_return;
  }
  const bool keep_alive = ShouldKeepAlive(downstream, context);
  const unsigned status = attempt.response->get().result_int();
  RecordResult(context, status);
  http::response_header<> head = ReturnedHead(attempt);
  StripInternalResponseFields(head, is_local_reply);
  const TimePoint deadline =
      waits ? std::max(context.deadline, SystemClock().Now() + kMinWriteTime)
            : context.deadline;
  RelayOptions options{.read_before = std::move(read_before)};
  const RelayOutcome outcome =
      co_await RelayResponse(attempt, downstream, std::move(head), keep_alive,
                             deadline, std::move(options));
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
  if (!context.turn.MayWrite() && !co_await context.turn.Wait()) {
    m_options.hooks.count_refusal(ToString(RefusalReason::kCancelled));
    co_return;
  }
  const RefusalReason reason =
      CombinedReason(context.may_have_run, last_reason);
  m_options.hooks.count_refusal(ToString(reason));
  LocalReply reply = RefusalReply(reason, m_options.dialect);
  reply.fractional_retry_after = m_options.dialect.fractional_retry_after;
  if (reply.status == http::status::service_unavailable) {
    reply.retry_after = RetryAfterDelay(context);
  } else if (reason == RefusalReason::kTeamQuota) {
    reply.retry_after = context.quota_retry_after;
  }
  GiveBackQuotaToken(context, reason);
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
  const bool keep_alive = ShouldKeepAlive(downstream, context);
  co_await SendLocalReply(downstream, std::move(reply), keep_alive);
  downstream.must_close = downstream.must_close || !keep_alive;
  ReportResponse(context, status);
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

void EntryStage::ReportResponse(const RequestContext& context,
                                unsigned status) {
  m_options.hooks.on_response(context.priority, status,
                              SystemClock().Now() - context.started);
}

}  // namespace banyantrail
