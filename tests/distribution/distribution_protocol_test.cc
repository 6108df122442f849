#include "banyantrail/distribution/distribution_protocol.h"

#include <CppUTest/TestHarness.h>

#include "distribution/message_queue.h"

using banyantrail::Duration;
using banyantrail::Fault;
using banyantrail::milliseconds;
using banyantrail::NodeId;
using banyantrail::PeerMessage;
using banyantrail::Release;
using banyantrail::ReleaseDeltaMessage;
using banyantrail::seconds;
using banyantrail::ServingState;
using banyantrail::testing::MakeRelease;
using banyantrail::testing::MessageQueue;

namespace {

/// Options without anti-entropy, so that only the tree delivers releases.
MessageQueue::Options TreeOnly(std::size_t nodes) {
  MessageQueue::Options options{.nodes_per_domain = nodes};
  options.protocol.arity = 3;
  return options;
}

MessageQueue::Options WithAntiEntropy(std::size_t nodes) {
  MessageQueue::Options options = TreeOnly(nodes);
  options.protocol.digest_interval = seconds(1);
  return options;
}

/// Kills every third node, sparing both relays.
void KillAThird(MessageQueue& queue) {
  for (std::size_t i = 2; i < queue.nodes().size(); i += 3) {
    queue.Kill(i);
  }
}

std::uint64_t WholeServed(MessageQueue& queue) {
  std::uint64_t whole = 0;
  for (const auto& node : queue.nodes()) {
    whole += node.protocol->counters().whole_served;
  }
  return whole;
}

}  // namespace

TEST_GROUP(DistributionProtocol){};

TEST(DistributionProtocol, TheTreeReachesEveryNode) {
  MessageQueue queue(TreeOnly(40));
  queue.Preload(MakeRelease(1));
  queue.Publish(0, MakeRelease(2));
  queue.RunFor(milliseconds(50));
  CHECK(queue.Converged(MakeRelease(2)));
  for (const auto& node : queue.nodes()) {
    CHECK(node.hops <= 4);
    LONGS_EQUAL(2, node.history.size());
  }
}

TEST(DistributionProtocol, TheSubtreesOfDeadNodesAreReached) {
  MessageQueue::Options options = TreeOnly(40);
  for (const bool replace : {false, true}) {
    options.protocol.replace_unacknowledged = replace;
    MessageQueue queue(options);
    queue.Preload(MakeRelease(1));
    KillAThird(queue);
    queue.Publish(0, MakeRelease(2));
    queue.RunFor(seconds(1));
    CHECK_EQUAL(replace, queue.Converged(MakeRelease(2)));
  }
}

TEST(DistributionProtocol, AnUnreachableChildIsReplacedAtOnce) {
  MessageQueue::Options options = TreeOnly(40);
  options.report_dead = true;
  MessageQueue queue(options);
  queue.Preload(MakeRelease(1));
  KillAThird(queue);
  queue.Publish(0, MakeRelease(2));
  queue.RunFor(milliseconds(60));
  CHECK(queue.Converged(MakeRelease(2)));
}

TEST(DistributionProtocol, AntiEntropyRepairsLostMessages) {
  for (const bool anti_entropy : {false, true}) {
    MessageQueue::Options options =
        anti_entropy ? WithAntiEntropy(40) : TreeOnly(40);
    options.loss = 0.2;
    options.protocol.replace_unacknowledged = false;
    MessageQueue queue(options);
    queue.Preload(MakeRelease(1));
    queue.Publish(0, MakeRelease(2));
    queue.RunFor(seconds(3));
    CHECK_EQUAL(anti_entropy, queue.Converged(MakeRelease(2)));
  }
}

TEST(DistributionProtocol, ANodeWithAStaleParentAsksForWhatItLacks) {
  for (const bool request : {false, true}) {
    MessageQueue::Options options = TreeOnly(12);
    options.protocol.requests.enabled = request;
    MessageQueue queue(options);
    queue.Preload(MakeRelease(1));
    queue.cut = [](std::size_t, std::size_t) { return true; };
    queue.Publish(0, MakeRelease(2));
    queue.RunFor(milliseconds(10));
    queue.cut = [](std::size_t, std::size_t) { return false; };
    queue.Publish(0, MakeRelease(3));
    queue.RunFor(seconds(1));
    CHECK_EQUAL(request, queue.Converged(MakeRelease(3)));
    LONGS_EQUAL(0, WholeServed(queue));
  }
}

