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

/// An object of the platform's store as it was read.
struct StoredObject {
  std::string key;
  /// Grows over the whole store with each write; never 0.
  std::uint64_t version = 0;
  nlohmann::json value;

  friend bool operator==(const StoredObject&, const StoredObject&) = default;
};

/// What became of a write that the store answered.
enum class PutStatus { kWritten, kVersionMismatch };

/// The store's answer to a write.
struct PutResult {
  PutStatus status = PutStatus::kWritten;
  /// The object's version now: the new one when it was written, else the one
  /// that stood in the way, 0 when the object is absent.
  std::uint64_t version = 0;

  friend bool operator==(const PutResult&, const PutResult&) = default;
};

/// What the publisher of releases needs from the platform's store.
///
/// `Get(key)` returns the object, or nothing when it is absent.
/// `Put(key, value, expected_version)` writes it; with an expected version
/// only if the object has that version, 0 for an object that must not exist.
///
/// Errors of both: Error{kPlatformUnavailable} or Error{kPlatformOverloaded}
/// when the request surely had no effect. `Put` also throws
/// Error{kOutcomeUnknown} when the write may or may not have taken effect.
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
