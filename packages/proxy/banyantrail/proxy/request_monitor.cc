#include "banyantrail/proxy/request_monitor.h"

#include <array>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/serializer.hpp>
#include <boost/beast/http/write.hpp>
#include <utility>

#include "banyantrail/proxy/body_part.h"

namespace banyantrail {
namespace {

/// Buffer size for a streamed body.
constexpr std::size_t kBodyBufferBytes = 32U << 10U;

}  // namespace

struct RequestMonitor::State {
  State(Downstream& down,
        Upstream& up,
        InboundRequest& inbound,
        Options options)
      : downstream(down),
        upstream(up),
        request(inbound),
        head(std::move(options.head)),
        may_send(std::move(options.may_send)),
        on_body_received(std::move(options.on_body_received)),
        on_body_part(std::move(options.on_body_part)),
        finished(down.stream.get_executor()),
        head_sent(options.head_sent) {}

  Downstream& downstream;
  Upstream& upstream;
  InboundRequest& request;
  http::request_header<> head;
  std::function<bool()> may_send;
  std::function<void()> on_body_received;
  std::function<void(std::string_view)> on_body_part;
  /// Cancelled when the monitor's coroutine has ended.
  asio::steady_timer finished;
  bool head_sent;
  bool running = false;
  /// A wait for bytes or the end of the downstream connection is pending.
  bool watching = false;
  bool stopping = false;
  bool caller_disconnected = false;
  bool send_refused = false;
  bool body_sent = false;
};

namespace {

/// Advances the serializer past the head, which was already sent.
void SkipHead(http::request_serializer<http::buffer_body>& serializer) {
  serializer.split(true);
  boost::system::error_code error;
  serializer.next(error, [&serializer](auto&, const auto& buffers) {
    serializer.consume(beast::buffer_bytes(buffers));
  });
}

/// Forwards the body from the downstream to the upstream. Each part is written
/// before the next is read, so that a slow backend server slows its caller
/// down.
template <typename State>
asio::awaitable<void> ForwardBody(State& state) {
  InboundRequest::Parser& parser = *state.request.parser;
  http::request<http::buffer_body> outgoing(std::move(state.head));
  http::request_serializer<http::buffer_body> serializer(outgoing);
  std::array<char, kBodyBufferBytes> buffer{};
  boost::system::error_code error;
  outgoing.body().more = true;
  if (state.head_sent) {
    SkipHead(serializer);
  }
  state.request.body_consumed = true;
  std::string start = std::exchange(state.request.body_start, {});
  while (!serializer.is_done()) {
    char* part = buffer.data();
    std::size_t size = 0;
    if (!start.empty()) {
      part = start.data();
      size = start.size();
    } else if (!parser.is_done()) {
      parser.get().body().data = buffer.data();
      parser.get().body().size = buffer.size();
      co_await http::async_read_some(
          state.downstream.stream, state.downstream.buffer, parser,
          asio::redirect_error(asio::use_awaitable, error));
      size = buffer.size() - parser.get().body().size;
    }
    if (error && error != http::error::need_buffer) {
      state.caller_disconnected = !state.stopping;
      co_return;
    }
    state.on_body_part({part, size});
    if (parser.is_done()) {
      state.on_body_received();
    } else if (size == 0) {
      continue;
    }
    SetBodyPart(outgoing.body(), part, size, parser.is_done());
    if (!state.head_sent && !state.may_send()) {
      state.send_refused = true;
      state.upstream.stream.cancel();
      co_return;
    }
    state.head_sent = true;
    co_await http::async_write(
        state.upstream.stream, serializer,
        asio::redirect_error(asio::use_awaitable, error));
    if (error && error != http::error::need_buffer) {
      // Not an error yet: the server may have responded before it closed the
      // connection.
      state.upstream.OnWriteFailed(error);
      co_return;
    }
    error = {};
    start.clear();
  }
  state.body_sent = true;
}

/// Returns when the caller has disconnected, or when stopped.
template <typename State>
asio::awaitable<void> WatchForDisconnect(State& state) {
  asio::ip::tcp::socket& socket = state.downstream.stream.socket();
  boost::system::error_code error;
  co_await socket.async_wait(asio::ip::tcp::socket::wait_read,
                             asio::redirect_error(asio::use_awaitable, error));
  if (state.stopping) {
    co_return;
  }
  boost::system::error_code available_error;
  const std::size_t available = socket.available(available_error);
  state.caller_disconnected = error || available_error || available == 0;
}

/// Like WatchForDisconnect, for a request whose body was already sent. Needs no
/// coroutine. Bytes that arrive are the next requests.
template <typename State>
void WatchWithCallback(std::shared_ptr<State> state) {
  asio::ip::tcp::socket& socket = state->downstream.stream.socket();
  state->watching = true;
  socket.async_wait(asio::ip::tcp::socket::wait_read,
                    [state](const boost::system::error_code& error) {
                      if (state->stopping) {
                        return;
                      }
                      state->watching = false;
                      boost::system::error_code ignored;
                      const std::size_t available =
                          state->downstream.stream.socket().available(ignored);
                      state->caller_disconnected =
                          error || ignored || available == 0;
                      if (state->caller_disconnected) {
                        state->upstream.stream.cancel();
                      } else {
                        state->downstream.on_bytes_ahead();
                      }
                    });
}

}  // namespace

RequestMonitor::RequestMonitor(Downstream& downstream,
                               Upstream& upstream,
                               InboundRequest& request,
                               Options options)
    : m_state(std::make_shared<State>(downstream,
                                      upstream,
                                      request,
                                      std::move(options))) {}

void RequestMonitor::Start(const asio::any_io_executor& executor) {
  m_state->finished.expires_at(TimePoint::max());
  m_state->running = true;
  m_state->body_sent = !m_state->request.is_streamed;
  if (m_state->body_sent) {
    if (!m_state->downstream.is_read_ahead) {
      WatchWithCallback(m_state);
    }
    return;
  }
  auto run = [](std::shared_ptr<State> state) -> asio::awaitable<void> {
    if (state->request.is_streamed && !state->stopping) {
      co_await ForwardBody(*state);
    }
    if (state->body_sent && !state->stopping && !state->caller_disconnected) {
      co_await WatchForDisconnect(*state);
    }
    if (state->caller_disconnected) {
      state->upstream.stream.cancel();
    }
    state->running = false;
    state->finished.cancel();
  };
  asio::co_spawn(executor, run(m_state), asio::detached);
}

asio::awaitable<void> RequestMonitor::Stop() {
  m_state->stopping = true;
  if (!m_state->request.is_streamed) {
    // The handler does nothing once `stopping` is set.
    boost::system::error_code ignored;
    if (m_state->watching) {
      m_state->downstream.stream.socket().cancel(ignored);
    }
    co_return;
  }
  if (m_state->running) {
    if (!m_state->body_sent) {
      m_state->upstream.stream.cancel();
    }
    m_state->downstream.stream.cancel();
  }
  boost::system::error_code ignored;
  while (m_state->running) {
    co_await m_state->finished.async_wait(
        asio::redirect_error(asio::use_awaitable, ignored));
  }
  // Also when forwarding had ended by itself, as after an early response with a
  // reset behind it.
  if (m_state->request.has_unread_body()) {
    m_state->downstream.must_close = true;
  }
}

bool RequestMonitor::caller_disconnected() const {
  return m_state->caller_disconnected;
}

bool RequestMonitor::head_sent() const {
  return m_state->head_sent;
}

bool RequestMonitor::send_refused() const {
  return m_state->send_refused;
}

bool RequestMonitor::body_sent() const {
  return m_state->body_sent;
}

}  // namespace banyantrail
