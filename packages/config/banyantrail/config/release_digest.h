#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

#include "banyantrail/config/release.h"

namespace banyantrail {

/// Digest of a whole configuration. Equal exactly if the objects are equal.
std::string DigestOf(const ObjectTexts& objects);

/// Digest of one object's canonical JSON.
std::string ObjectDigest(std::string_view canonical_json);

/// Part of a release, named by the digest of its content.
struct ReleaseChunk {
  /// DigestOf(objects).
  std::string digest;
  ObjectTexts objects;

  friend bool operator==(const ReleaseChunk&, const ReleaseChunk&) = default;
};

struct ChunkOptions {
  /// A chunk of more bytes of text is split unless it holds one object only.
  /// Far below the platform's limit of 1 MB, because a change of one object
  /// writes one chunk anew and readers fetch it.
  std::size_t max_bytes = std::size_t{64} << 10U;
};

/// Splits a configuration by hashes of the objects' keys. The same objects
/// always give the same chunks, and a change of one object alters one chunk,
/// or a few when a chunk passes the size limit.
std::vector<ReleaseChunk> SplitIntoChunks(const ObjectTexts& objects,
                                          ChunkOptions options = {});

/// Throws Error{kDigestMismatch} if the chunk's content is not what its digest
/// says, as after truncation or corruption.
void VerifyChunk(const ReleaseChunk& chunk);

/// Puts a configuration together from its chunks and verifies it. Throws
/// Error{kNotFound} if a chunk is missing, Error{kDigestMismatch} if a chunk
/// or the whole has the wrong content.
ObjectTexts JoinChunks(const std::vector<std::string>& chunk_digests,
                       const std::vector<ReleaseChunk>& chunks,
                       const std::string& release_digest);

}  // namespace banyantrail
