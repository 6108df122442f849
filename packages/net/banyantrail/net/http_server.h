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

/// HTTP/1.1 server for messages that fit in memory, used by the admin listener
/// and by test servers. The proxy, which streams bodies, has its own sessions.
class HttpServer {
 public:
  using Handler = std::function<asio::awaitable<HttpResponse>(HttpRequest)>;

  struct Options {
    IpEndpoint endpoint;
    Handler handler;
    std::uint32_t max_header_bytes = 16U << 10U;
    std::uint64_t max_body_bytes = 4U << 20U;
    std::size_t max_connections = 1024;
    /// Longest time from the end of one exchange until the next request has
    /// arrived completely, and longest time to write a response.
    Duration read_timeout = seconds(60);
    /// Called with a snake_case reason for each connection or request that is
    /// refused before it reaches the handler.
    std::function<void(std::string_view)> on_refused = [](std::string_view) {};
  };

  /// Binds the endpoint and starts serving. Throws Error{kInvalidSettings} when
  /// the endpoint is in use or not an address of this VM.
  HttpServer(asio::io_context& io, Options options);

  /// Stops accepting connections; open ones are served until they close.
  void Stop() { m_listener->Stop(); }

 private:
  std::unique_ptr<TcpListener> m_listener;
};

/// Returns a response with the given JSON text as its body.
HttpResponse JsonResponse(http::status status, std::string body);

}  // namespace banyantrail
