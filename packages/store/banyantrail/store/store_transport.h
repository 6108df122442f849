#pragma once

#include <cstdint>
#include <memory>
#include <vector>

#include "banyantrail/core/backoff.h"
#include "banyantrail/core/clock.h"
#include "banyantrail/core/ip_endpoint.h"
#include "banyantrail/core/random.h"
#include "banyantrail/net/http_client.h"
#include "banyantrail/store/token_bucket.h"

namespace banyantrail {

/// Counters of one StoreTransport, exported as metrics.
struct StoreCounters {
  std::uint64_t reads = 0;
  std::uint64_t writes = 0;
  std::uint64_t watches = 0;
  std::uint64_t retries = 0;
  /// Failed calls, by kind of error.
  std::uint64_t unavailable = 0;
  std::uint64_t overloaded = 0;
  std::uint64_t outcome_unknown = 0;
  std::uint64_t malformed = 0;
  /// Attempts that the node's own rate limit delayed or refused.
  std::uint64_t rate_limited = 0;

  friend bool operator==(const StoreCounters&, const StoreCounters&) = default;
};

/// Sends HTTP requests to a store, independent of its paths and bodies. Calls
/// are bounded in time, rate-limited, and retried with backoff after failures
/// that prove that the request had no effect.
///
/// Throws Error with kPlatformUnavailable or kPlatformOverloaded when the
/// request had no effect, kOutcomeUnknown when a write may have had one. Not
/// thread-safe: use it from one io_context thread. Must outlive its calls.
class StoreTransport {
 public:
  struct Options {
    /// At least one. A failed attempt moves on to the next.
    std::vector<IpEndpoint> servers;
    /// Timeout of one attempt; a watch adds its waiting time.
    Duration attempt_timeout = seconds(2);
    std::uint32_t max_attempts = 3;
    BackoffOptions backoff{.initial = milliseconds(50), .max = seconds(2)};
    /// This node's share of the request rate that the platform accepts.
    TokenBucket::Options rate_limit{.rate_per_second = 50, .burst = 100};
    /// A call that the rate limit would delay for longer fails with
    /// kPlatformOverloaded.
    Duration max_rate_limit_wait = seconds(1);
    std::uint64_t max_response_bytes = std::uint64_t{16} << 20U;
    std::uint64_t seed = 0;
  };

  /// Whether executing the request may change the store.
  enum class RequestType { kRead, kWrite };

  StoreTransport(asio::any_io_executor executor, Options options);

  /// Sends the request and returns the response. Throws for status 429 and 5xx.
  asio::awaitable<HttpResponse> Call(HttpRequest request,
                                     Duration timeout,
                                     RequestType type);

  const StoreCounters& counters() const { return m_counters; }
  StoreCounters& counters() { return m_counters; }

  /// Whether the last completed call returned a response or failed with
  /// kPlatformOverloaded.
  bool reachable() const { return m_reachable; }

 private:
  asio::awaitable<HttpResponse> Attempt(HttpRequest request,
                                        Duration timeout,
                                        RequestType type);
  asio::awaitable<void> Sleep(Duration duration);
  asio::awaitable<void> WaitForRateLimit();
  void CountFailure(const Error& error);

  asio::any_io_executor m_executor;
  Options m_options;
  std::vector<std::unique_ptr<HttpClient>> m_clients;
  std::size_t m_next_client = 0;
  TokenBucket m_rate_limiter;
  Rng m_rng;
  StoreCounters m_counters;
  bool m_reachable = false;
};

}  // namespace banyantrail
