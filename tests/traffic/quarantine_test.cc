#include "banyantrail/traffic/quarantine.h"

#include <numeric>
#include <vector>

#include <CppUTest/TestHarness.h>

using banyantrail::CrashReportMessage;
using banyantrail::NodeId;
using banyantrail::Quarantine;
using banyantrail::QuarantineOptions;
using banyantrail::RequestFingerprint;
using banyantrail::seconds;
using banyantrail::TimePoint;
using Verdict = banyantrail::Quarantine::Verdict;

namespace {

constexpr RequestFingerprint kCrashing = 1;
constexpr RequestFingerprint kHarmless = 2;
constexpr RequestFingerprint kOther = 3;

TimePoint At(seconds since_start) {
  return TimePoint{} + seconds(1000) + since_start;
}

CrashReportMessage Report(std::uint64_t sequence,
                          std::vector<RequestFingerprint> suspects) {
  return {.node = NodeId("n1"),
          .incarnation = 1,
          .sequence = sequence,
          .suspects = std::move(suspects)};
}

/// Sends the crashing request, together with harmless ones, to one node after
/// another. Returns the number of backend servers that crashed.
int CountCrashesAcrossNodes(const QuarantineOptions& options) {
  constexpr int kNodes = 10;
  std::vector<Quarantine> nodes(kNodes, Quarantine(options));
  int crashes = 0;
  for (int node = 0; node < kNodes; ++node) {
    const TimePoint now = At(seconds(node));
    if (nodes[node].Check(kCrashing, now) == Verdict::kRefuse) {
      continue;
    }
    ++crashes;
    const auto suspects =
        nodes[node].OnCrash({kCrashing, kHarmless, kOther}, now);
    for (int other = 0; other < kNodes; ++other) {
      if (other != node) {
        nodes[other].OnReport(Report(crashes, suspects), now);
      }
    }
  }
  return crashes;
}

}  // namespace

TEST_GROUP(Quarantine){};

TEST(Quarantine, ACrashingRequestCrashesAtMostTwoBackendServers) {
  LONGS_EQUAL(2, CountCrashesAcrossNodes({}));
  LONGS_EQUAL(10, CountCrashesAcrossNodes({.enabled = false}));
}

TEST(Quarantine, SuspectsRunSeriallyUntilTheyComplete) {
  Quarantine quarantine;
  quarantine.OnCrash({kCrashing, kHarmless}, At(seconds(0)));
  CHECK(quarantine.Check(kHarmless, At(seconds(1))) == Verdict::kRunSerially);
  quarantine.OnCompleted(kHarmless, At(seconds(1)));
  CHECK(quarantine.Check(kHarmless, At(seconds(1))) == Verdict::kAllow);
}

TEST(Quarantine, RequestsRunningBesideASuspectAreNotSuspected) {
  Quarantine quarantine;
  quarantine.OnCrash({kCrashing, kHarmless}, At(seconds(0)));
  quarantine.OnCompleted(kHarmless, At(seconds(0)));
  const auto suspects =
      quarantine.OnCrash({kCrashing, kHarmless, kOther}, At(seconds(1)));
  CHECK(suspects == std::vector<RequestFingerprint>{kCrashing});
  CHECK(quarantine.Check(kCrashing, At(seconds(2))) == Verdict::kRefuse);
  CHECK(quarantine.Check(kHarmless, At(seconds(2))) == Verdict::kAllow);
}

TEST(Quarantine, RefusalExpiresBeforeTheSuspicion) {
  Quarantine quarantine;
  quarantine.OnCrash({kCrashing}, At(seconds(0)));
  quarantine.OnCrash({kCrashing}, At(seconds(1)));
  CHECK(quarantine.Check(kCrashing, At(seconds(300))) == Verdict::kRefuse);
  CHECK(quarantine.Check(kCrashing, At(seconds(302))) == Verdict::kRunSerially);
  CHECK(quarantine.Check(kCrashing, At(seconds(362))) == Verdict::kAllow);
}

TEST(Quarantine,
     AHarmlessRequestResentBesideACrashingOneIsClearedWhenItCompletes) {
  Quarantine quarantine;
  quarantine.OnReport(Report(1, {kCrashing, kHarmless}), At(seconds(0)));
  quarantine.OnReport(Report(2, {kCrashing, kHarmless, kOther}),
                      At(seconds(0)));
  CHECK(quarantine.Check(kHarmless, At(seconds(1))) == Verdict::kRefuse);
  // It completes at a backend server where it was already in flight.
  quarantine.OnCompleted(kHarmless, At(seconds(1)));
  CHECK(quarantine.Check(kHarmless, At(seconds(1))) == Verdict::kAllow);
  CHECK(quarantine.Check(kCrashing, At(seconds(1))) == Verdict::kRefuse);
}

// The same honest requests are in flight whenever a server crashes by itself.
TEST(Quarantine, ARequestThatCompletedLatelyIsNoSuspect) {
  Quarantine quarantine;
  quarantine.OnCompleted(kHarmless, At(seconds(0)));
  quarantine.OnCrash({kHarmless}, At(seconds(9)));
  quarantine.OnReport(Report(1, {kHarmless}), At(seconds(9)));
  CHECK(quarantine.Check(kHarmless, At(seconds(9))) == Verdict::kAllow);
  quarantine.OnCrash({kHarmless}, At(seconds(10)));
  quarantine.OnCrash({kHarmless}, At(seconds(11)));
  CHECK(quarantine.Check(kHarmless, At(seconds(11))) == Verdict::kRefuse);
}

TEST(Quarantine, ACrashWithTooManyInFlightIsIgnored) {
  Quarantine quarantine({.max_suspects = 2});
  CHECK(quarantine.OnCrash({1, 2, 3}, At(seconds(0))).empty());
  quarantine.OnReport(Report(1, {1, 2, 3}), At(seconds(0)));
  LONGS_EQUAL(0, quarantine.size());
}

TEST(Quarantine, RememberedRequestsAreBounded) {
  Quarantine quarantine({.max_remembered_requests = 100});
  for (RequestFingerprint i = 0; i < 1000; ++i) {
    quarantine.OnReport(Report(i, {i}), At(seconds(0)));
  }
  LONGS_EQUAL(100, quarantine.size());
}
