#include "banyantrail/proxy/chunk_limits.h"

#include <CppUTest/TestHarness.h>

#include <string>

using banyantrail::IsTrailerAllowed;
using banyantrail::kMaxTrailerBytes;
using banyantrail::kMaxTrailerFields;

namespace {

std::string Fields(std::size_t count) {
  std::string text;
  for (std::size_t i = 0; i < count; ++i) {
    text += "a:\r\n";
  }
  return text;
}

}  // namespace

TEST_GROUP(ChunkLimits){};

TEST(ChunkLimits, TrailerIsLimitedByCountAndBytes) {
  CHECK(IsTrailerAllowed("\r\n"));
  CHECK(IsTrailerAllowed(Fields(kMaxTrailerFields) + "\r\n"));
  CHECK_FALSE(IsTrailerAllowed(Fields(kMaxTrailerFields + 1) + "\r\n"));
  CHECK_FALSE(IsTrailerAllowed("a: " + std::string(kMaxTrailerBytes, 'x') +
                               "\r\n\r\n"));
}

// The next request on the connection follows the trailer section in the buffer.
TEST(ChunkLimits, BytesBehindTheTrailerDoNotCount) {
  CHECK(IsTrailerAllowed("a: b\r\n\r\n" + Fields(2 * kMaxTrailerFields) +
                         std::string(2 * kMaxTrailerBytes, 'x')));
}
