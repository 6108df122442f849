#include "standins/object_store.h"

#include <algorithm>
#include <cctype>
#include <utility>

namespace banyantrail::standins {

std::optional<StoredObject> ObjectStore::Get(const std::string& key) const {
  const auto found = m_objects.find(key);
  if (found == m_objects.end() || found->second.deleted) {
    return std::nullopt;
  }
  return found->second;
}

std::uint64_t ObjectStore::LiveVersion(const std::string& key) const {
  const auto object = Get(key);
  return object ? object->version : 0;
}

WriteResult ObjectStore::Put(const std::string& key,
                             std::string value,
                             std::optional<std::uint64_t> if_match) {
  if (value.size() > m_options.max_value_bytes) {
    return {.status = WriteStatus::kTooLarge};
  }
  const std::uint64_t current = LiveVersion(key);
  if (if_match && *if_match != current) {
    return {.status = WriteStatus::kVersionMismatch, .version = current};
  }
  ++m_version;
  m_objects[key] = {
      .key = key, .version = m_version, .value = std::move(value)};
  return {.version = m_version};
}

WriteResult ObjectStore::Delete(const std::string& key,
                                std::optional<std::uint64_t> if_match) {
  const std::uint64_t current = LiveVersion(key);
  if (if_match && *if_match != current) {
    return {.status = WriteStatus::kVersionMismatch, .version = current};
  }
  if (current == 0) {
    return {.status = WriteStatus::kNotFound};
  }
  ++m_version;
  m_objects[key] = {.key = key, .version = m_version, .deleted = true};
  return {.version = m_version};
}

std::vector<StoredObject> ObjectStore::List(std::string_view prefix) const {
  std::vector<StoredObject> found;
  for (const StoredObject& object : ChangesAfter(prefix, 0)) {
    if (!object.deleted) {
      found.push_back(object);
    }
  }
  std::sort(found.begin(), found.end(),
            [](const StoredObject& a, const StoredObject& b) {
              return a.key < b.key;
            });
  return found;
}

std::vector<StoredObject> ObjectStore::ChangesAfter(std::string_view prefix,
                                                    std::uint64_t after) const {
  std::vector<StoredObject> found;
  auto next = m_objects.lower_bound(std::string(prefix));
  while (next != m_objects.end() && next->first.starts_with(prefix)) {
    if (next->second.version > after) {
      found.push_back(next->second);
    }
    ++next;
  }
  std::sort(found.begin(), found.end(),
            [](const StoredObject& a, const StoredObject& b) {
              return a.version < b.version;
            });
  return found;
}

bool IsValidKey(std::string_view key) {
  const auto is_allowed = [](unsigned char c) {
    return std::isalnum(c) != 0 ||
           std::string_view("/._-").find(static_cast<char>(c)) !=
               std::string_view::npos;
  };
  return !key.empty() && std::all_of(key.begin(), key.end(), is_allowed);
}

}  // namespace banyantrail::standins
