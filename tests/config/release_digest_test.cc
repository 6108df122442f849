#include "banyantrail/config/release_digest.h"

#include <CppUTest/TestHarness.h>

#include <rapidcheck.h>
#include <algorithm>
#include <optional>
#include <string>

#include "banyantrail/core/errors.h"

using banyantrail::ChunkOptions;
using banyantrail::DigestOf;
using banyantrail::Error;
using banyantrail::ErrorKind;
using banyantrail::JoinChunks;
using banyantrail::ObjectTexts;
using banyantrail::ReleaseChunk;
using banyantrail::SplitIntoChunks;

namespace {

constexpr ChunkOptions kSmallChunks{.max_bytes = 400};

std::vector<std::string> DigestsOf(const std::vector<ReleaseChunk>& chunks) {
  std::vector<std::string> digests;
  digests.reserve(chunks.size());
  for (const ReleaseChunk& chunk : chunks) {
    digests.push_back(chunk.digest);
  }
  return digests;
}

ObjectTexts ArbitraryObjects() {
  ObjectTexts objects;
  const int count = *rc::gen::inRange(1, 80);
  for (int i = 0; i < count; ++i) {
    objects["service/s" + std::to_string(*rc::gen::inRange(0, 1000))] =
        *rc::gen::arbitrary<std::string>();
  }
  return objects;
}

std::optional<ErrorKind> JoinError(const std::vector<std::string>& digests,
                                   const std::vector<ReleaseChunk>& chunks,
                                   const std::string& digest) {
  try {
    JoinChunks(digests, chunks, digest);
  } catch (const Error& error) {
    return error.kind();
  }
  return std::nullopt;
}

ObjectTexts ManyObjects() {
  ObjectTexts objects;
  for (int i = 0; i < 500; ++i) {
    objects["service/s" + std::to_string(i)] = std::string(40, 'x');
  }
  return objects;
}

}  // namespace

TEST_GROUP(ReleaseDigest){};

TEST(ReleaseDigest, DistinguishesKeysFromTexts) {
  CHECK(DigestOf({{"a", "bc"}}) != DigestOf({{"ab", "c"}}));
  CHECK(DigestOf({}) != DigestOf({{"", ""}}));
}

TEST(ReleaseDigest, JoinRestoresSplitObjects) {
  CHECK(rc::check([] {
    const ObjectTexts objects = ArbitraryObjects();
    const auto chunks = SplitIntoChunks(objects, kSmallChunks);
    RC_ASSERT(JoinChunks(DigestsOf(chunks), chunks, DigestOf(objects)) ==
              objects);
  }));
}

TEST(ReleaseDigest, JoinDetectsEachCorruption) {
  CHECK(rc::check([] {
    const ObjectTexts objects = ArbitraryObjects();
    const auto chunks = SplitIntoChunks(objects, kSmallChunks);
    const std::string digest = DigestOf(objects);
    const std::size_t corrupted_index =
        *rc::gen::inRange<std::size_t>(0, chunks.size());

    auto altered = chunks;
    altered[corrupted_index].objects.begin()->second += "x";
    RC_ASSERT(JoinError(DigestsOf(chunks), altered, digest) ==
              ErrorKind::kDigestMismatch);

    auto truncated = chunks;
    auto& truncated_objects = truncated[corrupted_index].objects;
    truncated_objects.erase(truncated_objects.begin());
    RC_ASSERT(JoinError(DigestsOf(chunks), truncated, digest) ==
              ErrorKind::kDigestMismatch);

    auto missing = chunks;
    missing.erase(missing.begin() +
                  static_cast<std::ptrdiff_t>(corrupted_index));
    RC_ASSERT(JoinError(DigestsOf(chunks), missing, digest) ==
              ErrorKind::kNotFound);
    RC_ASSERT(JoinError(DigestsOf(missing), missing, digest) ==
              ErrorKind::kDigestMismatch);
  }));
}

TEST(ReleaseDigest, ErrorNamesTheCorruptedChunk) {
  auto chunks = SplitIntoChunks(ManyObjects(), kSmallChunks);
  const auto digests = DigestsOf(chunks);
  chunks[3].objects.begin()->second += "x";
  try {
    JoinChunks(digests, chunks, DigestOf(ManyObjects()));
    FAIL("the corruption was not detected");
  } catch (const Error& error) {
    STRCMP_CONTAINS(digests[3].c_str(), error.what());
  }
}

TEST(ReleaseDigest, KeepsChunksUnderTheLimit) {
  for (const ReleaseChunk& chunk :
       SplitIntoChunks(ManyObjects(), kSmallChunks)) {
    std::size_t bytes = 0;
    for (const auto& [key, text] : chunk.objects) {
      bytes += key.size() + text.size();
    }
    CHECK(bytes <= kSmallChunks.max_bytes);
  }
}

TEST(ReleaseDigest, ChangeOfOneObjectAltersOneChunk) {
  ObjectTexts objects = ManyObjects();
  const auto before = DigestsOf(SplitIntoChunks(objects, kSmallChunks));
  objects["service/s77"] = std::string(40, 'y');
  const auto after = DigestsOf(SplitIntoChunks(objects, kSmallChunks));
  const auto altered = std::ranges::count_if(after, [&](const auto& digest) {
    return std::ranges::find(before, digest) == before.end();
  });
  LONGS_EQUAL(1, altered);
  CHECK(after.size() > 50);
}

TEST(ReleaseDigest, NewObjectAltersFewChunks) {
  ObjectTexts objects = ManyObjects();
  const auto before = DigestsOf(SplitIntoChunks(objects, kSmallChunks));
  objects["service/new"] = std::string(40, 'y');
  const auto after = DigestsOf(SplitIntoChunks(objects, kSmallChunks));
  const auto altered = std::ranges::count_if(after, [&](const auto& digest) {
    return std::ranges::find(before, digest) == before.end();
  });
  CHECK(altered <= 2);
}
