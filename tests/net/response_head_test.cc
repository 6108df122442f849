#include "banyantrail/net/response_head.h"

#include <CppUTest/TestHarness.h>

#include <boost/beast/http/error.hpp>

namespace http = boost::beast::http;
using banyantrail::CheckResponseHead;

TEST_GROUP(ResponseHead){static http::response_header<> Head(unsigned status){
    http::response_header<> head;
head.result(status);
return head;
}
}
;

TEST(ResponseHead, AcceptsEachClassOfStatus) {
  for (const unsigned status : {100, 199, 200, 299, 304, 451, 520, 599}) {
    CHECK_FALSE(CheckResponseHead(Head(status)));
  }
}

TEST(ResponseHead, RefusesStatusesOutsideTheClasses) {
  for (const unsigned status : {0, 1, 99, 600, 999}) {
    CHECK(CheckResponseHead(Head(status)) == http::error::bad_status);
  }
}

TEST(ResponseHead, AcceptsPlainAndChunkedBodies) {
  for (const char* coding :
       {"chunked", "Chunked", "identity", "", "chunked,"}) {
    http::response_header<> head = Head(200);
    head.set(http::field::transfer_encoding, coding);
    CHECK_FALSE(CheckResponseHead(head));
  }
}

TEST(ResponseHead, RefusesOtherTransferCodings) {
  for (const char* coding :
       {"gzip", "gzip, chunked", "chunked, gzip", "chunked, chunked",
        "chunked, identity", "xchunked", "chunked gzip", "gzip;q=1"}) {
    http::response_header<> head = Head(200);
    head.set(http::field::transfer_encoding, coding);
    CHECK(CheckResponseHead(head) == http::error::bad_transfer_encoding);
  }
}

TEST(ResponseHead, RefusesATransferCodingInAFieldOfItsOwn) {
  http::response_header<> head = Head(200);
  head.insert(http::field::transfer_encoding, "gzip");
  head.insert(http::field::transfer_encoding, "chunked");
  CHECK(CheckResponseHead(head) == http::error::bad_transfer_encoding);
}
