#include "banyantrail/distribution/startup_gate.h"

#include <CppUTest/TestHarness.h>

using banyantrail::ManualClock;
using banyantrail::milliseconds;
using banyantrail::NodeId;
using banyantrail::ServingState;
using banyantrail::StartupGate;

TEST_GROUP(StartupGate) {
  ManualClock clock;
  StartupGate gate{{.max_wait = milliseconds(1000), .min_peers = 2},
                   ManualClock().Now()};

  void Expect(ServingState state, banyantrail::Revision applied) {
    CHECK(gate.Update(applied, clock.Now()) == state);
  }
};

TEST(StartupGate, WaitsForEnoughPeers) {
  gate.OnPeerCount(5);
  gate.OnPeerRevision(NodeId("a"), 7);
  Expect(ServingState::kLearning, 7);
  gate.OnPeerRevision(NodeId("b"), 7);
  Expect(ServingState::kReady, 7);
}

TEST(StartupGate, WaitsForTheGreatestKnownRevision) {
  gate.OnPeerCount(5);
  gate.OnPeerRevision(NodeId("a"), 7);
  gate.OnPeerRevision(NodeId("b"), 9);
  Expect(ServingState::kLearning, 7);
  Expect(ServingState::kReady, 9);
}

TEST(StartupGate, WaitsForThePreviouslyAppliedRevision) {
  gate.OnPlatformHead(6);
  gate.OnPreviouslyApplied(8);
  Expect(ServingState::kLearning, 6);
  Expect(ServingState::kReady, 8);
}

TEST(StartupGate, IsDegradedAfterTheTimeLimit) {
  gate.OnPeerCount(5);
  gate.OnPreviouslyApplied(8);
  clock.Advance(milliseconds(1000));
  Expect(ServingState::kDegraded, 6);
  gate.OnPlatformHead(8);
  Expect(ServingState::kReady, 8);
}

TEST(StartupGate, StaysReadyWhenNewerRevisionsAppear) {
  gate.OnPlatformHead(6);
  Expect(ServingState::kReady, 6);
  gate.OnPlatformHead(7);
  Expect(ServingState::kReady, 6);
}
