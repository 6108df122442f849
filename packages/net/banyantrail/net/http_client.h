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

/// A failed HTTP exchange. `request_sent` tells whether the other side may
/// have read the request, and with it whether it may have acted on it.
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

/// HTTP/1.1 client of one server for small messages, with kept-alive
/// connections. Used from one io_context thread.
class HttpClient {
 public:
  struct Options {
    IpEndpoint server;
    std::size_t max_idle_connections = 8;
    std::uint64_t max_body_bytes = 16U << 20U;
    /// Idle connections above this age are closed, not reused.
    Duration max_idle_time = seconds(30);
    /// See BoundSilence.
    milliseconds unacknowledged_timeout{2000};
    /// Longest pause within the body of an answer, and longest time for all of
    /// it.
    Duration max_body_pause = seconds(1);
    Duration max_body_time = seconds(10);
  };

  HttpClient(asio::any_io_executor executor, Options options);

  /// Sends the request and returns the whole answer. Throws HttpClientError
  /// after a broken connection, when the head of the answer is not there after
  /// `timeout`, or when the body stalls: on a narrow link a large one takes
  /// longer than a server may take to answer. A request on a reused connection
  /// that the server closed before answering is not sent again here.
  asio::awaitable<HttpResponse> Request(HttpRequest request, Duration timeout);

 private:
  struct Connection;
  using ConnectionPtr = std::unique_ptr<Connection>;

  ConnectionPtr TakeIdle();
  asio::awaitable<ConnectionPtr> Connect(TimePoint deadline);
  void Keep(ConnectionPtr connection);
  asio::awaitable<boost::system::error_code> ReadAnswer(
      Connection& connection,
      http::response_parser<http::string_body>& parser) const;

  asio::any_io_executor m_executor;
  Options m_options;
  std::shared_ptr<std::deque<ConnectionPtr>> m_idle;
};

}  // namespace banyantrail
