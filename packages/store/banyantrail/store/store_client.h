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

/// Client of the platform's object API, docs/PROTOCOLS.md. Used from one
/// io_context thread; must outlive its calls. Models AsyncObjectStore.
///
/// Every call is bounded in time and tries the platform's addresses in turn.
/// Reads are repeated with backoff. A write is repeated only while it surely
/// had no effect. Errors: kPlatformUnavailable and kPlatformOverloaded when the
/// request surely had no effect, kOutcomeUnknown when a write may have had one,
/// kMalformedMessage when the answer, key or value has the wrong form.
class StoreClient {
 public:
  using Options = StoreTransport::Options;

  StoreClient(asio::any_io_executor executor, Options options);

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

  const StoreCounters& counters() const { return m_transport.counters(); }

  /// Whether the last call that ended got an answer.
  bool reachable() const { return m_transport.reachable(); }

 private:
  asio::awaitable<HttpResponse> Read(std::string target, Duration timeout);
  asio::awaitable<HttpResponse> Write(HttpRequest request);

  Options m_options;
  StoreTransport m_transport;
};

}  // namespace banyantrail
