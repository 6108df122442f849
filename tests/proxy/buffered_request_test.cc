#include "banyantrail/proxy/buffered_request.h"

#include <CppUTest/TestHarness.h>

#include <string>

using banyantrail::BufferedContent;
using banyantrail::BufferedRequest;
using banyantrail::ParseBufferedRequest;

namespace {

constexpr std::uint32_t kMaxHeaderBytes = 1024;
const std::string kGet = "GET /a HTTP/1.1\r\nHost: mesh\r\n\r\n";

BufferedContent ContentOf(const std::string& text) {
  return ParseBufferedRequest(text, kMaxHeaderBytes).content;
}

}  // namespace

TEST_GROUP(BufferedRequest){};

TEST(BufferedRequest, TakesTheFirstOfSeveralRequests) {
  const BufferedRequest first =
      ParseBufferedRequest(kGet + "GET /b HTTP/1.1\r\n", kMaxHeaderBytes);
  CHECK(first.content == BufferedContent::kRequest);
  LONGS_EQUAL(kGet.size(), first.text.bytes);
  STRCMP_EQUAL("/a", std::string(first.request.head().target()).c_str());
  CHECK_FALSE(first.request.has_unread_body());
}

TEST(BufferedRequest, IncompleteHeadNeedsMoreBytes) {
  CHECK(ContentOf("") == BufferedContent::kIncomplete);
  CHECK(ContentOf(kGet.substr(0, kGet.size() - 1)) ==
        BufferedContent::kIncomplete);
}

// Guards against a second interpretation of requests: whatever is not a plain
// small head must take the way of requests that are read one by one.
TEST(BufferedRequest, LeavesBodiesAndInvalidHeads) {
  const std::string start = "GET /a HTTP/1.1\r\nHost: mesh\r\n";
  for (const std::string field :
       {"Content-Length: 1", "Transfer-Encoding: chunked",
        "Expect: 100-continue", "Host: other", "Transfer-Encoding: gzip",
        " folded", "no colon"}) {
    CHECK_TEXT(ContentOf(start + field + "\r\n\r\n") == BufferedContent::kOther,
               field.c_str());
  }
  CHECK(ContentOf("GET /a HTTP/1.0\r\nHost: mesh\r\n\r\n") ==
        BufferedContent::kOther);
  CHECK(ContentOf("nonsense\r\n\r\n") == BufferedContent::kOther);
}

// Guards against a head without end that is read into memory.
TEST(BufferedRequest, LeavesLargeHeads) {
  const std::string start = "GET /a HTTP/1.1\r\nHost: mesh\r\nA: ";
  const std::string large(kMaxHeaderBytes, 'a');
  CHECK(ContentOf(start + large) == BufferedContent::kOther);
  CHECK(ContentOf(start + large + "\r\n\r\n") == BufferedContent::kOther);
}
