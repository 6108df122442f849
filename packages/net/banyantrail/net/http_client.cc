#include "banyantrail/net/http_client.h"

#include <algorithm>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>
#include <utility>

#include "banyantrail/net/response_head.h"

namespace banyantrail {

HttpClientError::HttpClientError(Options options)
    : Error({.kind = options.request_sent ? ErrorKind::kOutcomeUnknown
                                          : ErrorKind::kNetwork,
             .message = std::move(options.message),
             .remedy = "check that the server is running and reachable"}),
      m_request_sent(options.request_sent) {}

struct HttpClient::Connection {
  explicit Connection(const asio::any_io_executor& executor)
      : stream(executor) {}

  beast::tcp_stream stream;
  beast::flat_buffer buffer{kMaxUnparsedBytes};
  TimePoint idle_since{};
};

HttpClient::HttpClient(asio::any_io_executor executor, Options options)
    : m_executor(std::move(executor)),
      m_options(std::move(options)),
      m_idle_connections(std::make_shared<std::deque<ConnectionPtr>>()) {}

/// Whether the server has neither closed the connection nor sent anything
/// without a request. A second copy of a response would be taken for that to
/// the next request.
bool HttpClient::IsReusable(Connection& connection) {
  return connection.buffer.size() == 0 &&
         PeekNonBlocking(connection.stream.socket()) ==
             asio::error::would_block;
}

HttpClient::ConnectionPtr HttpClient::TakeIdleConnection() {
  const TimePoint oldest = SystemClock().Now() - m_options.max_idle_time;
  while (!m_idle_connections->empty()) {
    ConnectionPtr connection = std::move(m_idle_connections->back());
    m_idle_connections->pop_back();
    if (connection->idle_since >= oldest && IsReusable(*connection)) {
      return connection;
    }
  }
  return nullptr;
}

asio::awaitable<HttpClient::ConnectionPtr> HttpClient::Connect(
    TimePoint deadline) {
  auto connection = std::make_unique<Connection>(m_executor);
  connection->stream.expires_at(deadline);
  boost::system::error_code error;
  const asio::ip::tcp::endpoint endpoint = ToTcpEndpoint(m_options.server);
  co_await connection->stream.async_connect(
      endpoint, asio::redirect_error(asio::use_awaitable, error));
  if (error) {
    throw HttpClientError({.message = "cannot connect to " +
                                      ToString(m_options.server) + ": " +
                                      error.message()});
  }
  connection->stream.socket().set_option(asio::ip::tcp::no_delay(true), error);
  EnableDeadPeerDetection(connection->stream.socket(),
                          m_options.tcp_user_timeout);
  co_return connection;
}

void HttpClient::ReturnToPool(ConnectionPtr connection) {
  if (m_idle_connections->size() >= m_options.max_idle_connections) {
    return;
  }
  connection->idle_since = SystemClock().Now();
  m_idle_connections->push_back(std::move(connection));
}

std::unique_ptr<HttpClient::ResponseParser> HttpClient::NewParser(
    http::verb method) const {
  auto parser = std::make_unique<ResponseParser>();
  parser->body_limit(m_options.max_body_bytes);
  if (method == http::verb::head) {
    parser->skip(true);
  }
  return parser;
}

/// Reads the header of the response itself. Informational responses (1xx) are
/// passed over.
asio::awaitable<boost::system::error_code> HttpClient::ReadFinalHeader(
    Connection& connection,
    http::verb method,
    std::unique_ptr<ResponseParser>& parser) const {
  boost::system::error_code error;
  for (int i = 0; i <= kMaxInformationalResponses; ++i) {
    parser = NewParser(method);
    co_await http::async_read_header(
        connection.stream, connection.buffer, *parser,
        asio::redirect_error(asio::use_awaitable, error));
    if (!error) {
      error = CheckResponseHead(parser->get());
    }
    if (error || !IsInformational(parser->get().result_int())) {
      co_return error;
    }
  }
  co_return http::make_error_code(http::error::bad_status);
}

/// Reads the header before the connection's deadline, then the body within the
/// time limits for bodies.
asio::awaitable<boost::system::error_code> HttpClient::ReadResponse(
    Connection& connection,
    http::verb method,
    std::unique_ptr<ResponseParser>& parser) const {
  boost::system::error_code error =
      co_await ReadFinalHeader(connection, method, parser);
  const TimePoint body_deadline = SystemClock().Now() + m_options.body_timeout;
  while (!error && !parser->is_done()) {
    const TimePoint idle_deadline =
        SystemClock().Now() + m_options.body_idle_timeout;
    connection.stream.expires_at(std::min(idle_deadline, body_deadline));
    co_await http::async_read_some(
        connection.stream, connection.buffer, *parser,
        asio::redirect_error(asio::use_awaitable, error));
  }
  co_return error;
}

asio::awaitable<HttpResponse> HttpClient::Request(HttpRequest request,
                                                  Duration timeout) {
  const TimePoint deadline = SystemClock().Now() + timeout;
  request.set(http::field::host, ToString(m_options.server));
  request.prepare_payload();

  ConnectionPtr connection = TakeIdleConnection();
  if (!connection) {
    connection = co_await Connect(deadline);
  }
  connection->stream.expires_at(deadline);

  boost::system::error_code error;
  const std::size_t written = co_await http::async_write(
      connection->stream, request,
      asio::redirect_error(asio::use_awaitable, error));
  if (error) {
    throw HttpClientError({.message = "cannot send to " +
                                      ToString(m_options.server) + ": " +
                                      error.message(),
                           .request_sent = written > 0});
  }

  std::unique_ptr<ResponseParser> parser;
  error = co_await ReadResponse(*connection, request.method(), parser);
  if (error) {
    throw HttpClientError({.message = "no complete response from " +
                                      ToString(m_options.server) + ": " +
                                      error.message(),
                           .request_sent = true});
  }
  if (parser->get().keep_alive()) {
    connection->stream.expires_never();
    ReturnToPool(std::move(connection));
  }
  co_return parser->release();
}

}  // namespace banyantrail
