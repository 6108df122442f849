#include "banyantrail/core/digest.h"

#include <CppUTest/TestHarness.h>

TEST_GROUP(Digest){};

TEST(Digest, Sha256MatchesPublishedTestVector) {
  STRCMP_EQUAL(
      "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad",
      banyantrail::Sha256Hex("abc").c_str());
}

TEST(Digest, SeedChangesHash64) {
  CHECK(banyantrail::Hash64("node-1", 1) != banyantrail::Hash64("node-1", 2));
}
