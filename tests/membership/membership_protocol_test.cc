#include "banyantrail/membership/membership_protocol.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>

#include "banyantrail/core/digest.h"
#include "membership/simulated_network.h"

using banyantrail::DomainId;
using banyantrail::Duration;
using banyantrail::MemberRecord;
using banyantrail::MembershipProtocol;
using banyantrail::MemberState;
using banyantrail::milliseconds;
using banyantrail::NodeId;
using banyantrail::seconds;
using banyantrail::testing::SimulatedNetwork;

namespace {

constexpr Duration kTimeLimit = seconds(10);
constexpr std::uint64_t kSeedCount = 5;

NodeId NodeAt(std::size_t domain, std::size_t index) {
  return SimulatedNetwork::NodeAt(domain, index);
}

void RunUntilConverged(SimulatedNetwork& network) {
  const Duration elapsed = network.RunUntil(
      [&network] { return network.HasConverged(); }, kTimeLimit);
  CHECK(elapsed < kTimeLimit);
}

auto IsInDomain(const char* domain) {
  return [id = DomainId(domain)](const MembershipProtocol& protocol) {
    return protocol.own_record().domain == id;
  };
}

std::size_t AliveCount(const MembershipProtocol& protocol) {
  std::size_t count = 0;
  for (const auto& [node, record] : protocol.table().records()) {
    count += record.state == MemberState::kAlive ? 1 : 0;
  }
  return count;
}

/// Drains a node; returns the time until all running nodes know.
Duration TimeToDrain(SimulatedNetwork& network, const NodeId& node) {
  network.Send(node, network.At(node).SetDraining(true, network.Now()));
  return network.RunUntil(
      [&] {
        return std::ranges::all_of(
            network.RunningNodes(), [&](const NodeId& other) {
              const MemberRecord* record = network.At(other).table().Find(node);
              return record != nullptr && record->draining;
            });
      },
      kTimeLimit);
}

}  // namespace

TEST_GROUP(MembershipProtocol){};

TEST(MembershipProtocol, FleetThatStartsTogetherConverges) {
  SimulatedNetwork network({.domains = 3, .nodes_per_domain = 10});
  const Duration elapsed = network.RunUntil(
      [&network] { return network.HasConverged(); }, kTimeLimit);
  CHECK(elapsed <= seconds(3));
}

TEST(MembershipProtocol, CrashIsKnownInTheDomainWithinThreeSeconds) {
  for (std::uint64_t seed = 1; seed <= kSeedCount; ++seed) {
    SimulatedNetwork network(
        {.domains = 2, .nodes_per_domain = 20, .loss = 0.02, .seed = seed});
    RunUntilConverged(network);
    network.Crash(NodeAt(0, 7));
    const Duration elapsed = network.RunUntil(
        [&] {
          return network.AllSee(NodeAt(0, 7), MemberState::kDead,
                                IsInDomain("d0"));
        },
        kTimeLimit);
    CHECK(elapsed <= seconds(3));
  }
}

TEST(MembershipProtocol, CrashOfAThirdIsKnownInTheDomainWithinThreeSeconds) {
  for (std::uint64_t seed = 1; seed <= kSeedCount; ++seed) {
    SimulatedNetwork network(
        {.domains = 1, .nodes_per_domain = 30, .seed = seed});
    RunUntilConverged(network);
    for (std::size_t i = 10; i < 20; ++i) {
      network.Crash(NodeAt(0, i));
    }
    const Duration elapsed = network.RunUntil(
        [&] {
          for (std::size_t i = 10; i < 20; ++i) {
            if (!network.AllSee(NodeAt(0, i), MemberState::kDead)) {
              return false;
            }
          }
          return true;
        },
        kTimeLimit);
    CHECK(elapsed <= seconds(3));
  }
}

