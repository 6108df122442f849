#include "banyantrail/traffic/request_fingerprints.h"

#include <algorithm>
#include <string>
#include <string_view>
#include <vector>

#include <CppUTest/TestHarness.h>

using banyantrail::RequestFingerprint;
using banyantrail::RequestFingerprints;
using banyantrail::RequestIdentity;
using banyantrail::ServiceName;
using banyantrail::TargetOf;

namespace {

RequestIdentity Order(std::string_view key = {}) {
  return {.service = ServiceName("order-desk"),
          .method = "POST",
          .path = "/orders",
          .idempotency_key = key};
}

RequestFingerprints Sent(std::string_view body,
                         std::size_t part_size,
                         std::string_view key = {}) {
  RequestFingerprints fingerprints(Order(key));
  for (std::size_t begin = 0; begin < body.size(); begin += part_size) {
    fingerprints.Append(body.substr(begin, part_size));
  }
  fingerprints.EndBody();
  return fingerprints;
}

bool HaveCommon(const RequestFingerprints& one,
                const RequestFingerprints& other) {
  const std::vector<RequestFingerprint> of_one = one.All();
  const std::vector<RequestFingerprint> of_other = other.All();
  return std::ranges::find_first_of(of_one, of_other) != of_one.end();
}

}  // namespace

TEST_GROUP(RequestFingerprints){};

TEST(RequestFingerprints, DoNotDependOnTheParts) {
  for (const std::size_t size : {1U, 10U, 500U, 1024U, 1025U, 100'000U}) {
    const std::string body(size, 'x');
    const auto whole = Sent(body, size);
    for (const std::size_t part : {1U, 7U, 1024U}) {
      CHECK(whole.All() == Sent(body, part).All());
    }
    CHECK(whole.Strongest().has_value());
  }
}

TEST(RequestFingerprints, DoNotDependOnTheKeyOfARequestWithABody) {
  CHECK(Sent("order", 5, "k1").Strongest() ==
        Sent("order", 5, "k2").Strongest());
  CHECK(Sent("", 1, "k1").Strongest() != Sent("", 1, "k2").Strongest());
  CHECK(Sent("", 1, "k1").Strongest() != Sent("k1", 2).Strongest());
}

// A backend server may crash before the body has passed; what is compared of
// the next one is more than what had passed.
TEST(RequestFingerprints, RecogniseABodyOfWhichOnlyTheBeginningPassed) {
  const std::string body(5000, 'x');
  const RequestFingerprints whole = Sent(body, 100);
  for (const std::size_t passed : {16U, 100U, 1000U, 4000U}) {
    RequestFingerprints cut(Order());
    cut.Append(std::string_view(body).substr(0, passed));
    const std::vector<RequestFingerprint> all = whole.All();
    CHECK(std::ranges::count(all, *cut.Strongest()) == 1);
  }
}

TEST(RequestFingerprints, TooShortABeginningHasNone) {
  RequestFingerprints fingerprints(Order());
  CHECK(!fingerprints.Strongest());
  fingerprints.Append("15 bytes of it ");
  CHECK(!fingerprints.has_any());
  CHECK(fingerprints.All().empty());
  fingerprints.Append(".");
  CHECK(fingerprints.has_any());
  CHECK(fingerprints.needs_more());
}

TEST(RequestFingerprints, TellBodiesWithTheSameBeginningApart) {
  const std::string beginning(500, 'x');
  const RequestFingerprints one = Sent(beginning + "one", 503);
  const RequestFingerprints other = Sent(beginning + "other", 505);
  CHECK(one.Strongest() != other.Strongest());
  CHECK(HaveCommon(one, other));
  CHECK(one.target() == other.target());
  CHECK(TargetOf(*one.Strongest()) == one.target());
}

TEST(RequestFingerprints, TellOneThatEndsFromALongerOne) {
  const std::string body(1024, 'x');
  RequestFingerprints begun(Order());
  begun.Append(body);
  // Whether the body ends here decides which one it is.
  CHECK(begun.needs_more());
  CHECK(Sent(body, 1024).Strongest() != Sent(body + "y", 1025).Strongest());
}

TEST(RequestFingerprints, KeepNoMoreThanIsCompared) {
  RequestFingerprints fingerprints(Order());
  fingerprints.Append(std::string(100'000, 'x'));
  CHECK(!fingerprints.needs_more());
  RequestFingerprints hashed(Order());
  hashed.SetBodyHash("77");
  CHECK(!hashed.needs_more());
  LONGS_EQUAL(1, hashed.All().size());
}
