#include "banyantrail/proxy/header_rules.h"

#include <CppUTest/TestHarness.h>

#include "banyantrail/wire/mesh_headers.h"

namespace http = boost::beast::http;
using banyantrail::CheckRequestHead;
using banyantrail::FieldValue;
using banyantrail::InspectHead;
using banyantrail::NumberField;

TEST_GROUP(HeaderRules) {
  http::request_header<> head;

  void setup() override {
    head.method(http::verb::get);
    head.target("/a");
    head.version(11);
    head.set(http::field::host, "mesh");
  }

  bool Accepts(const char* raw = "GET /a HTTP/1.1\r\nHost: mesh\r\n\r\n") {
    return !CheckRequestHead(head, InspectHead(raw)).has_value();
  }
};

TEST(HeaderRules, AcceptsOrdinaryRequest) {
  CHECK(Accepts());
}

TEST(HeaderRules, RefusesFoldedLines) {
  CHECK_FALSE(Accepts("GET /a HTTP/1.1\r\nHost: mesh\r\nA: b\r\n c\r\n\r\n"));
}

TEST(HeaderRules, RefusesTransferEncodingOtherThanChunked) {
  head.set(http::field::transfer_encoding, "gzip, chunked");
  CHECK_FALSE(Accepts());
}

TEST(HeaderRules, RefusesMissingOrRepeatedHost) {
  head.insert(http::field::host, "other");
  CHECK_FALSE(Accepts());
  head.erase(http::field::host);
  CHECK_FALSE(Accepts());
}

TEST(HeaderRules, RefusesOldVersionsAndConnect) {
  head.version(10);
  CHECK_FALSE(Accepts());
  head.version(11);
  head.method(http::verb::connect);
  CHECK_FALSE(Accepts());
}

TEST(HeaderRules, StripsFieldsNamedInConnection) {
  head.set(http::field::connection, "close, X-Secret");
  head.set("X-Secret", "1");
  head.set(http::field::keep_alive, "timeout=5");
  banyantrail::StripHopByHopFields(head);
  LONGS_EQUAL(0, head.count("X-Secret"));
  LONGS_EQUAL(0, head.count(http::field::connection));
  LONGS_EQUAL(0, head.count(http::field::keep_alive));
}

TEST(HeaderRules, StripsInternalFieldsExceptDeadline) {
  head.set("X-Banyantrail-Priority", "0");
  head.set("X-Banyantrail-Deadline-Ms", "100");
  banyantrail::StripInternalFields(head, banyantrail::EdgeDialect{});
  CHECK(FieldValue(head, banyantrail::kPriorityHeader).empty());
  LONGS_EQUAL(100, *NumberField(head, banyantrail::kDeadlineHeader));
}

TEST(HeaderRules, RejectsInvalidAndOversizedNumbers) {
  head.set("n", "12x");
  CHECK_FALSE(NumberField(head, "n").has_value());
  head.set("n", "99999999999");
  CHECK_FALSE(NumberField(head, "n").has_value());
}
