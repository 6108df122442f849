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
