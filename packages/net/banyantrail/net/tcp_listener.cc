#include "banyantrail/net/tcp_listener.h"

#include <utility>

#include "banyantrail/core/errors.h"
#include "banyantrail/core/logging.h"

namespace banyantrail {

struct TcpListener::State {
  State(asio::io_context& io, Options listener_options)
      : options(std::move(listener_options)), acceptor(io) {}

  Options options;
  asio::ip::tcp::acceptor acceptor;
  std::size_t open_sessions = 0;
};

namespace {

const ComponentLogger kLog("net");

boost::system::error_code Bind(asio::ip::tcp::acceptor& acceptor,
                               const IpEndpoint& endpoint) {
  boost::system::error_code error;
  const asio::ip::tcp::endpoint tcp_endpoint = ToTcpEndpoint(endpoint);
  acceptor.open(tcp_endpoint.protocol(), error);
  if (!error) {
    acceptor.set_option(asio::socket_base::reuse_address(true), error);
  }
  if (!error) {
    acceptor.bind(tcp_endpoint, error);
  }
  if (!error) {
    acceptor.listen(asio::socket_base::max_listen_connections, error);
  }
  return error;
}

Error BindError(const IpEndpoint& endpoint,
                const boost::system::error_code& error) {
  return Error({.kind = ErrorKind::kInvalidSettings,
                .message = "cannot listen on " + ToString(endpoint) + ": " +
                           error.message(),
                .remedy = "choose a free port on an address of this VM"});
}

}  // namespace

bool IsPortInUse(const IpEndpoint& endpoint) {
  asio::io_context io;
  asio::ip::tcp::acceptor probe(io);
  const boost::system::error_code error = Bind(probe, endpoint);
  if (error && error != asio::error::address_in_use) {
    throw BindError(endpoint, error);
  }
  return error == asio::error::address_in_use;
}

TcpListener::TcpListener(asio::io_context& io, Options options)
    : m_state(std::make_shared<State>(io, std::move(options))) {
  const IpEndpoint& endpoint = m_state->options.endpoint;
  const boost::system::error_code bind_error =
      Bind(m_state->acceptor, endpoint);
  if (bind_error) {
    throw BindError(endpoint, bind_error);
  }

  auto run_session = [](std::shared_ptr<State> state,
                        beast::tcp_stream stream) -> asio::awaitable<void> {
    try {
      co_await state->options.session(std::move(stream));
    } catch (const boost::system::system_error&) {
      // A connection error ends this session only.
    } catch (const std::exception& error) {
      kLog.Warn("Session ended by an unexpected error: " +
                std::string(error.what()) + ".");
    }
    --state->open_sessions;
  };

  auto accept_loop =
      [run_session](std::shared_ptr<State> state) -> asio::awaitable<void> {
    constexpr std::chrono::milliseconds kAcceptRetryDelay{50};
    while (state->acceptor.is_open()) {
      boost::system::error_code error;
      asio::ip::tcp::socket socket = co_await state->acceptor.async_accept(
          asio::redirect_error(asio::use_awaitable, error));
      if (error == asio::error::operation_aborted) {
        break;
      }
      if (error) {
        // Usually out of file descriptors; sessions that end free some.
        asio::steady_timer retry_timer(state->acceptor.get_executor());
        retry_timer.expires_after(kAcceptRetryDelay);
        co_await retry_timer.async_wait(
            asio::redirect_error(asio::use_awaitable, error));
        continue;
      }
      const bool is_full =
          state->open_sessions >= state->options.max_connections;
      if (is_full && !state->options.make_room()) {
        state->options.on_refused();
        continue;
      }
      socket.set_option(asio::ip::tcp::no_delay(true), error);
      ++state->open_sessions;
      asio::co_spawn(state->acceptor.get_executor(),
                     run_session(state, beast::tcp_stream(std::move(socket))),
                     asio::detached);
    }
  };
  asio::co_spawn(io, accept_loop(m_state), asio::detached);
}

TcpListener::~TcpListener() {
  Stop();
}

void TcpListener::Stop() {
  boost::system::error_code ignored;
  m_state->acceptor.close(ignored);
}

std::size_t TcpListener::connection_count() const {
  return m_state->open_sessions;
}

}  // namespace banyantrail
