#include "banyantrail/config/release_digest.h"

#include <algorithm>
#include <cstdint>
#include <unordered_map>
#include <utility>

#include "banyantrail/core/digest.h"
#include "banyantrail/core/errors.h"

namespace banyantrail {
namespace {

constexpr unsigned kHashBits = 64;
/// JSON syntax around each object in a stored chunk.
constexpr std::size_t kEntryOverheadBytes = 8;

struct HashedObject {
  std::uint64_t hash = 0;
  const ObjectTexts::value_type* entry = nullptr;

  std::size_t Bytes() const {
    return entry->first.size() + entry->second.size() + kEntryOverheadBytes;
  }
};

using HashedObjects = std::vector<HashedObject>;

std::size_t TotalBytes(const HashedObjects& objects) {
  std::size_t total = 0;
  for (const HashedObject& object : objects) {
    total += object.Bytes();
  }
  return total;
}

ReleaseChunk MakeChunk(const HashedObjects& objects) {
  ReleaseChunk chunk;
  for (const HashedObject& object : objects) {
    chunk.objects.insert(*object.entry);
  }
  chunk.digest = DigestOf(chunk.objects);
  return chunk;
}

/// Splits by the bits of the hash, most significant first, like a binary trie:
/// whether a branch is split depends only on the objects in it.
void SplitBranch(const HashedObjects& objects,
                 unsigned bit,
                 ChunkOptions options,
                 std::vector<ReleaseChunk>& chunks) {
  if (objects.empty()) {
    return;
  }
  const bool fits = objects.size() == 1 || bit == kHashBits ||
                    TotalBytes(objects) <= options.max_bytes;
  if (fits) {
    chunks.push_back(MakeChunk(objects));
    return;
  }
  HashedObjects zeros;
  HashedObjects ones;
  for (const HashedObject& object : objects) {
    const bool is_one = (object.hash >> (kHashBits - 1 - bit) & 1) != 0;
    (is_one ? ones : zeros).push_back(object);
  }
  SplitBranch(zeros, bit + 1, options, chunks);
  SplitBranch(ones, bit + 1, options, chunks);
}

Error DigestMismatch(const std::string& what) {
  return Error(
      {.kind = ErrorKind::kDigestMismatch,
       .message = what + " does not match its digest",
       .remedy = "fetch it again, from another peer if the error repeats"});
}

}  // namespace

std::string DigestOf(const ObjectTexts& objects) {
  // The length prefixes make the concatenation unambiguous.
  std::string text;
  for (const auto& [key, json] : objects) {
    text += std::to_string(key.size()) + ":" + key;
    text += std::to_string(json.size()) + ":" + json;
  }
  return Sha256Hex(text);
}

std::string ObjectDigest(std::string_view canonical_json) {
  return Sha256Hex(canonical_json);
}

std::vector<ReleaseChunk> SplitIntoChunks(const ObjectTexts& objects,
                                          ChunkOptions options) {
  HashedObjects hashed;
  for (const auto& entry : objects) {
    hashed.push_back({.hash = Hash64(entry.first), .entry = &entry});
  }
  std::vector<ReleaseChunk> chunks;
  SplitBranch(hashed, 0, options, chunks);
  return chunks;
}

void VerifyChunk(const ReleaseChunk& chunk) {
  if (DigestOf(chunk.objects) != chunk.digest) {
    throw DigestMismatch("chunk " + chunk.digest);
  }
}

ObjectTexts JoinChunks(const std::vector<std::string>& chunk_digests,
                       const std::vector<ReleaseChunk>& chunks,
                       const std::string& release_digest) {
  std::unordered_map<std::string, const ReleaseChunk*> by_digest;
  for (const ReleaseChunk& chunk : chunks) {
    by_digest.emplace(chunk.digest, &chunk);
  }
  ObjectTexts objects;
  for (const std::string& digest : chunk_digests) {
    const auto found = by_digest.find(digest);
    if (found == by_digest.end()) {
      throw Error({.kind = ErrorKind::kNotFound,
                   .message = "chunk " + digest + " is missing",
                   .remedy = "fetch it from the platform or a peer"});
    }
    VerifyChunk(*found->second);
    objects.insert(found->second->objects.begin(),
                   found->second->objects.end());
  }
  if (DigestOf(objects) != release_digest) {
    throw DigestMismatch("release " + release_digest);
  }
  return objects;
}

}  // namespace banyantrail
