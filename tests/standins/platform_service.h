#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "banyantrail/core/clock.h"
#include "banyantrail/net/asio.h"
#include "banyantrail/net/http_types.h"
#include "standins/object_store.h"
#include "standins/request_target.h"
#include "standins/token_bucket.h"

namespace banyantrail::standins {

/// Faults that tests inject with POST /standin/faults, see docs/PROTOCOLS.md.
struct PlatformFaults {
  /// Every connection is closed without a response.
  bool outage = false;
  /// Delay before a request is executed.
  milliseconds delay{0};
  /// Number of further writes that take effect but get no response.
  std::uint64_t responses_to_drop = 0;
};

/// Number of calls to the object API.
struct PlatformCounters {
  std::uint64_t reads = 0;
  std::uint64_t writes = 0;
  std::uint64_t watches = 0;
  std::uint64_t rejected = 0;
  /// Calls by the first path segment of the key or prefix.
  std::map<std::string, std::uint64_t> by_prefix;
};

/// The platform's object API over HTTP/JSON. It is single-threaded.
class PlatformService {
 public:
  struct Options {
    double writes_per_second = 400;
    double reads_per_second = 2000;
  };

  PlatformService(asio::any_io_executor executor, Options options);

  /// The response to a request, or nothing if the connection is to be closed
  /// without one.
  asio::awaitable<std::optional<HttpResponse>> Handle(HttpRequest request);

 private:
  struct Watch {
    std::string prefix;
    asio::steady_timer timer;
  };

  asio::awaitable<std::optional<HttpResponse>> HandleObjectApi(
      HttpRequest request);
  std::optional<HttpResponse> HandleRead(const std::string& key);
  std::optional<HttpResponse> HandleWrite(const HttpRequest& request,
                                          const std::string& key);
  HttpResponse HandleList(const RequestTarget& target);
  asio::awaitable<std::optional<HttpResponse>> HandleWatch(
      RequestTarget target);
  HttpResponse SetFaults(const std::string& body);
  HttpResponse Counters() const;

  asio::awaitable<void> WaitForChange(std::string prefix, milliseconds wait);
  void WakeMatchingWatches(const std::string& key);
  bool TryTakeToken(bool is_write, const std::string& key);

  asio::any_io_executor m_executor;
  ObjectStore m_store;
  PlatformFaults m_faults;
  PlatformCounters m_counters;
  TokenBucket m_write_limiter;
  TokenBucket m_read_limiter;
  std::uint64_t m_next_watch = 0;
  std::map<std::uint64_t, Watch> m_watches;
};

}  // namespace banyantrail::standins
