#include "banyantrail/proxy/caller_pipeline.h"

#include <algorithm>
#include <exception>
#include <utility>

namespace banyantrail {
namespace {

std::string_view TextOf(const beast::flat_buffer& buffer) {
  const auto data = buffer.data();
  return {static_cast<const char*>(data.data()), data.size()};
}

}  // namespace

bool ResponseTurn::MayWrite() const {
  return !m_ticket || m_pipeline.m_window.MayWrite(*m_ticket);
}

asio::awaitable<bool> ResponseTurn::Wait() {
  boost::system::error_code ignored;
  while (!m_is_cancelled && !MayWrite()) {
    m_wakeup.emplace(co_await asio::this_coro::executor);
    m_wakeup->expires_at(TimePoint::max());
    co_await m_wakeup->async_wait(
        asio::redirect_error(asio::use_awaitable, ignored));
  }
  m_wakeup.reset();
  co_return !m_is_cancelled;
}

bool ResponseTurn::ReserveResponse(std::uint64_t bytes) {
  return !m_ticket || m_pipeline.m_window.ReserveResponse(*m_ticket, bytes);
}

bool ResponseTurn::IsLast() const {
  return !m_ticket || m_pipeline.m_window.IsLast(*m_ticket);
}

void ResponseTurn::Cancel() {
  m_is_cancelled = true;
  if (upstream != nullptr) {
    upstream->stream.cancel();
  }
  Wake();
}

void ResponseTurn::Wake() {
  if (m_wakeup) {
    m_wakeup->cancel();
  }
}

CallerPipeline::CallerPipeline(Downstream& downstream, Options options)
    : m_downstream(downstream),
      m_options(std::move(options)),
      m_reader_wakeup(downstream.stream.get_executor()),
      m_session_wakeup(downstream.stream.get_executor()) {
  m_downstream.on_bytes_ahead = [this] { OnBytesAhead(); };
}

void CallerPipeline::SetLimits(PipelineLimits limits,
                               const InboundLimits& inbound) {
  m_limits = limits;
  m_inbound = inbound;
  m_window.SetLimits(limits);
}

ResponseTurn& CallerPipeline::Begin(
    const InboundRequest& request,
    std::shared_ptr<const RoutingSnapshot> snapshot) {
  m_session_request = &request;
  m_session_turn.emplace(*this, std::move(snapshot));
  if (m_downstream.buffer.size() > 0) {
    OnBytesAhead();
  }
  return *m_session_turn;
}

void CallerPipeline::End() {
  m_session_request = nullptr;
  if (m_session_turn->m_ticket) {
    OnEnded(*m_session_turn);
  }
}

asio::awaitable<void> CallerPipeline::Drain() {
  boost::system::error_code ignored;
  while (is_active()) {
    m_session_wakeup.expires_at(TimePoint::max());
    co_await m_session_wakeup.async_wait(
        asio::redirect_error(asio::use_awaitable, ignored));
  }
  m_downstream.is_read_ahead = false;
}

PipelinedRequest CallerPipeline::Describe(
    const InboundRequest& request,
    std::uint64_t head_bytes,
    const RoutingSnapshot* snapshot) const {
  return {.head_bytes = head_bytes,
          .may_run_beside = request.parser->is_done() && request.body.empty() &&
                            snapshot != nullptr &&
                            m_options.is_idempotent(request.head(), *snapshot),
          .is_last = !request.parser->keep_alive()};
}

/// The caller has sent more than the request that the session handles. Bytes of
/// a streamed body are not requests.
void CallerPipeline::OnBytesAhead() {
  const bool is_disabled = m_limits.max_requests <= 1;
  if (is_disabled || m_is_reading || m_session_request == nullptr ||
      m_session_request->is_streamed) {
    return;
  }
  AddTurn(*m_session_turn,
          Describe(*m_session_request, 0, m_session_turn->snapshot().get()));
  m_is_blocked = false;
  m_must_stop_reading = false;
  m_is_reading = true;
  m_downstream.is_read_ahead = true;
  m_downstream.is_pipelined = true;
  asio::co_spawn(m_downstream.stream.get_executor(), ReadAhead(),
                 asio::detached);
}

/// Reads and starts requests until the window is empty, and notices that the
/// caller disconnects.
asio::awaitable<void> CallerPipeline::ReadAhead() {
  while (!m_must_stop_reading) {
    const NextStep step = StartNext();
    if (step == NextStep::kReadBytes) {
      co_await ReadBytes();
    } else if (step == NextStep::kWait) {
      co_await WaitForCapacity();
    }
  }
  m_is_reading = false;
  m_session_wakeup.cancel();
}

/// Reads from the socket itself, because the time limits of the stream are in
/// use by the responses that are written meanwhile.
asio::awaitable<void> CallerPipeline::ReadBytes() {
  constexpr std::size_t kReadBytes = 4096;
  boost::system::error_code error;
  m_is_awaiting_bytes = true;
  const std::size_t size =
      co_await m_downstream.stream.socket().async_read_some(
          m_downstream.buffer.prepare(kReadBytes),
          asio::redirect_error(asio::use_awaitable, error));
  m_is_awaiting_bytes = false;
  m_downstream.buffer.commit(size);
  if (error && !m_must_stop_reading) {
    OnDisconnected();
  }
}

/// Waits until a request has ended. Nothing is read meanwhile, so that a
/// disconnection behind unread bytes must be asked for.
asio::awaitable<void> CallerPipeline::WaitForCapacity() {
  constexpr Duration kDisconnectCheckInterval = milliseconds(200);
  boost::system::error_code ignored;
  m_reader_wakeup.expires_after(kDisconnectCheckInterval);
  co_await m_reader_wakeup.async_wait(
      asio::redirect_error(asio::use_awaitable, ignored));
  if (!m_must_stop_reading && HasHungUp(m_downstream)) {
    OnDisconnected();
  }
}

CallerPipeline::NextStep CallerPipeline::StartNext() {
  std::shared_ptr<const RoutingSnapshot> snapshot = m_options.snapshot();
  if (m_is_blocked || !snapshot || !m_window.MayReadOn()) {
    return NextStep::kWait;
  }
  BufferedRequest next = ParseBufferedRequest(TextOf(m_downstream.buffer),
                                              m_inbound.max_header_bytes);
  if (next.content == BufferedContent::kIncomplete) {
    return NextStep::kReadBytes;
  }
  if (next.content == BufferedContent::kOther) {
    m_is_blocked = true;
    return NextStep::kWait;
  }
  const PipelinedRequest description =
      Describe(next.request, next.text.bytes, snapshot.get());
  m_is_blocked = !description.may_run_beside;
  if (!m_window.MayStart(description) || !TakeHeadMemory(next)) {
    return NextStep::kWait;
  }
  Start(std::move(next), description, std::move(snapshot));
  return NextStep::kStarted;
}

/// Takes the memory for a request that is read ahead, small or not: a caller
/// may have several of them.
bool CallerPipeline::TakeHeadMemory(BufferedRequest& next) const {
  if (m_inbound.head_memory == nullptr) {
    return true;
  }
  next.request.head_memory = HeadMemory::Share(*m_inbound.head_memory);
  return next.request.head_memory.GrowTo(MemoryOf(next.text));
}

void CallerPipeline::Start(BufferedRequest next,
                           const PipelinedRequest& description,
                           std::shared_ptr<const RoutingSnapshot> snapshot) {
  m_downstream.buffer.consume(next.text.bytes);
  // The turn refers to the pipeline, so that it can be neither moved nor
  // copied.
  const std::shared_ptr<ReadAheadRequest> request(
      new ReadAheadRequest{.request = std::move(next.request),
                           .turn = {*this, std::move(snapshot)}});
  AddTurn(request->turn, description);
  ++m_running;
  asio::co_spawn(m_downstream.stream.get_executor(), Handle(*request),
                 [this, request](const std::exception_ptr& failure) {
                   if (failure) {
                     // Part of the response may have been written.
                     Close(m_downstream.stream);
                     m_downstream.must_close = true;
                   }
                   --m_running;
                   OnEnded(request->turn);
                 });
}

asio::awaitable<void> CallerPipeline::Handle(ReadAheadRequest& request) {
  co_await m_options.handle(request.request, request.turn);
}

void CallerPipeline::AddTurn(ResponseTurn& turn,
                             const PipelinedRequest& description) {
  turn.m_ticket = m_window.Start(description);
  m_turns.push_back(&turn);
}

void CallerPipeline::OnEnded(ResponseTurn& turn) {
  m_window.Finish(*turn.m_ticket);
  std::erase(m_turns, &turn);
  if (m_downstream.must_close) {
    CancelRequests();
    StopReading();
  }
  if (m_window.empty()) {
    StopReading();
  } else {
    m_turns.front()->Wake();
    m_reader_wakeup.cancel();
  }
  m_session_wakeup.cancel();
}

void CallerPipeline::OnDisconnected() {
  m_downstream.must_close = true;
  m_must_stop_reading = true;
  CancelRequests();
}

void CallerPipeline::CancelRequests() {
  for (ResponseTurn* turn : m_turns) {
    turn->Cancel();
  }
}

void CallerPipeline::StopReading() {
  m_must_stop_reading = true;
  m_reader_wakeup.cancel();
  if (m_is_awaiting_bytes) {
    boost::system::error_code ignored;
    m_downstream.stream.socket().cancel(ignored);
  }
}

}  // namespace banyantrail
