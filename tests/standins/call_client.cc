#include "standins/call_client.h"

#include <array>
#include <boost/asio/write.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/serializer.hpp>
#include <boost/beast/http/write.hpp>
#include <limits>

namespace banyantrail::standins {
namespace {

constexpr unsigned kHttp11 = 11;
constexpr std::size_t kSlowBodyChunks = 20;

bool IsOpen(asio::ip::tcp::socket& socket) {
  std::array<char, 1> byte{};
  boost::system::error_code error;
  socket.non_blocking(true, error);
  socket.receive(asio::buffer(byte), asio::socket_base::message_peek, error);
  return error == asio::error::would_block;
}

http::request<http::empty_body> MakeHeader(const Call& call,
                                           const IpEndpoint& server) {
  http::request<http::empty_body> header;
  header.version(kHttp11);
  header.method_string(call.method);
  header.target(call.target);
  header.set(http::field::host, ToString(server));
  for (const auto& [name, value] : call.headers) {
    header.set(name, value);
  }
  if (!call.body.empty() || call.method != "GET") {
    header.content_length(call.body.size());
  }
  return header;
}

}  // namespace

struct CallClient::Connection {
  explicit Connection(const asio::any_io_executor& executor,
                      IpEndpoint connection_server)
      : server(std::move(connection_server)), stream(executor) {}

  IpEndpoint server;
  beast::tcp_stream stream;
  beast::flat_buffer buffer;
};

CallClient::CallClient(asio::any_io_executor executor)
    : m_executor(std::move(executor)) {}

CallClient::~CallClient() = default;

CallClient::ConnectionPtr CallClient::AcquireIdleConnection(
    const IpEndpoint& server) {
  std::deque<ConnectionPtr>& idle = m_idle_connections[server];
  while (!idle.empty()) {
    ConnectionPtr connection = std::move(idle.back());
    idle.pop_back();
    if (IsOpen(connection->stream.socket())) {
      return connection;
    }
  }
  return nullptr;
}

asio::awaitable<CallResult> CallClient::Exchange(IpEndpoint server,
                                                 Call call,
                                                 Duration timeout) {
  const TimePoint deadline = SystemClock().Now() + timeout;
  boost::system::error_code error;
  ConnectionPtr connection = AcquireIdleConnection(server);
  if (!connection) {
    connection = std::make_unique<Connection>(m_executor, server);
    connection->stream.expires_at(deadline);
    co_await connection->stream.async_connect(
        ToTcpEndpoint(server),
        asio::redirect_error(asio::use_awaitable, error));
    if (error) {
      co_return CallResult{.status = CallStatus::kNotSent};
    }
    connection->stream.socket().set_option(asio::ip::tcp::no_delay(true),
                                           error);
  }
  connection->stream.expires_at(deadline);
  // The server may respond before it has read the whole body, so the response
  // is read even if the write failed.
  const boost::system::error_code send_error = co_await Send(*connection, call);

  http::response_parser<http::string_body> parser;
  parser.body_limit(std::numeric_limits<std::uint64_t>::max());
  parser.skip(call.method == "HEAD");
  co_await http::async_read(connection->stream, connection->buffer, parser,
                            asio::redirect_error(asio::use_awaitable, error));
  // The kernel reports a reset to one call only. If that was the write, the
  // read that follows ends as after an orderly close.
  const bool was_lost = send_error && send_error != asio::error::broken_pipe;
  if (!error && was_lost && parser.need_eof()) {
    error = send_error;
  }
  if (error) {
    const bool timed_out = error == beast::error::timeout;
    co_return CallResult{.status = timed_out ? CallStatus::kTimeout
                                             : CallStatus::kConnectionLost};
  }
  if (!send_error && parser.get().keep_alive()) {
    connection->stream.expires_never();
    m_idle_connections[server].push_back(std::move(connection));
  }
  co_return CallResult{.status = CallStatus::kCompleted,
                       .response = parser.release()};
}

asio::awaitable<boost::system::error_code> CallClient::Send(
    Connection& connection,
    const Call& call) {
  auto header = MakeHeader(call, connection.server);
  http::request_serializer<http::empty_body> serializer(header);
  boost::system::error_code error;
  co_await http::async_write_header(
      connection.stream, serializer,
      asio::redirect_error(asio::use_awaitable, error));
  const std::size_t chunks =
      call.body_duration.count() > 0 ? kSlowBodyChunks : 1;
  const std::size_t chunk_bytes = call.body.size() / chunks + 1;
  asio::steady_timer pause(m_executor);
  std::size_t sent = 0;
  while (!error && sent < call.body.size()) {
    if (call.body_duration.count() > 0) {
      pause.expires_after(call.body_duration / kSlowBodyChunks);
      co_await pause.async_wait(asio::use_awaitable);
    }
    const std::size_t size = std::min(chunk_bytes, call.body.size() - sent);
    sent += co_await asio::async_write(
        connection.stream, asio::buffer(call.body.data() + sent, size),
        asio::redirect_error(asio::use_awaitable, error));
  }
  co_return error;
}

}  // namespace banyantrail::standins
