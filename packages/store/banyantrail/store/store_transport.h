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

/// Counts since the start, for the metrics.
struct StoreCounters {
  std::uint64_t reads = 0;
  std::uint64_t writes = 0;
  std::uint64_t watches = 0;
  std::uint64_t retries = 0;
  /// Calls that failed, by kind.
  std::uint64_t unavailable = 0;
  std::uint64_t overloaded = 0;
  std::uint64_t outcome_unknown = 0;
  std::uint64_t malformed = 0;
  /// Calls that waited for, or were refused by, the node's own rate limit.
  std::uint64_t rate_limited = 0;

  friend bool operator==(const StoreCounters&, const StoreCounters&) = default;
};

/// Calls to a store over HTTP, whatever its paths and bodies: bounded in time,
/// rate-limited, repeated with backoff while they surely had no effect.
///
/// Errors: kPlatformUnavailable and kPlatformOverloaded when the request surely
/// had no effect, kOutcomeUnknown when a change may have taken effect. Used
/// from one io_context thread; must outlive its calls.
class StoreTransport {
 public:
  struct Options {
    /// Tried in turn; at least one.
    std::vector<IpEndpoint> servers;
    /// Bounds one attempt; a watch adds the time that it waits.
    Duration attempt_timeout = seconds(2);
    std::uint32_t max_attempts = 3;
    BackoffOptions backoff{.initial = milliseconds(50), .max = seconds(2)};
    /// The node's own share of the platform's budget.
    TokenBucket::Options rate{.rate_per_second = 50, .burst = 100};
    /// A call that would wait longer for the rate limit is refused.
    Duration max_rate_wait = seconds(1);
    std::uint64_t max_answer_bytes = std::uint64_t{16} << 20U;
    std::uint64_t seed = 0;
  };

  /// Whether a call that was sent may have changed the store.
  enum class Effect { kNone, kChange };

  StoreTransport(asio::any_io_executor executor, Options options);

  /// Sends the request and returns an answer below status 500 other than 429.
  asio::awaitable<HttpResponse> Call(HttpRequest request,
                                     Duration timeout,
                                     Effect effect);

  const StoreCounters& counters() const { return m_counters; }
  StoreCounters& counters() { return m_counters; }

  /// Whether the last call that ended got an answer.
  bool reachable() const { return m_reachable; }

 private:
  asio::awaitable<HttpResponse> Attempt(HttpRequest request,
                                        Duration timeout,
                                        Effect effect);
  asio::awaitable<void> Sleep(Duration duration);
  asio::awaitable<void> WaitForRate();
  void Count(const Error& error);

  asio::any_io_executor m_executor;
  Options m_options;
  std::vector<std::unique_ptr<HttpClient>> m_clients;
  std::size_t m_next_client = 0;
  TokenBucket m_rate;
  Rng m_rng;
  StoreCounters m_counters;
  bool m_reachable = false;
};

}  // namespace banyantrail
