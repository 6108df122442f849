#include "banyantrail/config/host_name.h"

#include <CppUTest/TestHarness.h>

using banyantrail::NormalizedHost;

TEST_GROUP(HostName){};

TEST(HostName, IsComparedWithoutCaseAndPort) {
  STRCMP_EQUAL("hulo84.example", NormalizedHost("Hulo84.EXAMPLE:80").c_str());
  STRCMP_EQUAL("hulo84.example", NormalizedHost("hulo84.example").c_str());
  STRCMP_EQUAL("", NormalizedHost("").c_str());
}

TEST(HostName, KeepsAnIpv6Address) {
  STRCMP_EQUAL("[fd00::1]", NormalizedHost("[FD00::1]:8440").c_str());
  STRCMP_EQUAL("[fd00::1]", NormalizedHost("[fd00::1]").c_str());
  STRCMP_EQUAL("[fd00", NormalizedHost("[fd00").c_str());
}
