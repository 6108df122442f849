#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string_view>

#include "banyantrail/core/clock.h"
#include "banyantrail/net/asio.h"
#include "banyantrail/net/http_types.h"
#include "banyantrail/net/tcp_listener.h"

namespace banyantrail {

/// HTTP/1.1 server for small messages: the admin listener and stand-ins.
/// Requests that stream go through the proxy's own sessions instead.
class HttpServer {
 public:
  using Handler = std::function<asio::awaitable<HttpResponse>(HttpRequest)>;

  struct Options {
    IpEndpoint endpoint;
    Handler handler;
    std::uint32_t max_header_bytes = 16U << 10U;
    std::uint64_t max_body_bytes = 4U << 20U;
    std::size_t max_connections = 1024;
    /// How long a connection may stay idle, and a request may take to arrive.
    Duration read_timeout = seconds(60);
    /// Called with a snake_case reason for each request refused before it
    /// reached the handler.
    std::function<void(std::string_view)> on_refused = [](std::string_view) {};
  };

  /// Binds and starts to serve. Throws Error{kInvalidSettings}.
  HttpServer(asio::io_context& io, Options options);

  /// Stops to accept; open sessions go on.
  void Stop() { m_listener->Stop(); }

 private:
  std::unique_ptr<TcpListener> m_listener;
};

/// An answer with a JSON body.
HttpResponse JsonResponse(http::status status, std::string body);

}  // namespace banyantrail
