#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "banyantrail/core/clock.h"
#include "banyantrail/core/ip_endpoint.h"
#include "banyantrail/net/asio.h"
#include "banyantrail/net/http_types.h"

namespace banyantrail::standins {

/// A request of a caller.
struct Call {
  std::string method;
  std::string target;
  std::vector<std::pair<std::string, std::string>> headers;
  std::string body;
  /// Time over which the body is sent; 0 sends it at once.
  milliseconds body_duration{0};
};

/// How an exchange ended on the connection.
enum class CallStatus {
  kCompleted,
  /// The connection was not established, so no byte of the request was sent.
  kNotSent,
  /// The connection was lost before the response was complete.
  kConnectionLost,
  kTimeout,
};

/// How an exchange ended, and the response if it arrived completely.
struct CallResult {
  CallStatus status = CallStatus::kNotSent;
  HttpResponse response;
};

/// An HTTP/1.1 client that pools keep-alive connections. It checks that an idle
/// connection is still open before reusing it.
class CallClient {
 public:
  explicit CallClient(asio::any_io_executor executor);
  CallClient(const CallClient&) = delete;
  CallClient& operator=(const CallClient&) = delete;
  ~CallClient();

  asio::awaitable<CallResult> Exchange(IpEndpoint server,
                                       Call call,
                                       Duration timeout);

 private:
  struct Connection;
  using ConnectionPtr = std::unique_ptr<Connection>;

  ConnectionPtr AcquireIdleConnection(const IpEndpoint& server);
  asio::awaitable<boost::system::error_code> Send(Connection& connection,
                                                  const Call& call);

  asio::any_io_executor m_executor;
  std::map<IpEndpoint, std::deque<ConnectionPtr>> m_idle_connections;
};

}  // namespace banyantrail::standins
