#include "banyantrail/config/publish_outcome.h"

#include <CppUTest/TestHarness.h>

#include <vector>

#include "banyantrail/config/release_json.h"
#include "banyantrail/core/errors.h"
#include "config/sample_release.h"

using banyantrail::AnswerOf;
using banyantrail::Error;
using banyantrail::ParseChangeAnswer;
using banyantrail::ParseRelease;
using banyantrail::PublishOutcome;
using banyantrail::PublishStatus;

TEST_GROUP(PublishOutcome){};

TEST(PublishOutcome, EveryOutcomeSurvivesTheAnswer) {
  const std::vector<PublishOutcome> outcomes = {
      {.status = PublishStatus::kAccepted, .revision = 7},
      {.status = PublishStatus::kConflict,
       .conflicts = {{.object = "service/a", .detail = "was changed"}},
       .message = "m",
       .remedy = "r"},
      {.status = PublishStatus::kFaults,
       .faults = {{.place = "p", .message = "is wrong", .remedy = "mend"}},
       .message = "m",
       .remedy = "r"},
      {.status = PublishStatus::kNotRun, .message = "m", .remedy = "r"},
      {.status = PublishStatus::kOutcomeUnknown,
       .message = "m",
       .remedy = "r"}};
  for (const PublishOutcome& outcome : outcomes) {
    CHECK(ParseChangeAnswer(AnswerOf(outcome)) == outcome);
  }
}

TEST(PublishOutcome, ForeignAnswerNeverPassesForNotRunAfterTheFact) {
  CHECK(ParseChangeAnswer({.http_status = 502, .body = nullptr}).status ==
        PublishStatus::kOutcomeUnknown);
  CHECK(ParseChangeAnswer({.http_status = 413, .body = nullptr}).status ==
        PublishStatus::kNotRun);
}

TEST(PublishOutcome, ReleaseSurvivesItsJson) {
  const auto release = banyantrail::testing::SampleRelease();
  CHECK(ParseRelease(ToJson(release)) == release);
  CHECK(ParseRelease(ToJson(banyantrail::Release{})) == banyantrail::Release{});
}

TEST(PublishOutcome, ReleaseWithAlteredObjectIsRefused) {
  auto json = ToJson(banyantrail::testing::SampleRelease());
  json["objects"]["rank/orders"]["share_percent"] = 61;
  CHECK_THROWS(Error, ParseRelease(json));
}
