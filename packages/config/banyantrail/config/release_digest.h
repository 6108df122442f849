#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

#include "banyantrail/config/release.h"

namespace banyantrail {

/// Digest of a whole configuration; equal if and only if the objects are equal.
std::string DigestOf(const ObjectTexts& objects);

/// Digest of one object's canonical JSON.
std::string ObjectDigest(std::string_view canonical_json);

/// Part of a release, addressed by the digest of its content.
struct ReleaseChunk {
  /// DigestOf(objects).
  std::string digest;
  ObjectTexts objects;

  friend bool operator==(const ReleaseChunk&, const ReleaseChunk&) = default;
};

struct ChunkOptions {
  /// Larger chunks are split unless they hold a single object. Far below the
  /// platform's limit of 1 MB per value, because a change of one object
  /// rewrites its whole chunk, which readers then fetch.
  std::size_t max_bytes = std::size_t{64} << 10U;
};

/// Splits a configuration by the hashes of the object keys. Deterministic:
/// equal objects give equal chunks, and a change of one object alters one
/// chunk, or a few if it moves a chunk across the size limit.
std::vector<ReleaseChunk> SplitIntoChunks(const ObjectTexts& objects,
                                          ChunkOptions options = {});

/// Throws Error{kDigestMismatch} if the chunk's content does not match its
/// digest, for example after truncation or corruption.
void VerifyChunk(const ReleaseChunk& chunk);

/// Reassembles a configuration from its chunks and verifies it. Throws
/// Error{kNotFound} if a chunk is missing, Error{kDigestMismatch} if a chunk or
/// the result does not match its digest.
ObjectTexts JoinChunks(const std::vector<std::string>& chunk_digests,
                       const std::vector<ReleaseChunk>& chunks,
                       const std::string& release_digest);

}  // namespace banyantrail
