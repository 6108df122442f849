#include "banyantrail/distribution/distribution_protocol.h"

#include <CppUTest/TestHarness.h>

#include "distribution/simulated_network.h"
#include "support/revisions.h"

using banyantrail::Duration;
using banyantrail::Fault;
using banyantrail::milliseconds;
using banyantrail::NodeId;
using banyantrail::PeerMessage;
using banyantrail::Release;
using banyantrail::ReleaseDeltaMessage;
using banyantrail::seconds;
using banyantrail::ServingState;
using banyantrail::testing::At;
using banyantrail::testing::MakeRelease;
using banyantrail::testing::SimulatedNetwork;

namespace {

/// Options without anti-entropy, so that only the tree delivers releases.
SimulatedNetwork::Options TreeOnly(std::size_t nodes) {
  SimulatedNetwork::Options options{.nodes_per_domain = nodes};
  options.protocol.arity = 3;
  // Nodes that are learning ask each other, which repairs what the tree loses.
  options.protocol.gate.peer_wait = Duration(0);
  return options;
}

SimulatedNetwork::Options WithAntiEntropy(std::size_t nodes) {
  SimulatedNetwork::Options options = TreeOnly(nodes);
  options.protocol.digest_interval = seconds(1);
  return options;
}

/// Kills every third node, sparing both relays.
void KillAThird(SimulatedNetwork& network) {
  for (std::size_t i = 2; i < network.nodes().size(); i += 3) {
    network.Kill(i);
  }
}

std::uint64_t WholeReleasesServed(SimulatedNetwork& network) {
  std::uint64_t whole = 0;
  for (const auto& node : network.nodes()) {
    whole += node.protocol->counters().whole_served;
  }
  return whole;
}

}  // namespace

TEST_GROUP(DistributionProtocol){};

TEST(DistributionProtocol, TheTreeReachesEveryNode) {
  SimulatedNetwork network(TreeOnly(40));
  network.Preload(MakeRelease(1));
  network.Publish(0, MakeRelease(2));
  network.RunFor(milliseconds(50));
  CHECK(network.Converged(MakeRelease(2)));
  for (const auto& node : network.nodes()) {
    CHECK(node.hops <= 4);
    LONGS_EQUAL(2, node.history.size());
  }
}

TEST(DistributionProtocol, TheSubtreesOfDeadNodesAreReached) {
  SimulatedNetwork::Options options = TreeOnly(40);
  for (const bool replace : {false, true}) {
    options.protocol.replace_unacknowledged = replace;
    SimulatedNetwork network(options);
    network.Preload(MakeRelease(1));
    KillAThird(network);
    network.Publish(0, MakeRelease(2));
    network.RunFor(seconds(1));
    CHECK_EQUAL(replace, network.Converged(MakeRelease(2)));
  }
}

TEST(DistributionProtocol, AnUnreachableChildIsReplacedAtOnce) {
  SimulatedNetwork::Options options = TreeOnly(40);
  options.report_unreachable = true;
  SimulatedNetwork network(options);
  network.Preload(MakeRelease(1));
  KillAThird(network);
  network.Publish(0, MakeRelease(2));
  network.RunFor(milliseconds(60));
  CHECK(network.Converged(MakeRelease(2)));
}

TEST(DistributionProtocol, AntiEntropyRepairsLostMessages) {
  for (const bool anti_entropy : {false, true}) {
    SimulatedNetwork::Options options =
        anti_entropy ? WithAntiEntropy(40) : TreeOnly(40);
    options.loss = 0.2;
    options.protocol.replace_unacknowledged = false;
    SimulatedNetwork network(options);
    network.Preload(MakeRelease(1));
    network.Publish(0, MakeRelease(2));
    network.RunFor(seconds(3));
    CHECK_EQUAL(anti_entropy, network.Converged(MakeRelease(2)));
  }
}

TEST(DistributionProtocol, ANodeThatMissedARevisionRequestsIt) {
  for (const bool request : {false, true}) {
    SimulatedNetwork::Options options = TreeOnly(12);
    options.protocol.requests.enabled = request;
    SimulatedNetwork network(options);
    network.Preload(MakeRelease(1));
    network.is_partitioned = [](std::size_t, std::size_t) { return true; };
    network.Publish(0, MakeRelease(2));
    network.RunFor(milliseconds(10));
    network.is_partitioned = [](std::size_t, std::size_t) { return false; };
    network.Publish(0, MakeRelease(3));
    network.RunFor(seconds(1));
    CHECK_EQUAL(request, network.Converged(MakeRelease(3)));
    LONGS_EQUAL(0, WholeReleasesServed(network));
  }
}