TEST(MembershipProtocol, CrashOfRingNeighboursIsKnownWithinThreeSeconds) {
  SimulatedNetwork network({.domains = 1, .nodes_per_domain = 30});
  RunUntilConverged(network);
  std::vector<NodeId> ring = network.RunningNodes();
  std::ranges::sort(ring, {}, [](const NodeId& node) {
    return banyantrail::Hash64(node.str());
  });
  const std::vector<NodeId> crashed(ring.begin() + 3, ring.begin() + 10);
  for (const NodeId& node : crashed) {
    network.Crash(node);
  }
  const Duration elapsed = network.RunUntil(
      [&] {
        return std::ranges::all_of(crashed, [&](const NodeId& node) {
          return network.AllSee(node, MemberState::kDead);
        });
      },
      kTimeLimit);
  CHECK(elapsed <= seconds(3));
}

TEST(MembershipProtocol, DrainIsKnownInTheFleetWithinTwoSeconds) {
  for (std::uint64_t seed = 1; seed <= kSeedCount; ++seed) {
    SimulatedNetwork network(
        {.domains = 2, .nodes_per_domain = 40, .loss = 0.05, .seed = seed});
    RunUntilConverged(network);
    CHECK(TimeToDrain(network, NodeAt(0, 3)) <= seconds(2));
  }
}

TEST(MembershipProtocol, DrainReachesMembersBehindCrashedOnesWithinTwoSeconds) {
  for (std::uint64_t seed = 1; seed <= 2; ++seed) {
    SimulatedNetwork network(
        {.domains = 1, .nodes_per_domain = 137, .seed = seed});
    RunUntilConverged(network);
    for (std::size_t i = 10; i < 55; ++i) {
      network.Crash(NodeAt(0, i));
    }
    CHECK(TimeToDrain(network, NodeAt(0, 3)) <= seconds(2));
  }
}

TEST(MembershipProtocol, SuspectedMemberRefutes) {
  SimulatedNetwork network({.domains = 1, .nodes_per_domain = 10});
  RunUntilConverged(network);
  MemberRecord suspected = network.At(NodeAt(0, 4)).own_record();
  suspected.state = MemberState::kSuspect;
  const banyantrail::MembershipUpdateMessage suspicion{.records = {suspected}};
  network.Send(NodeAt(0, 1),
               network.At(NodeAt(0, 1))
                   .OnMessage(NodeAt(0, 2), suspicion, network.Now()));
  network.Run(seconds(4));
  CHECK(network.HasConverged());
  CHECK(network.At(NodeAt(0, 1)).table().Find(NodeAt(0, 4))->incarnation >
        suspected.incarnation);
}

TEST(MembershipProtocol, BlockedPathBetweenTwoMembersCausesNoSuspicion) {
  SimulatedNetwork network({.domains = 1, .nodes_per_domain = 8});
  RunUntilConverged(network);
  network.is_blocked = [](const NodeId& from, const NodeId& to) {
    return from == NodeAt(0, 2) && to == NodeAt(0, 3);
  };
  network.Run(seconds(5));
  for (const NodeId& node : network.RunningNodes()) {
    UNSIGNED_LONGS_EQUAL(0, network.At(node).counters().suspicions_raised);
  }
}

TEST(MembershipProtocol, PartitionOfDomainsHealsWithinThreeSeconds) {
  for (std::uint64_t seed = 1; seed <= kSeedCount; ++seed) {
    SimulatedNetwork network(
        {.domains = 2, .nodes_per_domain = 10, .seed = seed});
    RunUntilConverged(network);
    network.is_blocked = [](const NodeId& from, const NodeId& to) {
      return from.str().substr(0, 2) != to.str().substr(0, 2);
    };
    network.Run(seconds(20));
    CHECK(network.At(NodeAt(0, 0))
              .unreachable_domains()
              .contains(DomainId("d1")));
    UNSIGNED_LONGS_EQUAL(20, AliveCount(network.At(NodeAt(0, 0))));
    network.Crash(NodeAt(1, 4));
    network.Send(NodeAt(1, 5),
                 network.At(NodeAt(1, 5)).SetDraining(true, network.Now()));
    network.Run(seconds(10));
    network.Start(1, 4);
    network.Run(seconds(5));
    network.is_blocked = [](const NodeId&, const NodeId&) { return false; };
    const Duration elapsed = network.RunUntil(
        [&network] { return network.HasConverged(); }, kTimeLimit);
    CHECK(elapsed <= seconds(3));
    CHECK(network.At(NodeAt(0, 0)).table().Find(NodeAt(1, 5))->draining);
  }
}