TEST(DistributionProtocol, DamagedDeltasAreRefusedAndFetchedAgain) {
  for (const bool request : {false, true}) {
    MessageQueue::Options options = TreeOnly(12);
    options.protocol.requests.enabled = request;
    MessageQueue queue(options);
    queue.Preload(MakeRelease(1));
    int damaged = 0;
    queue.alter = [&damaged](PeerMessage& message) {
      auto* delta = std::get_if<ReleaseDeltaMessage>(&message);
      if (delta != nullptr && ++damaged <= 3) {
        delta->updates.front().json += " ";
      }
    };
    queue.Publish(0, MakeRelease(2));
    queue.RunFor(seconds(2));
    CHECK_EQUAL(request, queue.Converged(MakeRelease(2)));
    for (const auto& node : queue.nodes()) {
      CHECK(node.history.back()->revision == 1 ||
            *node.history.back() == MakeRelease(2));
    }
  }
}

TEST(DistributionProtocol, ARevisionThatDoesNotCompileIsNotAskedForAgain) {
  MessageQueue::Options options = WithAntiEntropy(12);
  options.protocol.store.compile = [](const Release& release) {
    return release.revision == 2 ? std::vector<Fault>{{.place = "rule"}}
                                 : std::vector<Fault>();
  };
  MessageQueue queue(options);
  queue.Preload(MakeRelease(1));
  const ReleaseDeltaMessage delta{
      .from_revision = 0,
      .to_revision = 2,
      .to_digest = MakeRelease(2).digest,
      .updates = banyantrail::DiffOf({}, MakeRelease(2).objects)};
  auto& protocol = *queue.node(3).protocol;
  (void)protocol.OnMessage(queue.node(0).id, delta, queue.now());
  LONGS_EQUAL(2, protocol.Status().refused_revision);
  const banyantrail::DigestMessage digest{
      .revision = 2, .release_digest = MakeRelease(2).digest};
  for (int i = 0; i < 50; ++i) {
    (void)protocol.OnMessage(queue.node(0).id, digest, queue.now());
    queue.RunFor(milliseconds(100));
  }
  LONGS_EQUAL(0, protocol.counters().requests);
  LONGS_EQUAL(1, protocol.store().revision());
}

TEST(DistributionProtocol, ADomainCutOffFromThePlatformConvergesThroughOthers) {
  MessageQueue::Options options = WithAntiEntropy(10);
  options.domains = 3;
  MessageQueue queue(options);
  queue.Preload(MakeRelease(1));
  queue.Publish(0, MakeRelease(2));
  queue.RunFor(seconds(1));
  CHECK(queue.Converged(MakeRelease(2)));
}

TEST(DistributionProtocol, ADomainThatWasCutOffConvergesWithin3sOfHealing) {
  for (const bool offers : {false, true}) {
    MessageQueue::Options options = WithAntiEntropy(10);
    options.domains = 3;
    if (!offers) {
      options.protocol.foreign_offer_interval = seconds(3600);
    }
    MessageQueue queue(options);
    queue.Preload(MakeRelease(1));
    queue.cut = [](std::size_t from, std::size_t to) {
      return (from == 2) != (to == 2);
    };
    queue.Publish(0, MakeRelease(2));
    queue.Publish(10, MakeRelease(2));
    queue.RunFor(seconds(5));
    LONGS_EQUAL(20, queue.CountHolding(MakeRelease(2)));
    queue.cut = [](std::size_t, std::size_t) { return false; };
    queue.RunFor(seconds(3));
    CHECK_EQUAL(offers, queue.Converged(MakeRelease(2)));
  }
}

TEST(DistributionProtocol, AHerdOfEmptyNodesIsServedAFewAtATime) {
  constexpr std::size_t kObjects = 2000;
  for (const bool limit : {false, true}) {
    MessageQueue::Options options = WithAntiEntropy(40);
    options.byte_cost = std::chrono::nanoseconds(100);
    options.protocol.transfers.enabled = limit;
    options.protocol.arity = 39;
    MessageQueue queue(options);
    queue.Preload(MakeRelease(1, kObjects));
    for (std::size_t i = 1; i < 40; ++i) {
      queue.Start(i);
    }
    queue.Publish(0, MakeRelease(2, kObjects));
    queue.RunFor(seconds(3));
    CHECK(queue.Converged(MakeRelease(2, kObjects)));
    CHECK_EQUAL(limit, queue.node(0).peak_backlog < milliseconds(100));
    for (const auto& node : queue.nodes()) {
      CHECK(node.protocol->counters().requests <= 12);
      CHECK(node.protocol->UpdateServingState(queue.now()) ==
            ServingState::kReady);
    }
  }
}