TEST(DistributionProtocol, CorruptDeltasAreRefusedAndRequestedAgain) {
  for (const bool request : {false, true}) {
    SimulatedNetwork::Options options = TreeOnly(12);
    options.protocol.requests.enabled = request;
    SimulatedNetwork network(options);
    network.Preload(MakeRelease(1));
    int damaged = 0;
    network.alter = [&damaged](PeerMessage& message) {
      auto* delta = std::get_if<ReleaseDeltaMessage>(&message);
      if (delta != nullptr && ++damaged <= 3) {
        delta->updates.front().json += " ";
      }
    };
    network.Publish(0, MakeRelease(2));
    network.RunFor(seconds(2));
    CHECK_EQUAL(request, network.Converged(MakeRelease(2)));
    for (const auto& node : network.nodes()) {
      CHECK(node.history.back()->revision == At(1) ||
            *node.history.back() == MakeRelease(2));
    }
  }
}

TEST(DistributionProtocol, ARevisionThatDoesNotCompileIsNotRequestedAgain) {
  SimulatedNetwork::Options options = WithAntiEntropy(12);
  options.protocol.store.compile = [](const Release& release) {
    return release.revision == At(2) ? std::vector<Fault>{{.place = "rule"}}
                                     : std::vector<Fault>();
  };
  SimulatedNetwork network(options);
  network.Preload(MakeRelease(1));
  const ReleaseDeltaMessage delta{
      .from_revision = {.number = 0},
      .to_revision = {.number = 2},
      .to_digest = MakeRelease(2).digest,
      .updates = banyantrail::DiffOf({}, MakeRelease(2).objects)};
  auto& protocol = *network.node(3).protocol;
  (void)protocol.OnMessage(network.node(0).id, delta, network.now());
  LONGS_EQUAL(2, protocol.Status().refused_revision.number);
  const banyantrail::DigestMessage digest{
      .revision = {.number = 2}, .release_digest = MakeRelease(2).digest};
  for (int i = 0; i < 50; ++i) {
    (void)protocol.OnMessage(network.node(0).id, digest, network.now());
    network.RunFor(milliseconds(100));
  }
  LONGS_EQUAL(0, protocol.counters().requests);
  LONGS_EQUAL(1, protocol.store().revision().number);
}

TEST(DistributionProtocol, ADomainCutOffFromThePlatformConvergesThroughOthers) {
  SimulatedNetwork::Options options = WithAntiEntropy(10);
  options.domains = 3;
  SimulatedNetwork network(options);
  network.Preload(MakeRelease(1));
  network.Publish(0, MakeRelease(2));
  network.RunFor(seconds(1));
  CHECK(network.Converged(MakeRelease(2)));
}

TEST(DistributionProtocol, APartitionedDomainConvergesWithin3sOfHealing) {
  for (const bool offers : {false, true}) {
    SimulatedNetwork::Options options = WithAntiEntropy(10);
    options.domains = 3;
    if (!offers) {
      options.protocol.foreign_offer_interval = seconds(3600);
    }
    SimulatedNetwork network(options);
    network.Preload(MakeRelease(1));
    network.is_partitioned = [](std::size_t from, std::size_t to) {
      return (from == 2) != (to == 2);
    };
    network.Publish(0, MakeRelease(2));
    network.Publish(10, MakeRelease(2));
    network.RunFor(seconds(5));
    LONGS_EQUAL(20, network.CountHolding(MakeRelease(2)));
    network.is_partitioned = [](std::size_t, std::size_t) { return false; };
    network.RunFor(seconds(3));
    CHECK_EQUAL(offers, network.Converged(MakeRelease(2)));
  }
}

TEST(DistributionProtocol, ConcurrentTransfersToEmptyNodesAreLimited) {
  constexpr std::size_t kObjects = 2000;
  for (const bool limit : {false, true}) {
    SimulatedNetwork::Options options = WithAntiEntropy(40);
    options.byte_cost = std::chrono::nanoseconds(100);
    options.protocol.transfers.enabled = limit;
    options.protocol.arity = 39;
    SimulatedNetwork network(options);
    network.Preload(MakeRelease(1, kObjects));
    for (std::size_t i = 1; i < 40; ++i) {
      network.Start(i);
    }
    network.Publish(0, MakeRelease(2, kObjects));
    network.RunFor(seconds(3));
    CHECK(network.Converged(MakeRelease(2, kObjects)));
    CHECK_EQUAL(limit, network.node(0).peak_backlog < milliseconds(100));
    for (const auto& node : network.nodes()) {
      CHECK(node.protocol->counters().requests <= 12);
      CHECK(node.protocol->UpdateServingState(network.now()) ==
            ServingState::kReady);
    }
  }
}

