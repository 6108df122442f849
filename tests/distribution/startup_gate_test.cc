#include "banyantrail/distribution/startup_gate.h"
#include "support/revisions.h"

#include <CppUTest/TestHarness.h>

using banyantrail::ManualClock;
using banyantrail::milliseconds;
using banyantrail::NodeId;
using banyantrail::ServingState;
using banyantrail::StartupGate;
using banyantrail::testing::At;

TEST_GROUP(StartupGate) {
  ManualClock clock;
  StartupGate gate{{.max_wait = milliseconds(1000),
                    .min_peers = 2,
                    .peer_wait = milliseconds(100)},
                   ManualClock().Now()};

  void Expect(ServingState state, std::uint64_t applied) {
    CHECK(gate.Update(At(applied), clock.Now()) == state);
  }
};

TEST(StartupGate, WaitsForEnoughPeers) {
  gate.OnPeerCount(5);
  gate.OnPeerRevision(NodeId("a"), At(7));
  Expect(ServingState::kLearning, 7);
  gate.OnPeerRevision(NodeId("b"), At(7));
  Expect(ServingState::kReady, 7);
}

TEST(StartupGate, WaitsForTheGreatestKnownRevision) {
  gate.OnPeerCount(5);
  gate.OnPeerRevision(NodeId("a"), At(7));
  gate.OnPeerRevision(NodeId("b"), At(9));
  Expect(ServingState::kLearning, 7);
  Expect(ServingState::kReady, 9);
}

TEST(StartupGate, WaitsForThePreviouslyAppliedRevision) {
  gate.OnPlatformHead(At(6));
  clock.Advance(milliseconds(100));
  gate.OnPreviouslyApplied(At(8));
  Expect(ServingState::kLearning, 6);
  Expect(ServingState::kReady, 8);
}

TEST(StartupGate, IsDegradedAfterTheTimeLimit) {
  gate.OnPeerCount(5);
  gate.OnPreviouslyApplied(At(8));
  clock.Advance(milliseconds(1000));
  Expect(ServingState::kDegraded, 6);
  gate.OnPlatformHead(At(8));
  Expect(ServingState::kReady, 8);
}

TEST(StartupGate, StaysReadyWhenNewerRevisionsAppear) {
  gate.OnPlatformHead(At(6));
  clock.Advance(milliseconds(100));
  Expect(ServingState::kReady, 6);
  gate.OnPlatformHead(At(7));
  Expect(ServingState::kReady, 6);
}

// The platform has come back from an older copy than the peers hold.
TEST(StartupGate, ReadOfThePlatformWaitsForAPeer) {
  gate.OnPlatformHead(At(6));
  Expect(ServingState::kLearning, 6);
  clock.Advance(milliseconds(50));
  gate.OnPeerRevision(NodeId("a"), At(8));
  Expect(ServingState::kLearning, 6);
  clock.Advance(milliseconds(100));
  Expect(ServingState::kLearning, 6);
  Expect(ServingState::kReady, 8);
}

TEST(StartupGate, ReadOfThePlatformIsEnoughOnceAPeerHasAnswered) {
  gate.OnPlatformHead(At(6));
  gate.OnPeerRevision(NodeId("a"), At(6));
  Expect(ServingState::kReady, 6);
}

TEST(StartupGate, ReadOfThePlatformIsEnoughIfNoPeerAnswers) {
  gate.OnPlatformHead(At(6));
  Expect(ServingState::kLearning, 6);
  clock.Advance(milliseconds(100));
  Expect(ServingState::kReady, 6);
}
