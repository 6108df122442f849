#pragma once

#include <algorithm>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "banyantrail/config/object_store.h"
#include "banyantrail/config/release_digest.h"
#include "banyantrail/config/release_head.h"
#include "banyantrail/core/errors.h"

/// Reads releases from the platform's store. All functions propagate errors of
/// the store, and throw Error{kMalformedMessage}, Error{kDigestMismatch} or
/// Error{kNotFound} if the stored values are invalid or incomplete.
namespace banyantrail {

/// A head and the store's version of the object that contains it.
struct VersionedHead {
  std::uint64_t version = 0;
  ReleaseHead head;

  friend bool operator==(const VersionedHead&, const VersionedHead&) = default;
};

/// An entry of the history of accepted changes.
struct HistoryEntry {
  ReleaseNumber revision = 0;
  ChangeId change;
  std::string author;
  std::string time;
  std::string summary;

  friend bool operator==(const HistoryEntry&, const HistoryEntry&) = default;
};

namespace detail {

template <AsyncObjectStore Store>
boost::asio::awaitable<ReleaseChunk> LoadChunk(Store& store,
                                               std::string digest) {
  const std::string key = ChunkKey(digest);
  const std::optional<StoredObject> stored = co_await store.Get(key);
  if (!stored) {
    throw Error({.kind = ErrorKind::kNotFound,
                 .message = "the platform's store does not contain " + key,
                 .remedy = "apply the configuration again from its directory"});
  }
  co_return ParseReleaseChunk(stored->value, digest);
}

inline std::vector<ReleaseChunk> ChunksOf(const Release* release) {
  return release == nullptr ? std::vector<ReleaseChunk>{}
                            : SplitIntoChunks(release->objects);
}

inline HistoryEntry ToHistoryEntry(const ReleaseHead& head) {
  return {.revision = head.revision,
          .change = head.change,
          .author = head.author,
          .time = head.time,
          .summary = head.summary};
}

}  // namespace detail

/// The head of the newest release, or nullopt before the first change.
template <AsyncObjectStore Store>
boost::asio::awaitable<std::optional<VersionedHead>> LoadHead(Store& store) {
  const std::string key(kHeadKey);
  const std::optional<StoredObject> stored = co_await store.Get(key);
  if (!stored) {
    co_return std::nullopt;
  }
  VersionedHead head{.version = stored->version,
                     .head = ParseReleaseHead(stored->value)};
  co_return head;
}

/// Loads and verifies the release that `head` describes. Chunks that are also
/// part of `known_release`, a release that the caller already has, are not read
/// from the store. `known_release` may be null.
template <AsyncObjectStore Store>
boost::asio::awaitable<Release> LoadRelease(
    Store& store,
    ReleaseHead head,
    std::shared_ptr<const Release> known_release = nullptr) {
  std::vector<ReleaseChunk> chunks = detail::ChunksOf(known_release.get());
  for (const std::string& digest : head.chunks) {
    const bool is_known = std::ranges::any_of(
        chunks, [&](const auto& chunk) { return chunk.digest == digest; });
    if (!is_known) {
      ReleaseChunk chunk = co_await detail::LoadChunk(store, digest);
      chunks.push_back(std::move(chunk));
    }
  }
  Release release{.revision = {.number = head.revision},
                  .digest = head.digest,
                  .change = head.change,
                  .objects = JoinChunks(head.chunks, chunks, head.digest)};
  co_return release;
}

/// The head of the given revision, or nullopt if the store does not have it.
template <AsyncObjectStore Store>
boost::asio::awaitable<std::optional<ReleaseHead>> LoadHeadAt(
    Store& store,
    ReleaseNumber revision) {
  const std::optional<VersionedHead> newest = co_await LoadHead(store);
  if (newest && newest->head.revision == revision) {
    co_return newest->head;
  }
  const std::string key = RevisionKey(revision);
  const std::optional<StoredObject> stored = co_await store.Get(key);
  if (!stored) {
    co_return std::nullopt;
  }
  co_return ParseReleaseHead(stored->value);
}

/// The latest `limit` accepted changes, newest first. Takes one read per
/// change.
template <AsyncObjectStore Store>
boost::asio::awaitable<std::vector<HistoryEntry>> LoadHistory(
    Store& store,
    std::size_t limit) {
  std::vector<HistoryEntry> history;
  const std::optional<VersionedHead> newest = co_await LoadHead(store);
  if (!newest || limit == 0) {
    co_return history;
  }
  history.push_back(detail::ToHistoryEntry(newest->head));
  for (ReleaseNumber revision = newest->head.revision - 1;
       revision > 0 && history.size() < limit; --revision) {
    const std::string key = RevisionKey(revision);
    const std::optional<StoredObject> stored = co_await store.Get(key);
    if (!stored) {
      break;
    }
    history.push_back(detail::ToHistoryEntry(ParseReleaseHead(stored->value)));
  }
  co_return history;
}

}  // namespace banyantrail
