#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace banyantrail::standins {

/// An object as the platform keeps it.
struct StoredObject {
  std::string key;
  std::uint64_t version = 0;
  /// Deleted objects are kept without a value, so that watches see them go.
  bool deleted = false;
  /// JSON text.
  std::string value;

  friend bool operator==(const StoredObject&, const StoredObject&) = default;
};

/// What became of a write.
enum class WriteStatus { kDone, kVersionMismatch, kNotFound, kTooLarge };

/// The outcome of a write. `version` is the new version, or for a mismatch the
/// object's present one (0 when absent).
struct WriteResult {
  WriteStatus status = WriteStatus::kDone;
  std::uint64_t version = 0;

  friend bool operator==(const WriteResult&, const WriteResult&) = default;
};

/// The platform's objects under string keys. Each successful write takes the
/// next version of the whole store.
class ObjectStore {
 public:
  struct Options {
    std::size_t max_value_bytes = std::size_t{1} << 20U;
  };

  ObjectStore() = default;
  explicit ObjectStore(Options options) : m_options(options) {}

  /// The live object, or nothing.
  std::optional<StoredObject> Get(const std::string& key) const;

  /// Stores a value; with `if_match` only over that version (0: absent).
  WriteResult Put(const std::string& key,
                  std::string value,
                  std::optional<std::uint64_t> if_match = {});

  /// Removes an object; with `if_match` only at that version.
  WriteResult Delete(const std::string& key,
                     std::optional<std::uint64_t> if_match = {});

  /// Live objects under a prefix, sorted by key.
  std::vector<StoredObject> List(std::string_view prefix) const;

  /// Objects under a prefix, deleted ones too, with versions above `after`, in
  /// the order of their versions.
  std::vector<StoredObject> ChangesAfter(std::string_view prefix,
                                         std::uint64_t after) const;

  /// The version of the latest write.
  std::uint64_t version() const { return m_version; }

 private:
  std::uint64_t LiveVersion(const std::string& key) const;

  Options m_options;
  std::uint64_t m_version = 0;
  std::map<std::string, StoredObject> m_objects;
};

/// Whether a key holds only letters, digits and "/._-", and is not empty.
bool IsValidKey(std::string_view key);

}  // namespace banyantrail::standins
