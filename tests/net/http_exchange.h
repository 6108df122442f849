#pragma once

#include <boost/asio/write.hpp>
#include <optional>
#include <string>

#include "banyantrail/net/http_client.h"
#include "banyantrail/net/http_server.h"
#include "net/test_ports.h"

namespace banyantrail::test {

inline constexpr milliseconds kRequestTimeout{500};

inline asio::awaitable<HttpResponse> Echo(HttpRequest request) {
  co_return JsonResponse(http::status::ok, request.body());
}

/// Returns an endpoint with a port of this process on which nobody listens.
inline IpEndpoint FreeEndpoint(asio::io_context&) {
  static TestPorts ports;
  return {"127.0.0.1", ports.Choose()};
}

struct Exchange {
  std::optional<HttpResponse> response;
  std::optional<HttpClientError> error;
};

inline asio::awaitable<void> RunExchange(HttpClient& client,
                                         std::string body,
                                         Exchange& exchange) {
  HttpRequest request(http::verb::post, "/", 11);
  request.body() = std::move(body);
  try {
    exchange.response = co_await client.Request(request, kRequestTimeout);
  } catch (const HttpClientError& error) {
    exchange.error = error;
  }
}

/// Sends raw bytes and stores the status line of the response in `status_line`.
inline asio::awaitable<void> SendRawRequest(IpEndpoint server,
                                            std::string bytes,
                                            std::string& status_line) {
  beast::tcp_stream stream(co_await asio::this_coro::executor);
  stream.expires_after(kRequestTimeout);
  const auto endpoint = ToTcpEndpoint(server);
  co_await stream.async_connect(endpoint, asio::use_awaitable);
  co_await asio::async_write(stream, asio::buffer(bytes), asio::use_awaitable);
  status_line.resize(1024);
  const std::size_t size = co_await stream.async_read_some(
      asio::buffer(status_line), asio::use_awaitable);
  status_line.resize(size);
  status_line.resize(status_line.find('\r'));
}

/// How a server ends its connection behind a response without a length.
enum class ResponseEnd { kClose, kReset };

/// Serves one connection: responds without a length before it has read the body
/// of the request, which has to exceed what sockets hold.
inline asio::awaitable<void> RespondEarly(asio::io_context& io,
                                          IpEndpoint endpoint,
                                          std::string body,
                                          ResponseEnd end) {
  constexpr int kReceiveBufferBytes = 16 << 10;
  constexpr milliseconds kDelay{20};
  asio::ip::tcp::acceptor acceptor(io, ToTcpEndpoint(endpoint));
  acceptor.set_option(
      asio::socket_base::receive_buffer_size(kReceiveBufferBytes));
  asio::ip::tcp::socket socket =
      co_await acceptor.async_accept(asio::use_awaitable);
  const std::string text = "HTTP/1.1 200 OK\r\n\r\n" + body;
  co_await asio::async_write(socket, asio::buffer(text), asio::use_awaitable);
  if (end == ResponseEnd::kReset) {
    asio::steady_timer timer(io, kDelay);
    co_await timer.async_wait(asio::use_awaitable);
    socket.set_option(asio::socket_base::linger(true, 0));
    co_return;
  }
  socket.shutdown(asio::ip::tcp::socket::shutdown_send);
  std::string discarded(64U << 10U, '\0');
  boost::system::error_code error;
  while (!error) {
    co_await socket.async_read_some(
        asio::buffer(discarded),
        asio::redirect_error(asio::use_awaitable, error));
  }
}

/// Size of an upload that exceeds what sockets hold.
inline constexpr std::size_t kLongUploadBytes = 8U << 20U;

/// What a peer took in of bytes that never end.
struct FloodResult {
  std::size_t sent_bytes = 0;
  bool ended = false;
};

/// More than the sockets of a connection hold, and less than a node may use.
inline constexpr std::size_t kMaxFloodBytes = 32U << 20U;

/// Sends `start` and then bytes without a line end until
/// the peer closes the connection or has taken twice kMaxFloodBytes.
inline asio::awaitable<void> SendFlood(beast::tcp_stream& stream,
                                       std::string start,
                                       FloodResult& result) {
  const std::string piece(64U << 10U, 'a');
  boost::system::error_code error;
  co_await asio::async_write(stream, asio::buffer(start),
                             asio::redirect_error(asio::use_awaitable, error));
  while (!error && result.sent_bytes < 2 * kMaxFloodBytes) {
    result.sent_bytes += co_await asio::async_write(
        stream, asio::buffer(piece),
        asio::redirect_error(asio::use_awaitable, error));
  }
  result.ended = true;
}

}  // namespace banyantrail::test
