#include "banyantrail/distribution/status_summary.h"

#include <CppUTest/TestHarness.h>

#include "banyantrail/core/errors.h"

using banyantrail::DomainId;
using banyantrail::DomainStatus;
using banyantrail::Error;
using banyantrail::ManualClock;
using banyantrail::milliseconds;
using banyantrail::NodeId;
using banyantrail::ParseDomainStatus;
using banyantrail::seconds;
using banyantrail::StatusSummary;

TEST_GROUP(StatusSummary) {
  ManualClock clock;
  banyantrail::WallTime wall{seconds(1'000'000)};
  StatusSummary summary{{.domain = DomainId("east"), .relay = NodeId("a")}};

  void Report(const char* node, std::uint64_t applied,
              std::uint64_t refused = 0) {
    summary.OnReport({.node = NodeId(node),
                      .labels = {{"app", "catalogue"}},
                      .applied_revision = {.number = applied},
                      .refused_revision = {.number = refused},
                      .refusal_reason = refused > 0 ? "does not compile" : ""},
                     clock.Now());
  }

  void Advance(milliseconds by) {
    clock.Advance(by);
    wall += by;
  }

  DomainStatus Summarise() {
    return summary.Summarise(clock.Now(), wall);
  }
  bool IsWriteDue() {
    return summary.TakeDueStatus(clock.Now(), wall).has_value();
  }
};

TEST(StatusSummary, GroupsNodesByRevisionNewestFirst) {
  Report("a", 4);
  Report("b", 5);
  Report("c", 4, 5);
  const DomainStatus status = Summarise();
  LONGS_EQUAL(5, status.revisions.at(0).revision);
  LONGS_EQUAL(2, status.revisions.at(1).nodes.size());
  LONGS_EQUAL(5, status.refused.at(0).revision);
}

TEST(StatusSummary, ListsASilentNodeUnderNoRevision) {
  Report("a", 5);
  Report("b", 5);
  Advance(seconds(11));
  Report("a", 5);
  Advance(seconds(1));
  const DomainStatus status = Summarise();
  CHECK(status.revisions.at(0).nodes == std::vector<NodeId>{NodeId("a")});
  CHECK(status.silent.at(0).node == NodeId("b"));
  STRCMP_EQUAL("1970-01-12T13:46:40Z", status.silent.at(0).since.c_str());
  LONGS_EQUAL(0, status.labels.count("b"));
}

TEST(StatusSummary, AMemberThatNeverReportedIsSilent) {
  summary.OnMembers({NodeId("a"), NodeId("b")}, clock.Now());
  Report("a", 5);
  LONGS_EQUAL(1, Summarise().silent.size());
  summary.OnLeft(NodeId("b"));
  CHECK(Summarise().silent.empty());
}

TEST(StatusSummary, WritesAtMostOncePerIntervalWhileReportsChange) {
  int writes = 0;
  for (int step = 0; step < 200; ++step) {
    Report("a", static_cast<std::uint64_t>(step));
    writes += IsWriteDue() ? 1 : 0;
    Advance(milliseconds(100));
  }
  LONGS_EQUAL(10, writes);
}

TEST(StatusSummary, WritesAtTheIdleIntervalWhenNothingChanges) {
  int writes = 0;
  for (int step = 0; step < 300; ++step) {
    Report("a", 5);
    writes += IsWriteDue() ? 1 : 0;
    Advance(milliseconds(100));
  }
  LONGS_EQUAL(3, writes);
}

TEST(StatusSummary, AFailedWriteIsRetried) {
  Report("a", 5);
  CHECK(IsWriteDue());
  summary.OnWriteFailed();
  Advance(seconds(1));
  CHECK(!IsWriteDue());
  Advance(seconds(1));
  CHECK(IsWriteDue());
}

TEST(StatusSummary, RemovesSilentFormerMembers) {
  Report("a", 5);
  Report("gone", 5);
  Advance(std::chrono::minutes(10));
  Report("a", 5);
  CHECK(IsWriteDue());
  CHECK(Summarise().silent.empty());
}

TEST(StatusSummary, RoundTripsThroughJson) {
  Report("a", 5);
  Report("b", 4, 5);
  summary.OnMembers({NodeId("c")}, clock.Now());
  const DomainStatus status = Summarise();
  CHECK(ParseDomainStatus(ToJson(status)) == status);
}

TEST(StatusSummary, RejectsJsonWithAnInvalidOrUnknownField) {
  Report("a", 5);
  nlohmann::json wrong = ToJson(Summarise());
  wrong["revisions"][0]["revision"] = "5";
  CHECK_THROWS(Error, ParseDomainStatus(wrong));
  nlohmann::json unknown = ToJson(Summarise());
  unknown["colour"] = 1;
  CHECK_THROWS(Error, ParseDomainStatus(unknown));
  CHECK_THROWS(Error, ParseDomainStatus(nlohmann::json::array()));
}
