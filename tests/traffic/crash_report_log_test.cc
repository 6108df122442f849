#include "banyantrail/traffic/crash_report_log.h"

#include <vector>

#include <CppUTest/TestHarness.h>

using banyantrail::CrashReportLog;
using banyantrail::CrashReportMessage;
using banyantrail::Incarnation;
using banyantrail::NodeId;
using banyantrail::seconds;
using banyantrail::TimePoint;

namespace {

TimePoint At(int second) {
  return TimePoint{} + seconds(1000) + seconds(second);
}

CrashReportMessage Report(std::uint64_t sequence, Incarnation incarnation = 1) {
  return {.node = NodeId("n1"),
          .incarnation = incarnation,
          .sequence = sequence,
          .suspects = {sequence}};
}

}  // namespace

TEST_GROUP(CrashReportLog){};

TEST(CrashReportLog, DuplicatesAreKnown) {
  CrashReportLog log;
  CHECK(log.Add(Report(1), At(0)));
  CHECK(!log.Add(Report(1), At(1)));
  CHECK(log.Add(Report(1, 2), At(1)));
}

TEST(CrashReportLog, RepeatsTheNewestFirst) {
  CrashReportLog log({.max_suspects = 2});
  for (std::uint64_t sequence = 1; sequence <= 3; ++sequence) {
    log.Add(Report(sequence), At(0));
  }
  const std::vector<CrashReportMessage> recent = log.Recent(At(1));
  LONGS_EQUAL(2, recent.size());
  LONGS_EQUAL(3, recent[0].sequence);
  LONGS_EQUAL(2, recent[1].sequence);
}

// A report that comes back from a node that started later would be repeated
// without end.
TEST(CrashReportLog, AnOldReportIsNeitherRepeatedNorNew) {
  CrashReportLog log;
  log.Add(Report(1), At(0));
  CHECK(log.HasRecent(At(60)));
  CHECK(!log.HasRecent(At(61)));
  CHECK(log.Recent(At(61)).empty());
  CHECK(!log.Add(Report(1), At(62)));
  CHECK(!log.HasRecent(At(62)));
}

TEST(CrashReportLog, IsBounded) {
  CrashReportLog log({.max_reports = 2, .max_remembered = 3});
  for (std::uint64_t sequence = 1; sequence <= 4; ++sequence) {
    log.Add(Report(sequence), At(0));
  }
  LONGS_EQUAL(2, log.Recent(At(0)).size());
  CHECK(!log.Add(Report(2), At(0)));
  CHECK(log.Add(Report(1), At(0)));
}
