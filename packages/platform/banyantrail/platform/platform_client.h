#pragma once

#include <cstdint>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

#include "banyantrail/config/object_store.h"
#include "banyantrail/core/backoff.h"
#include "banyantrail/core/clock.h"
#include "banyantrail/core/ip_endpoint.h"
#include "banyantrail/core/random.h"
#include "banyantrail/net/http_client.h"
#include "banyantrail/platform/token_bucket.h"

namespace banyantrail {

/// The objects under a prefix, sorted by key.
struct ListResult {
  /// The newest version of the whole store.
  std::uint64_t version = 0;
  std::vector<StoredObject> objects;

  friend bool operator==(const ListResult&, const ListResult&) = default;
};

/// A change of an object that a watch waited for.
struct WatchEvent {
  StoredObject object;
  bool deleted = false;

  friend bool operator==(const WatchEvent&, const WatchEvent&) = default;
};

struct WatchResult {
  /// The newest version of the whole store, maybe newer than the events.
  std::uint64_t version = 0;
  std::vector<WatchEvent> events;

  friend bool operator==(const WatchResult&, const WatchResult&) = default;
};

enum class DeleteStatus { kDeleted, kAbsent, kVersionMismatch };

/// Counts since the start, for the metrics.
struct PlatformCounters {
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

  friend bool operator==(const PlatformCounters&,
                         const PlatformCounters&) = default;
};

/// Client of the platform's object API, docs/PROTOCOLS.md. Used from one
/// io_context thread; must outlive its calls. Models AsyncObjectStore.
///
/// Every call is bounded in time and tries the platform's addresses in turn.
/// Reads are repeated with backoff. A write is repeated only while it surely
/// had no effect. Errors: kPlatformUnavailable and kPlatformOverloaded when the
/// request surely had no effect, kOutcomeUnknown when a write may have had one,
/// kMalformedMessage when the answer, key or value has the wrong form.
class PlatformClient {
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

  PlatformClient(asio::any_io_executor executor, Options options);

  /// The object, or nothing when it is absent.
  asio::awaitable<std::optional<StoredObject>> Get(std::string key);

  /// Writes the object; with an expected version only if it has that version,
  /// 0 for an object that must not exist.
  asio::awaitable<PutResult> Put(std::string key,
                                 nlohmann::json value,
                                 std::optional<std::uint64_t> expected_version);

  asio::awaitable<DeleteStatus> Delete(
      std::string key,
      std::optional<std::uint64_t> expected_version);

  asio::awaitable<ListResult> List(std::string prefix);

  /// Waits up to `wait` for a change under the prefix after a version.
  asio::awaitable<WatchResult> Watch(std::string prefix,
                                     std::uint64_t after,
                                     milliseconds wait);

  const PlatformCounters& counters() const { return m_counters; }

  /// Whether the last call that ended got an answer.
  bool reachable() const { return m_reachable; }

 private:
  asio::awaitable<HttpResponse> Read(std::string target, Duration timeout);
  asio::awaitable<HttpResponse> Write(HttpRequest request);
  asio::awaitable<HttpResponse> Call(HttpRequest request,
                                     Duration timeout,
                                     bool idempotent);
  asio::awaitable<HttpResponse> Attempt(HttpRequest request,
                                        Duration timeout,
                                        bool idempotent);
  asio::awaitable<void> Sleep(Duration duration);
  asio::awaitable<void> WaitForRate();
  void Count(const Error& error);

  asio::any_io_executor m_executor;
  Options m_options;
  std::vector<std::unique_ptr<HttpClient>> m_clients;
  std::size_t m_next_client = 0;
  TokenBucket m_rate;
  Rng m_rng;
  PlatformCounters m_counters;
  bool m_reachable = false;
};

}  // namespace banyantrail
