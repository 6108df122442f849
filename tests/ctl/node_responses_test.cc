#include "banyantrail/ctl/node_responses.h"

#include <CppUTest/TestHarness.h>

#include "banyantrail/core/errors.h"

using banyantrail::DomainId;
using banyantrail::Error;
using banyantrail::milliseconds;
using banyantrail::ctl::ParseFleetStatus;
using banyantrail::ctl::ParseMembers;
using banyantrail::ctl::ShownConfiguration;

TEST_GROUP(NodeResponses){};

TEST(NodeResponses, ParsesStatusWithReportAges) {
  const auto fleet = ParseFleetStatus(nlohmann::json::parse(R"({
      "revision":4,"platform":"reachable","domains":[{"domain":"north",
      "relay":"a","time":"2026-12-04T10:00:00Z","revisions":[{"revision":4,"nodes":["a"]}],
      "refused":[],"silent":[],"labels":{"a":{}},"age_ms":250}]})"));
  CHECK(fleet.platform_reachable);
  CHECK(fleet.domains.at(0).status.domain == DomainId("north"));
  CHECK(fleet.domains.at(0).age == milliseconds(250));
}

TEST(NodeResponses, ParsesVersionsAndWhatTheStoreShows) {
  const auto fleet = ParseFleetStatus(nlohmann::json::parse(R"({
      "revision":4,"version":"0000001a","era":1,"platform":"unreachable",
      "store":{"revision":3,"version":"00000019","era":2},
      "store_is_behind":true})"));
  STRCMP_EQUAL("0000001a", fleet.version.c_str());
  LONGS_EQUAL(1, fleet.era);
  CHECK(fleet.store_is_behind);
  const ShownConfiguration shown{
      .revision = 3, .version = "00000019", .era = 2};
  CHECK(fleet.store == shown);
}

TEST(NodeResponses, ParsesStatusOfAnEarlierBuildWithoutVersions) {
  const auto fleet = ParseFleetStatus(
      nlohmann::json::parse(R"({"revision":4,"platform":"unreachable"})"));
  STRCMP_EQUAL("", fleet.version.c_str());
  LONGS_EQUAL(0, fleet.era);
  CHECK(!fleet.store);
  CHECK_FALSE(fleet.store_is_behind);
}

TEST(NodeResponses, ParsesUnknownStore) {
  const auto fleet = ParseFleetStatus(nlohmann::json::parse(
      R"({"revision":4,"platform":"unreachable","store":null})"));
  CHECK(!fleet.store);
}

TEST(NodeResponses, RejectsStoreThatIsNoObject) {
  CHECK_THROWS(Error,
               ParseFleetStatus(nlohmann::json::parse(
                   R"({"revision":4,"platform":"reachable","store":7})")));
}

TEST(NodeResponses, RejectsStatusWithoutAge) {
  CHECK_THROWS(Error, ParseFleetStatus(nlohmann::json::parse(R"({
      "revision":4,"platform":"reachable",
      "domains":[{"domain":"north","relay":"a","time":"2026-12-04T10:00:00Z"}]})")));
}

TEST(NodeResponses, RejectsResponseThatIsNotJson) {
  CHECK_THROWS(Error, ParseFleetStatus(nullptr));
  CHECK_THROWS(Error, ParseMembers(nullptr));
}

TEST(NodeResponses, ParsesMembersAndIgnoresUnknownFields) {
  const auto members = ParseMembers(nlohmann::json::parse(R"({"node":"a",
      "members":[{"node":"b","domain":"north","state":"alive","new":1,
      "labels":{"tier":"gold"},"backend_servers":[{},{}]}]})"));
  LONGS_EQUAL(1, members.size());
  LONGS_EQUAL(2, members[0].backend_servers);
  STRCMP_EQUAL("gold", members[0].labels.at("tier").c_str());
}
