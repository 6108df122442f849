#include "banyantrail/proxy/message_head.h"

#include <CppUTest/TestHarness.h>

namespace http = boost::beast::http;
using banyantrail::ClassifyResponse;
using banyantrail::EdgeDialect;
using banyantrail::ResponseVerdict;

namespace {

constexpr unsigned kUnregisteredSuccess = 299;
const EdgeDialect kDialect{.response_stamp = "Proof",
                           .not_run = "Not-Run",
                           .not_run_value = ""};

ResponseVerdict Classify(const http::response_header<>& head) {
  return ClassifyResponse(head, "", kDialect);
}

}  // namespace

TEST_GROUP(MessageHead) {
  http::response_header<> head;

  void setup() override {
    head.result(kUnregisteredSuccess);
  }
};

TEST(MessageHead, UnregisteredSuccessNeedsAStamp) {
  CHECK(Classify(head) == ResponseVerdict::kMalformed);
  head.set("Proof", "p");
  CHECK(Classify(head) == ResponseVerdict::kMatching);
}

// The request ran, whatever else the response says.
TEST(MessageHead, UnregisteredSuccessIsNoRefusal) {
  head.set("Proof", "p");
  head.set("Not-Run", "1");
  CHECK(Classify(head) == ResponseVerdict::kMatching);
}