TEST(DistributionProtocol, ASecondRelayCostsFewDuplicatesAndNoLargeOnes) {
  for (const bool large : {false, true}) {
    MessageQueue::Options options = TreeOnly(40);
    options.protocol.small_delta_bytes = large ? 0 : 4096;
    MessageQueue queue(options);
    queue.Preload(MakeRelease(1));
    queue.Publish(0, MakeRelease(2));
    queue.Publish(1, MakeRelease(2));
    queue.RunFor(milliseconds(500));
    std::uint64_t duplicates = 0;
    for (const auto& node : queue.nodes()) {
      duplicates += node.protocol->counters().already_have;
    }
    // The tree also delivers the delta to the second relay, which already has
    // it.
    CHECK(duplicates <= (large ? 1 : 10));
  }
}

TEST(DistributionProtocol, ADomainWithoutRelaysAndEntryPointsIsNoIsland) {
  for (const bool offers : {false, true}) {
    MessageQueue::Options options = WithAntiEntropy(10);
    options.domains = 3;
    if (!offers) {
      options.protocol.foreign_offer_interval = seconds(3600);
    }
    MessageQueue queue(options);
    queue.Preload(MakeRelease(1));
    queue.RunFor(seconds(1));
    for (std::size_t i = 20; i < 24; ++i) {
      queue.Kill(i);
    }
    queue.Publish(0, MakeRelease(2));
    queue.RunFor(seconds(3));
    CHECK_EQUAL(offers, queue.Converged(MakeRelease(2)));
  }
}

// Guards against a push of 200 KB to nodes that do not need it: when 60 nodes
// start at the same time, each of them reads the configuration from the store.
TEST(DistributionProtocol, AFirstReleaseNeedNotBePushed) {
  for (const bool push : {false, true}) {
    MessageQueue::Options options = TreeOnly(40);
    options.protocol.push_first_release = push;
    MessageQueue queue(options);
    queue.Publish(0, MakeRelease(1));
    queue.RunFor(milliseconds(500));
    CHECK_EQUAL(push, queue.Converged(MakeRelease(1)));
    for (std::size_t i = 1; i < 40; ++i) {
      queue.Publish(i, MakeRelease(1));
    }
    queue.Publish(0, MakeRelease(2));
    queue.RunFor(milliseconds(500));
    CHECK(queue.Converged(MakeRelease(2)));
  }
}

TEST(DistributionProtocol, AGreatDifferenceIsNotPushed) {
  for (const bool push : {false, true}) {
    MessageQueue::Options options = TreeOnly(40);
    options.protocol.max_pushed_bytes = push ? 4096 : 1;
    MessageQueue queue(options);
    queue.Preload(MakeRelease(1));
    queue.Publish(0, MakeRelease(2));
    queue.RunFor(milliseconds(500));
    CHECK_EQUAL(push, queue.Converged(MakeRelease(2)));
  }
}

TEST(DistributionProtocol, ASecondRelayPushesWhenTheFirstIsDead) {
  MessageQueue queue(TreeOnly(40));
  queue.Preload(MakeRelease(1));
  queue.Kill(0);
  queue.Publish(1, MakeRelease(2));
  queue.RunFor(milliseconds(500));
  CHECK(queue.Converged(MakeRelease(2)));
}

TEST(DistributionProtocol, NoNodeGoesBackWhateverIsLostOrDies) {
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    MessageQueue::Options options = WithAntiEntropy(15);
    options.loss = 0.1;
    options.seed = seed;
    MessageQueue queue(options);
    for (banyantrail::Revision revision = 1; revision <= 8; ++revision) {
      queue.Publish(banyantrail::UniformIndex(queue.rng(), 2),
                    MakeRelease(revision));
      queue.Kill(2 + banyantrail::UniformIndex(queue.rng(), 13));
      queue.RunFor(milliseconds(300));
      queue.Start(2 + banyantrail::UniformIndex(queue.rng(), 13));
    }
    queue.RunFor(seconds(4));
    CHECK(queue.Converged(MakeRelease(8)));
    for (const auto& node : queue.nodes()) {
      const auto& store = node.protocol->store();
      CHECK(!node.alive || *store.current() == MakeRelease(8));
    }
  }
}
