#pragma once

// Boost.Asio 1.74 uses std::exchange without including it.
#include <utility>

#include <boost/asio/awaitable.hpp>
#include <concepts>
#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>

namespace banyantrail {

/// An object read from the platform's store.
struct StoredObject {
  std::string key;
  /// Taken from a counter that increases with every write to the store; never
  /// 0.
  std::uint64_t version = 0;
  nlohmann::json value;

  friend bool operator==(const StoredObject&, const StoredObject&) = default;
};

/// Result of a write that the store answered.
enum class PutStatus { kWritten, kVersionMismatch };

/// The store's response to a write.
struct PutResult {
  PutStatus status = PutStatus::kWritten;
  /// The object's current version: the new one if it was written, otherwise the
  /// one that did not match; 0 if the object does not exist.
  std::uint64_t version = 0;

  friend bool operator==(const PutResult&, const PutResult&) = default;
};

/// The operations of the platform's store that loading and publishing releases
/// need.
///
/// `Get(key)` returns the object, or nullopt if it does not exist.
/// `Put(key, value, expected_version)` writes it; given an expected version,
/// only if the object has that version. Version 0 means that the object must
/// not exist.
///
/// Both throw Error{kPlatformUnavailable} or Error{kPlatformOverloaded} if the
/// request certainly had no effect. `Put` also throws Error{kOutcomeUnknown} if
/// the write may or may not have taken effect.
template <typename T>
concept AsyncObjectStore = requires(T& store,
                                    std::string key,
                                    nlohmann::json value,
                                    std::optional<std::uint64_t> expected) {
  {
    store.Get(key)
    } -> std::same_as<boost::asio::awaitable<std::optional<StoredObject>>>;
  {
    store.Put(key, value, expected)
    } -> std::same_as<boost::asio::awaitable<PutResult>>;
};

}  // namespace banyantrail
