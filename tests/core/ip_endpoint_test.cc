#include "banyantrail/core/ip_endpoint.h"

#include <CppUTest/TestHarness.h>

#include "banyantrail/core/errors.h"

using banyantrail::Error;
using banyantrail::IpEndpoint;
using banyantrail::ParseIpEndpoint;

TEST_GROUP(IpEndpoint){};

TEST(IpEndpoint, ParsesBothAddressFamilies) {
  CHECK(ParseIpEndpoint("127.0.0.1:8080") == (IpEndpoint{"127.0.0.1", 8080}));
  CHECK(ParseIpEndpoint("[::1]:9") == (IpEndpoint{"::1", 9}));
}

TEST(IpEndpoint, RefusesHostNamesAndInvalidPorts) {
  CHECK_THROWS(Error, ParseIpEndpoint("localhost:80"));
  CHECK_THROWS(Error, ParseIpEndpoint("127.0.0.1:70000"));
  CHECK_THROWS(Error, ParseIpEndpoint("127.0.0.1"));
}

TEST(IpEndpoint, RoundTripsThroughString) {
  STRCMP_EQUAL("[::1]:9", ToString(ParseIpEndpoint("[::1]:9")).c_str());
}
