#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

#include "banyantrail/config/object_store.h"
#include "banyantrail/core/clock.h"
#include "banyantrail/store/store_transport.h"

namespace banyantrail {

/// The objects under a prefix, sorted by key.
struct ListResult {
  /// The current version of the whole store.
  std::uint64_t version = 0;
  std::vector<StoredObject> objects;

  friend bool operator==(const ListResult&, const ListResult&) = default;
};

/// A change to an object, as returned by a watch.
struct WatchEvent {
  StoredObject object;
  bool deleted = false;

  friend bool operator==(const WatchEvent&, const WatchEvent&) = default;
};

struct WatchResult {
  /// The current version of the whole store; may be newer than the events.
  std::uint64_t version = 0;
  std::vector<WatchEvent> events;

  friend bool operator==(const WatchResult&, const WatchResult&) = default;
};

enum class DeleteStatus { kDeleted, kAbsent, kVersionMismatch };

/// Client of the platform's object API, docs/PROTOCOLS.md. Not thread-safe: use
/// it from one io_context thread. Must outlive its calls. Models
/// AsyncObjectStore.
///
/// Every call is bounded in time; each attempt goes to the next address of the
/// platform. Reads are retried with backoff, writes only after failures that
/// prove that the write had no effect. Throws Error with kPlatformUnavailable
/// or kPlatformOverloaded when the request had no effect, kOutcomeUnknown when
/// a write may have had one, and kMalformedMessage when the response, key or
/// value is invalid.
class StoreClient {
 public:
  using Options = StoreTransport::Options;

  StoreClient(asio::any_io_executor executor, Options options);

  /// Returns the object, or nullopt when it does not exist.
  asio::awaitable<std::optional<StoredObject>> Get(std::string key);

  /// Writes the object. With `expected_version`, writes only if the object has
  /// that version; 0 means that it must not exist.
  asio::awaitable<PutResult> Put(std::string key,
                                 nlohmann::json value,
                                 std::optional<std::uint64_t> expected_version);

  asio::awaitable<DeleteStatus> Delete(
      std::string key,
      std::optional<std::uint64_t> expected_version);

  asio::awaitable<ListResult> List(std::string prefix);

  /// Returns the changes under the prefix since version `after`; waits up to
  /// `wait` when there are none yet.
  asio::awaitable<WatchResult> Watch(std::string prefix,
                                     std::uint64_t after,
                                     milliseconds wait);

  const StoreCounters& counters() const { return m_transport.counters(); }

  /// Whether the last completed call got a response or failed with
  /// kPlatformOverloaded.
  bool reachable() const { return m_transport.reachable(); }

 private:
  asio::awaitable<HttpResponse> Read(std::string target, Duration timeout);
  asio::awaitable<HttpResponse> Write(HttpRequest request);

  Options m_options;
  StoreTransport m_transport;
};

}  // namespace banyantrail