TEST(MembershipProtocol, IsolatedMemberKeepsItsRecordsAndRejoins) {
  for (const bool one_way : {false, true}) {
    SimulatedNetwork network({.domains = 2, .nodes_per_domain = 10});
    RunUntilConverged(network);
    network.is_blocked = [one_way](const NodeId& from, const NodeId& to) {
      return from == NodeAt(0, 2) || (!one_way && to == NodeAt(0, 2));
    };
    network.Run(seconds(10));
    CHECK(network.At(NodeAt(0, 2)).is_isolated());
    UNSIGNED_LONGS_EQUAL(20, AliveCount(network.At(NodeAt(0, 2))));
    CHECK(
        network.AllSee(NodeAt(0, 2), MemberState::kDead, [](const auto& other) {
          return other.own_record().node != NodeAt(0, 2);
        }));
    network.is_blocked = [](const NodeId&, const NodeId&) { return false; };
    const Duration elapsed = network.RunUntil(
        [&network] { return network.HasConverged(); }, kTimeLimit);
    CHECK(elapsed <= seconds(3));
  }
}

TEST(MembershipProtocol, LossOfTheMajorityConfirmsNoDeath) {
  SimulatedNetwork network({.domains = 1, .nodes_per_domain = 20});
  RunUntilConverged(network);
  const auto is_minority = [](const NodeId& node) {
    return node <= NodeAt(0, 14);  // Seven nodes: n0, n1, n10 to n14.
  };
  network.is_blocked = [&](const NodeId& from, const NodeId& to) {
    return is_minority(from) != is_minority(to);
  };
  network.Run(seconds(20));
  UNSIGNED_LONGS_EQUAL(20, network.At(NodeAt(0, 1))
                               .table()
                               .live_members()
                               .at(DomainId("d0"))
                               .size());
  CHECK(network.At(NodeAt(0, 1)).is_isolated());
  UNSIGNED_LONGS_EQUAL(13, AliveCount(network.At(NodeAt(0, 2))));
  network.is_blocked = [](const NodeId&, const NodeId&) { return false; };
  const Duration elapsed = network.RunUntil(
      [&network] { return network.HasConverged(); }, kTimeLimit);
  CHECK(elapsed <= seconds(3));
}

TEST(MembershipProtocol, MemberReplacedInPlaceReplacesItsRecord) {
  SimulatedNetwork network({.domains = 2, .nodes_per_domain = 10});
  RunUntilConverged(network);
  network.At(NodeAt(0, 6)).SetReleaseDigest({.number = 12}, "digest");
  network.Run(seconds(3));
  const auto previous_incarnation =
      network.At(NodeAt(0, 6)).own_record().incarnation;
  network.Crash(NodeAt(0, 6));
  network.Run(milliseconds(100));
  network.Start(0, 6);
  const Duration elapsed = network.RunUntil(
      [&network] { return network.HasConverged(); }, kTimeLimit);
  CHECK(elapsed <= seconds(3));
  CHECK(network.At(NodeAt(0, 6)).own_record().incarnation >
        previous_incarnation);
  UNSIGNED_LONGS_EQUAL(
      12, network.At(NodeAt(0, 6)).own_record().applied_revision.number);
}

TEST(MembershipProtocol, LeaveIsKnownInTheFleetWithinTwoSeconds) {
  SimulatedNetwork network({.domains = 2, .nodes_per_domain = 10});
  RunUntilConverged(network);
  network.Send(NodeAt(0, 6), network.At(NodeAt(0, 6)).Leave(network.Now()));
  network.Crash(NodeAt(0, 6));
  const Duration elapsed = network.RunUntil(
      [&] { return network.AllSee(NodeAt(0, 6), MemberState::kLeft); },
      kTimeLimit);
  CHECK(elapsed <= seconds(2));
}
