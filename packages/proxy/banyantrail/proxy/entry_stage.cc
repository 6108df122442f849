#include "banyantrail/proxy/entry_stage.h"

#include <algorithm>
#include <exception>
#include <utility>

#include "banyantrail/proxy/entry_request_context.h"

namespace banyantrail {

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
    m_options.limits.max_header_bytes = limits->max_header_bytes;
    m_options.limits.max_body_bytes = limits->max_body_bytes;
    m_options.limits.idle_timeout = limits->idle_timeout;
    m_options.limits.head_timeout = limits->header_timeout;
  }
}

PipelineLimits EntryStage::CurrentPipelineLimits() const {
  PipelineLimits limits = m_options.pipelining;
  if (!m_snapshot || !m_snapshot->caller_limits()) {
    return limits;
  }
  const CallerLimitsObject& declared = *m_snapshot->caller_limits();
  if (declared.max_pipelined_requests > 0) {
    limits.max_requests = declared.max_pipelined_requests;
  }
  if (declared.max_pipelined_bytes > 0) {
    limits.max_bytes = declared.max_pipelined_bytes;
  }
  return limits;
}

asio::awaitable<void> EntryStage::Serve(beast::tcp_stream stream) {
  Downstream downstream(std::move(stream));
  CallerPipeline pipeline(downstream, PipelineOptions(downstream));
  while (!downstream.must_close && !m_has_closed_idle) {
    const std::uint64_t wait = ++m_last_wait;
    m_awaiting_request.emplace(wait, &downstream);
    ReadResult read = co_await ReadRequest(downstream, m_options.limits);
    m_awaiting_request.erase(wait);
    if (read.outcome == ReadOutcome::kClosed) {
      break;
    }
    if (read.outcome == ReadOutcome::kRefused) {
      co_await RefuseMalformed(downstream, read.refusal);
      break;
    }
    pipeline.SetLimits(CurrentPipelineLimits(), m_options.limits);
    ResponseTurn& turn = pipeline.Begin(read.request, m_snapshot);
    std::exception_ptr failure;
    try {
      const CountInProgress in_progress(m_in_progress);
      co_await Handle(downstream, read.request, turn);
    } catch (...) {
      // The requests beside it must end before the connection is destroyed.
      failure = std::current_exception();
    }
    if (read.request.exceeds_chunk_limits()) {
      m_options.hooks.on_chunk_limit();
    }
    downstream.has_unread_body = read.request.has_unread_body();
    downstream.must_close =
        downstream.must_close || failure || !read.request.parser->keep_alive();
    pipeline.End();
    if (pipeline.is_active()) {
      co_await pipeline.Drain();
    }
    if (failure) {
      std::rethrow_exception(failure);
    }
    downstream.must_close = downstream.must_close || m_draining;
  }
  co_await CloseAfterResponse(downstream);
}

CallerPipeline::Options EntryStage::PipelineOptions(Downstream& downstream) {
  return {.is_idempotent = IsIdempotent,
          .handle =
              [this, &downstream](InboundRequest& request, ResponseTurn& turn) {
                return HandleReadAhead(downstream, request, turn);
              },
          .snapshot = [this] { return m_draining ? nullptr : m_snapshot; }};
}

asio::awaitable<void> EntryStage::HandleReadAhead(Downstream& downstream,
                                                  InboundRequest& request,
                                                  ResponseTurn& turn) {
  const CountInProgress in_progress(m_in_progress);
  co_await Handle(downstream, request, turn);
  downstream.must_close =
      downstream.must_close || !request.parser->keep_alive();
}

void EntryStage::StartDrain(TimePoint end) {
  m_draining = true;
  m_drain_end = end;
}

void EntryStage::EndRequests() {
  const TimePoint now = SystemClock().Now();
  for (RequestContext* context : m_requests) {
    context->deadline = std::min(context->deadline, now);  // No retries.
    if (context->turn.upstream != nullptr) {
      context->turn.upstream->stream.cancel();
    }
  }
}

void EntryStage::CloseIdle() {
  m_has_closed_idle = true;
  for (const auto& [wait, downstream] : m_awaiting_request) {
    downstream->must_close = true;
    downstream->stream.cancel();
  }
}

bool EntryStage::CloseOldestWaiting() {
  for (const auto& [wait, downstream] : m_awaiting_request) {
    if (!downstream->must_close) {
      downstream->must_close = true;
      downstream->stream.cancel();
      return true;
    }
  }
  return false;
}

asio::awaitable<void> EntryStage::Handle(Downstream& downstream,
                                         InboundRequest& request,
                                         ResponseTurn& turn) {
  RequestContext context{.request = request,
                         .turn = turn,
                         .snapshot = turn.snapshot(),
                         .started = SystemClock().Now()};
  const std::optional<RefusalReason> refusal = ResolveRoute(context);
  if (refusal) {
    co_await Refuse(downstream, context, *refusal);
    co_return;
  }
  if (turn.is_cancelled() || HasDisconnected(downstream)) {
    m_options.hooks.count_refusal(ToString(RefusalReason::kCancelled));
    downstream.must_close = true;
    co_return;
  }
  if (!MayTakeRequest(context)) {
    co_await Refuse(downstream, context, RefusalReason::kDraining);
    co_return;
  }
  const bool is_within_quota = co_await AcquireQuotaToken(context);
  if (!is_within_quota) {
    co_await Refuse(downstream, context, RefusalReason::kTeamQuota);
    co_return;
  }
  const bool may_run = co_await ClaimIdempotencyKey(downstream, context);
  if (may_run) {
    const Registration registration(m_requests, context);
    co_await Forward(downstream, context);
  }
}

/// Whether a request that has just been read may be forwarded. After the idle
/// connections were closed, the time that is left is for the requests that came
/// before.
bool EntryStage::MayTakeRequest(const RequestContext& context) {
  return !m_draining || (!m_has_closed_idle && CanFinishBeforeStop(context));
}

/// Whether the node stops late enough for the time that requests of the route
/// take.
bool EntryStage::CanFinishBeforeStop(const RequestContext& context) {
  const TimePoint now = SystemClock().Now();
  const Duration expected =
      m_response_times[context.route->rule].Mean(now).value_or(
          Duration::zero());
  return now + expected < m_drain_end;
}

}  // namespace banyantrail
