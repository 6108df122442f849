#pragma once

#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

#include "banyantrail/config/change.h"
#include "banyantrail/config/release.h"
#include "banyantrail/config/release_digest.h"
#include "banyantrail/core/ids.h"

/// Keys and values under release/ in the platform's store.
namespace banyantrail {

/// Number of latest change ids kept in a head, so that a resent change is
/// recognized.
inline constexpr std::size_t kMaxRecentChanges = 128;

/// The head of the newest release. Written only by compare-and-swap on its
/// version.
inline constexpr std::string_view kHeadKey = "release/head";
/// Followed by a revision number: the archived head of that revision.
inline constexpr std::string_view kRevisionKeyPrefix = "release/revision/";
/// Followed by a digest: the chunk with that digest.
inline constexpr std::string_view kChunkKeyPrefix = "release/chunk/";

std::string RevisionKey(ReleaseNumber revision);
std::string ChunkKey(const std::string& digest);

/// An accepted change and the revision that it created.
struct RecentChange {
  ChangeId change;
  ReleaseNumber revision = 0;

  friend bool operator==(const RecentChange&, const RecentChange&) = default;
};

/// Metadata of one release: the digests of its content and the change that
/// created it.
struct ReleaseHead {
  ReleaseNumber revision = 0;
  /// DigestOf(objects) of the release.
  std::string digest;
  /// Digest of the previous revision; empty at revision 1.
  std::string parent;
  /// Digests of the chunks that hold the objects.
  std::vector<std::string> chunks;
  ChangeId change;
  std::string author;
  /// Wall-clock time of the change, ISO 8601 in UTC. Informational.
  std::string time;
  std::string summary;
  /// Oldest first; the last one is `change`.
  std::vector<RecentChange> recent_changes;

  friend bool operator==(const ReleaseHead&, const ReleaseHead&) = default;
};

nlohmann::json ToJson(const ReleaseHead& head);

/// Throws Error{kMalformedMessage} listing every fault.
ReleaseHead ParseReleaseHead(const nlohmann::json& json);

nlohmann::json ToJson(const ReleaseChunk& chunk);

/// Parses the chunk stored under `digest`. Throws Error{kMalformedMessage} if
/// the JSON has the wrong structure, Error{kDigestMismatch} if the content does
/// not match the digest.
ReleaseChunk ParseReleaseChunk(const nlohmann::json& json,
                               const std::string& digest);

/// The revision that a change created, or nullopt if the change is not among
/// the recent changes of this head.
std::optional<ReleaseNumber> FindChange(const ReleaseHead& head,
                                        const ChangeId& change);

/// The head of the revision after `head`, whose content is `objects`, split
/// into `chunks`, as a result of `proposal`. For the first revision, `head` is
/// default-constructed.
ReleaseHead NextHead(const ReleaseHead& head,
                     const ChangeProposal& proposal,
                     const ObjectTexts& objects,
                     const std::vector<ReleaseChunk>& chunks,
                     std::string time);

}  // namespace banyantrail
