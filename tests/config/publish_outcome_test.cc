#include "banyantrail/config/publish_outcome.h"

#include <CppUTest/TestHarness.h>

#include <vector>

#include "banyantrail/config/domain_status.h"
#include "banyantrail/config/release_json.h"
#include "banyantrail/core/errors.h"
#include "config/sample_release.h"

using banyantrail::DomainId;
using banyantrail::DomainStatus;
using banyantrail::Error;
using banyantrail::NodeId;
using banyantrail::ParseChangeResponse;
using banyantrail::ParseDomainStatus;
using banyantrail::ParseRelease;
using banyantrail::PublishOutcome;
using banyantrail::PublishStatus;
using banyantrail::ToChangeResponse;

TEST_GROUP(PublishOutcome){};

TEST(PublishOutcome, EveryOutcomeRoundTripsThroughTheResponse) {
  const std::vector<PublishOutcome> outcomes = {
      {.status = PublishStatus::kAccepted, .revision = 7},
      {.status = PublishStatus::kConflict,
       .conflicts = {{.object = "service/a", .detail = "was changed"}},
       .message = "m",
       .remedy = "r"},
      {.status = PublishStatus::kInvalid,
       .faults = {{.place = "p",
                   .message = "is wrong",
                   .remedy = "correct it"}},
       .message = "m",
       .remedy = "r"},
      {.status = PublishStatus::kNotRun, .message = "m", .remedy = "r"},
      {.status = PublishStatus::kOutcomeUnknown,
       .message = "m",
       .remedy = "r"}};
  for (const PublishOutcome& outcome : outcomes) {
    CHECK(ParseChangeResponse(ToChangeResponse(outcome)) == outcome);
  }
}

TEST(PublishOutcome, UnrecognizedResponseIsNotRunOnlyBelow500) {
  CHECK(ParseChangeResponse({.http_status = 502, .body = nullptr}).status ==
        PublishStatus::kOutcomeUnknown);
  CHECK(ParseChangeResponse({.http_status = 413, .body = nullptr}).status ==
        PublishStatus::kNotRun);
}

TEST(PublishOutcome, ReleaseRoundTripsThroughJson) {
  const auto release = banyantrail::testing::SampleRelease();
  CHECK(ParseRelease(ToJson(release)) == release);
  CHECK(ParseRelease(ToJson(banyantrail::Release{})) == banyantrail::Release{});
}

TEST(PublishOutcome, ReleaseWithAlteredObjectIsRejected) {
  auto json = ToJson(banyantrail::testing::SampleRelease());
  json["objects"]["rank/orders"]["share_percent"] = 61;
  CHECK_THROWS(Error, ParseRelease(json));
}

TEST(PublishOutcome, DomainStatusRoundTripsThroughJson) {
  const DomainStatus status{
      .domain = DomainId("north-1"),
      .relay = NodeId("a"),
      .time = "2026-12-04T10:00:00Z",
      .revisions = {{.revision = 3, .nodes = {NodeId("a"), NodeId("b")}}},
      .refused = {{.node = NodeId("b"), .revision = 4, .reason = "no rank"}},
      .silent = {{.node = NodeId("c"), .since = "2026-12-04T09:00:00Z"}},
      .labels = {{"a", {{"tier", "gold"}}}}};
  CHECK(ParseDomainStatus(ToJson(status)) == status);
  auto json = ToJson(status);
  json["silent"][0]["since"] = 5;
  CHECK_THROWS(Error, ParseDomainStatus(json));
}
