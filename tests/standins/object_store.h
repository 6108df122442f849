#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace banyantrail::standins {

/// An object in the platform's store.
struct StoredObject {
  std::string key;
  std::uint64_t version = 0;
  /// Deleted objects are kept as tombstones without a value, so that watches
  /// report their deletion.
  bool deleted = false;
  /// JSON text.
  std::string value;

  friend bool operator==(const StoredObject&, const StoredObject&) = default;
};

/// Status of a write.
enum class WriteStatus { kDone, kVersionMismatch, kNotFound, kTooLarge };

/// Result of a write. `version` is the new version, or after a version mismatch
/// the current version of the object (0 if it does not exist).
struct WriteResult {
  WriteStatus status = WriteStatus::kDone;
  std::uint64_t version = 0;

  friend bool operator==(const WriteResult&, const WriteResult&) = default;
};

/// The platform's key-value store. Versions are assigned from one sequence for
/// the whole store, one to each successful write.
class ObjectStore {
 public:
  struct Options {
    std::size_t max_value_bytes = std::size_t{1} << 20U;
  };

  ObjectStore() = default;
  explicit ObjectStore(Options options) : m_options(options) {}

  /// The object, or nothing if it does not exist or is deleted.
  std::optional<StoredObject> Get(const std::string& key) const;

  /// Stores a value. With `if_match`, only if the object has that version; 0
  /// means that it does not exist.
  WriteResult Put(const std::string& key,
                  std::string value,
                  std::optional<std::uint64_t> if_match = {});

  /// Deletes an object. With `if_match`, only if it has that version.
  WriteResult Delete(const std::string& key,
                     std::optional<std::uint64_t> if_match = {});

  /// Objects under a prefix without the deleted ones, sorted by key.
  std::vector<StoredObject> List(std::string_view prefix) const;

  /// Objects under a prefix, including deleted ones, with a version above
  /// `after`, sorted by version.
  std::vector<StoredObject> ChangesAfter(std::string_view prefix,
                                         std::uint64_t after) const;

  /// The version of the latest write.
  std::uint64_t version() const { return m_version; }

 private:
  /// The version of an object; 0 if it does not exist or is deleted.
  std::uint64_t LiveVersion(const std::string& key) const;

  Options m_options;
  std::uint64_t m_version = 0;
  std::map<std::string, StoredObject> m_objects;
};

/// Whether a key is not empty and consists of letters, digits and "/._-".
bool IsValidKey(std::string_view key);

}  // namespace banyantrail::standins
