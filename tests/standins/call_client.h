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

/// One request as a caller sends it.
struct Call {
  std::string method;
  std::string target;
  std::vector<std::pair<std::string, std::string>> headers;
  std::string body;
  /// Time over which the body is spread.
  milliseconds body_time{0};
};

/// How an exchange ended, as far as the connection tells.
enum class CallEnd {
  kAnswered,
  /// Not one byte of the request left.
  kNotSent,
  /// The connection broke, or the answer was cut.
  kBroken,
  kTimeout,
};

/// The whole answer, or how it failed to come.
struct CallResult {
  CallEnd end = CallEnd::kNotSent;
  HttpResponse response;
};

/// A caller's HTTP/1.1 client with kept-alive connections, which checks that
/// an idle connection is still open before it uses it again.
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

  ConnectionPtr TakeIdle(const IpEndpoint& server);
  asio::awaitable<bool> Send(Connection& connection, const Call& call);

  asio::any_io_executor m_executor;
  std::map<IpEndpoint, std::deque<ConnectionPtr>> m_idle;
};

}  // namespace banyantrail::standins