TEST(DistributionProtocol, ASecondRelayCausesFewDuplicatesAndNoLargeOnes) {
  for (const bool large : {false, true}) {
    SimulatedNetwork::Options options = TreeOnly(40);
    options.protocol.small_delta_bytes = large ? 0 : 4096;
    SimulatedNetwork network(options);
    network.Preload(MakeRelease(1));
    network.Publish(0, MakeRelease(2));
    network.Publish(1, MakeRelease(2));
    network.RunFor(milliseconds(500));
    std::uint64_t duplicates = 0;
    for (const auto& node : network.nodes()) {
      duplicates += node.protocol->counters().already_have;
    }
    // The tree also delivers the delta to the second relay, which already has
    // it.
    CHECK(duplicates <= (large ? 1 : 10));
  }
}

TEST(DistributionProtocol, ADomainWithoutRelaysAndEntryPointsStillConverges) {
  for (const bool offers : {false, true}) {
    SimulatedNetwork::Options options = WithAntiEntropy(10);
    options.domains = 3;
    if (!offers) {
      options.protocol.foreign_offer_interval = seconds(3600);
    }
    SimulatedNetwork network(options);
    network.Preload(MakeRelease(1));
    network.RunFor(seconds(1));
    for (std::size_t i = 20; i < 24; ++i) {
      network.Kill(i);
    }
    network.Publish(0, MakeRelease(2));
    network.RunFor(seconds(3));
    CHECK_EQUAL(offers, network.Converged(MakeRelease(2)));
  }
}

// Guards against a push of 200 KB to nodes that do not need it: when 60 nodes
// start at the same time, each of them reads the configuration from the store.
TEST(DistributionProtocol, TheFirstReleaseIsPushedOnlyIfEnabled) {
  for (const bool push : {false, true}) {
    SimulatedNetwork::Options options = TreeOnly(40);
    options.protocol.push_first_release = push;
    SimulatedNetwork network(options);
    network.Publish(0, MakeRelease(1));
    network.RunFor(milliseconds(500));
    CHECK_EQUAL(push, network.Converged(MakeRelease(1)));
    for (std::size_t i = 1; i < 40; ++i) {
      network.Publish(i, MakeRelease(1));
    }
    network.Publish(0, MakeRelease(2));
    network.RunFor(milliseconds(500));
    CHECK(network.Converged(MakeRelease(2)));
  }
}

TEST(DistributionProtocol, ADeltaAboveTheSizeLimitIsNotPushed) {
  for (const bool push : {false, true}) {
    SimulatedNetwork::Options options = TreeOnly(40);
    options.protocol.max_pushed_bytes = push ? 4096 : 1;
    SimulatedNetwork network(options);
    network.Preload(MakeRelease(1));
    network.Publish(0, MakeRelease(2));
    network.RunFor(milliseconds(500));
    CHECK_EQUAL(push, network.Converged(MakeRelease(2)));
  }
}

// Guards against frames that each receiver refuses, with the connection,
// when a configuration of many keys is asked for again and again.
TEST(DistributionProtocol, AReleaseAboveTheFrameSizeIsNotSent) {
  for (const bool send : {false, true}) {
    SimulatedNetwork::Options options = WithAntiEntropy(10);
    options.protocol.max_pushed_bytes = 1;
    options.protocol.max_sent_bytes = send ? 4096 : 1;
    SimulatedNetwork network(options);
    network.Preload(MakeRelease(1));
    network.RunFor(seconds(1));
    network.Publish(0, MakeRelease(2));
    network.RunFor(seconds(5));
    CHECK_EQUAL(send, network.Converged(MakeRelease(2)));
    const auto& counters = network.nodes()[0].protocol->counters();
    CHECK_EQUAL(send, counters.too_large_to_send == 0);
  }
}

TEST(DistributionProtocol, ASecondRelayPushesWhenTheFirstIsDead) {
  SimulatedNetwork network(TreeOnly(40));
  network.Preload(MakeRelease(1));
  network.Kill(0);
  network.Publish(1, MakeRelease(2));
  network.RunFor(milliseconds(500));
  CHECK(network.Converged(MakeRelease(2)));
}

TEST(DistributionProtocol, ConvergesDespiteLossAndRestarts) {
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    SimulatedNetwork::Options options = WithAntiEntropy(15);
    options.loss = 0.1;
    options.seed = seed;
    SimulatedNetwork network(options);
    for (std::uint64_t revision = 1; revision <= 8; ++revision) {
      network.Publish(banyantrail::UniformIndex(network.rng(), 2),
                      MakeRelease(revision));
      network.Kill(2 + banyantrail::UniformIndex(network.rng(), 13));
      network.RunFor(milliseconds(300));
      network.Start(2 + banyantrail::UniformIndex(network.rng(), 13));
    }
    network.RunFor(seconds(4));
    CHECK(network.Converged(MakeRelease(8)));
    for (const auto& node : network.nodes()) {
      const auto& store = node.protocol->store();
      CHECK(!node.alive || *store.current() == MakeRelease(8));
    }
  }
}
