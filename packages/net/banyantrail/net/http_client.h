#pragma once

#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <cstddef>
#include <deque>
#include <memory>
#include <string>

#include "banyantrail/core/clock.h"
#include "banyantrail/core/errors.h"
#include "banyantrail/net/asio.h"
#include "banyantrail/net/http_types.h"

namespace banyantrail {

/// A failed HTTP exchange. `request_sent` tells whether the server may have
/// received the request and so may have executed it.
class HttpClientError : public Error {
 public:
  struct Options {
    std::string message;
    bool request_sent = false;
  };

  explicit HttpClientError(Options options);

  bool request_sent() const { return m_request_sent; }

 private:
  bool m_request_sent;
};

/// HTTP/1.1 client of one server for messages that fit in memory. Pools
/// keep-alive connections. Not thread-safe: use it from one io_context thread.
class HttpClient {
 public:
  struct Options {
    IpEndpoint server;
    std::size_t max_idle_connections = 8;
    std::uint64_t max_body_bytes = 16U << 20U;
    /// A connection that has been idle for longer is closed instead of reused.
    Duration max_idle_time = seconds(30);
    /// See EnableDeadPeerDetection.
    milliseconds tcp_user_timeout{2000};
    /// Longest time between two reads of a response body.
    Duration body_idle_timeout = seconds(1);
    /// Longest time for a whole response body.
    Duration body_timeout = seconds(10);
  };

  HttpClient(asio::any_io_executor executor, Options options);

  /// Sends the request and returns the complete response. Throws
  /// HttpClientError when the connection fails, when the response header does
  /// not arrive within `timeout`, or when the body exceeds its own time limits.
  /// The body is not bound by `timeout` because a large one on a slow link
  /// takes longer than a server may take to respond. A request is not retried
  /// when the server closes a reused connection before responding.
  asio::awaitable<HttpResponse> Request(HttpRequest request, Duration timeout);

 private:
  struct Connection;
  using ConnectionPtr = std::unique_ptr<Connection>;

  static bool IsReusable(Connection& connection);
  ConnectionPtr TakeIdleConnection();
  asio::awaitable<ConnectionPtr> Connect(TimePoint deadline);
  void ReturnToPool(ConnectionPtr connection);
  using ResponseParser = http::response_parser<http::string_body>;

  std::unique_ptr<ResponseParser> NewParser(http::verb method) const;
  asio::awaitable<boost::system::error_code> ReadFinalHeader(
      Connection& connection,
      http::verb method,
      std::unique_ptr<ResponseParser>& parser) const;
  asio::awaitable<boost::system::error_code> ReadResponse(
      Connection& connection,
      http::verb method,
      std::unique_ptr<ResponseParser>& parser) const;

  asio::any_io_executor m_executor;
  Options m_options;
  std::shared_ptr<std::deque<ConnectionPtr>> m_idle_connections;
};

}  // namespace banyantrail
