#pragma once

#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

#include "banyantrail/config/change.h"
#include "banyantrail/config/release.h"
#include "banyantrail/config/release_digest.h"
#include "banyantrail/core/ids.h"

/// Values under release/ in the platform's store, and their keys.
namespace banyantrail {

/// Changes that a head remembers, so that a change sent again is recognised.
inline constexpr std::size_t kMaxRecentChanges = 128;

/// The newest release. Written only by conditional update.
inline constexpr std::string_view kHeadKey = "release/head";
/// Followed by a revision: the head as it was at that revision.
inline constexpr std::string_view kRevisionKeyPrefix = "release/revision/";
/// Followed by a digest: a chunk of that content.
inline constexpr std::string_view kChunkKeyPrefix = "release/chunk/";

std::string RevisionKey(Revision revision);
std::string ChunkKey(const std::string& digest);

/// An accepted change and the revision that it made.
struct RecentChange {
  ChangeId change;
  Revision revision = 0;

  friend bool operator==(const RecentChange&, const RecentChange&) = default;
};

/// Describes one release: what it holds, and who made it.
struct ReleaseHead {
  Revision revision = 0;
  /// DigestOf the objects.
  std::string digest;
  /// The digest of the revision before; empty at revision 1.
  std::string parent;
  /// Digests of the chunks that hold the objects.
  std::vector<std::string> chunks;
  ChangeId change;
  std::string author;
  /// Wall-clock time of the change, ISO 8601 in UTC. For people only.
  std::string time;
  std::string summary;
  /// Oldest first, this head's own change last.
  std::vector<RecentChange> recent_changes;

  friend bool operator==(const ReleaseHead&, const ReleaseHead&) = default;
};

nlohmann::json ToJson(const ReleaseHead& head);

/// Throws Error{kMalformedMessage} naming every fault.
ReleaseHead ParseReleaseHead(const nlohmann::json& json);

nlohmann::json ToJson(const ReleaseChunk& chunk);

/// Reads the chunk stored under `digest`. Throws Error{kMalformedMessage} for
/// a wrong shape, Error{kDigestMismatch} for other content.
ReleaseChunk ParseReleaseChunk(const nlohmann::json& json,
                               const std::string& digest);

/// The revision that a change made, if this head remembers it.
std::optional<Revision> FindChange(const ReleaseHead& head,
                                   const ChangeId& change);

/// The head that follows `head` (a default one if there was none yet) when
/// `proposal` turns its objects into `objects`, split into `chunks`.
ReleaseHead NextHead(const ReleaseHead& head,
                     const ChangeProposal& proposal,
                     const ObjectTexts& objects,
                     const std::vector<ReleaseChunk>& chunks,
                     std::string time);

}  // namespace banyantrail
