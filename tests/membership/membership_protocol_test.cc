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
using banyantrail::testing::ProtocolNetwork;

namespace {

constexpr Duration kStartLimit = seconds(10);
constexpr std::uint64_t kSeeds = 5;

NodeId At(std::size_t domain, std::size_t index) {
  return ProtocolNetwork::NodeAt(domain, index);
}

void RunUntilConverged(ProtocolNetwork& network) {
  const Duration taken = network.RunUntil(
      [&network] { return network.HaveConverged(); }, kStartLimit);
  CHECK(taken < kStartLimit);
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
Duration TimeToDrain(ProtocolNetwork& network, const NodeId& node) {
  network.Send(node, network.At(node).SetDraining(true, network.Now()));
  return network.RunUntil(
      [&] {
        return std::ranges::all_of(network.Running(), [&](const NodeId& other) {
          const MemberRecord* record = network.At(other).table().Find(node);
          return record != nullptr && record->draining;
        });
      },
      kStartLimit);
}

}  // namespace

TEST_GROUP(MembershipProtocol){};

TEST(MembershipProtocol, FleetThatStartsTogetherConverges) {
  ProtocolNetwork network({.domains = 3, .nodes_per_domain = 10});
  const Duration taken = network.RunUntil(
      [&network] { return network.HaveConverged(); }, kStartLimit);
  CHECK(taken <= seconds(3));
}

TEST(MembershipProtocol, CrashIsKnownInTheDomainWithinThreeSeconds) {
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    ProtocolNetwork network(
        {.domains = 2, .nodes_per_domain = 20, .loss = 0.02, .seed = seed});
    RunUntilConverged(network);
    network.Crash(At(0, 7));
    const Duration taken = network.RunUntil(
        [&] {
          return network.AllSee(At(0, 7), MemberState::kDead, IsInDomain("d0"));
        },
        kStartLimit);
    CHECK(taken <= seconds(3));
  }
}

TEST(MembershipProtocol, CrashOfAThirdIsKnownInTheDomainWithinThreeSeconds) {
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    ProtocolNetwork network(
        {.domains = 1, .nodes_per_domain = 30, .seed = seed});
    RunUntilConverged(network);
    for (std::size_t i = 10; i < 20; ++i) {
      network.Crash(At(0, i));
    }
    const Duration taken = network.RunUntil(
        [&] {
          for (std::size_t i = 10; i < 20; ++i) {
            if (!network.AllSee(At(0, i), MemberState::kDead)) {
              return false;
            }
          }
          return true;
        },
        kStartLimit);
    CHECK(taken <= seconds(3));
  }
}

TEST(MembershipProtocol, CrashOfRingNeighboursIsKnownWithinThreeSeconds) {
  ProtocolNetwork network({.domains = 1, .nodes_per_domain = 30});
  RunUntilConverged(network);
  std::vector<NodeId> ring = network.Running();
  std::ranges::sort(ring, {}, [](const NodeId& node) {
    return banyantrail::Hash64(node.str());
  });
  const std::vector<NodeId> crashed(ring.begin() + 3, ring.begin() + 10);
  for (const NodeId& node : crashed) {
    network.Crash(node);
  }
  const Duration taken = network.RunUntil(
      [&] {
        return std::ranges::all_of(crashed, [&](const NodeId& node) {
          return network.AllSee(node, MemberState::kDead);
        });
      },
      kStartLimit);
  CHECK(taken <= seconds(3));
}

TEST(MembershipProtocol, DrainIsKnownInTheFleetWithinTwoSeconds) {
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    ProtocolNetwork network(
        {.domains = 2, .nodes_per_domain = 40, .loss = 0.05, .seed = seed});
    RunUntilConverged(network);
    CHECK(TimeToDrain(network, At(0, 3)) <= seconds(2));
  }
}

TEST(MembershipProtocol, DrainIsKnownInTimeBehindMembersThatJustCrashed) {
  for (std::uint64_t seed = 1; seed <= 2; ++seed) {
    ProtocolNetwork network(
        {.domains = 1, .nodes_per_domain = 137, .seed = seed});
    RunUntilConverged(network);
    for (std::size_t i = 10; i < 55; ++i) {
      network.Crash(At(0, i));
    }
    CHECK(TimeToDrain(network, At(0, 3)) <= seconds(2));
  }
}

TEST(MembershipProtocol, SuspectedMemberRefutes) {
  ProtocolNetwork network({.domains = 1, .nodes_per_domain = 10});
  RunUntilConverged(network);
  MemberRecord accused = network.At(At(0, 4)).own_record();
  accused.state = MemberState::kSuspect;
  const banyantrail::MembershipUpdateMessage rumour{.records = {accused}};
  network.Send(At(0, 1),
               network.At(At(0, 1)).OnMessage(At(0, 2), rumour, network.Now()));
  network.Run(seconds(4));
  CHECK(network.HaveConverged());
  CHECK(network.At(At(0, 1)).table().Find(At(0, 4))->incarnation >
        accused.incarnation);
}

TEST(MembershipProtocol, CutBetweenTwoMembersCausesNoSuspicion) {
  ProtocolNetwork network({.domains = 1, .nodes_per_domain = 8});
  RunUntilConverged(network);
  network.is_cut = [](const NodeId& from, const NodeId& to) {
    return from == At(0, 2) && to == At(0, 3);
  };
  network.Run(seconds(5));
  for (const NodeId& node : network.Running()) {
    UNSIGNED_LONGS_EQUAL(0, network.At(node).counters().suspicions_raised);
  }
}

TEST(MembershipProtocol, PartitionOfDomainsHealsWithinThreeSeconds) {
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    ProtocolNetwork network(
        {.domains = 2, .nodes_per_domain = 10, .seed = seed});
    RunUntilConverged(network);
    network.is_cut = [](const NodeId& from, const NodeId& to) {
      return from.str().substr(0, 2) != to.str().substr(0, 2);
    };
    network.Run(seconds(20));
    CHECK(network.At(At(0, 0)).unreachable_domains().contains(DomainId("d1")));
    UNSIGNED_LONGS_EQUAL(20, AliveCount(network.At(At(0, 0))));
    network.Crash(At(1, 4));
    network.Send(At(1, 5),
                 network.At(At(1, 5)).SetDraining(true, network.Now()));
    network.Run(seconds(10));
    network.Start(1, 4);
    network.Run(seconds(5));
    network.is_cut = [](const NodeId&, const NodeId&) { return false; };
    const Duration taken = network.RunUntil(
        [&network] { return network.HaveConverged(); }, kStartLimit);
    CHECK(taken <= seconds(3));
    CHECK(network.At(At(0, 0)).table().Find(At(1, 5))->draining);
  }
}

TEST(MembershipProtocol, CutOffMemberKeepsItsRecordsAndComesBack) {
  for (const bool one_way : {false, true}) {
    ProtocolNetwork network({.domains = 2, .nodes_per_domain = 10});
    RunUntilConverged(network);
    network.is_cut = [one_way](const NodeId& from, const NodeId& to) {
      return from == At(0, 2) || (!one_way && to == At(0, 2));
    };
    network.Run(seconds(10));
    CHECK(network.At(At(0, 2)).is_isolated());
    UNSIGNED_LONGS_EQUAL(20, AliveCount(network.At(At(0, 2))));
    CHECK(network.AllSee(At(0, 2), MemberState::kDead, [](const auto& other) {
      return other.own_record().node != At(0, 2);
    }));
    network.is_cut = [](const NodeId&, const NodeId&) { return false; };
    const Duration taken = network.RunUntil(
        [&network] { return network.HaveConverged(); }, kStartLimit);
    CHECK(taken <= seconds(3));
  }
}

TEST(MembershipProtocol, LossOfTheMajorityConfirmsNoDeath) {
  ProtocolNetwork network({.domains = 1, .nodes_per_domain = 20});
  RunUntilConverged(network);
  const auto is_minority = [](const NodeId& node) {
    return node <= At(0, 14);  // Seven nodes: n0, n1, n10 to n14.
  };
  network.is_cut = [&](const NodeId& from, const NodeId& to) {
    return is_minority(from) != is_minority(to);
  };
  network.Run(seconds(20));
  UNSIGNED_LONGS_EQUAL(
      20,
      network.At(At(0, 1)).table().live_members().at(DomainId("d0")).size());
  CHECK(network.At(At(0, 1)).is_isolated());
  UNSIGNED_LONGS_EQUAL(13, AliveCount(network.At(At(0, 2))));
  network.is_cut = [](const NodeId&, const NodeId&) { return false; };
  const Duration taken = network.RunUntil(
      [&network] { return network.HaveConverged(); }, kStartLimit);
  CHECK(taken <= seconds(3));
}

TEST(MembershipProtocol, MemberReplacedInPlaceReplacesItsRecord) {
  ProtocolNetwork network({.domains = 2, .nodes_per_domain = 10});
  RunUntilConverged(network);
  network.At(At(0, 6)).SetReleaseDigest(12, "digest");
  network.Run(seconds(3));
  const auto former = network.At(At(0, 6)).own_record().incarnation;
  network.Crash(At(0, 6));
  network.Run(milliseconds(100));
  network.Start(0, 6);
  const Duration taken = network.RunUntil(
      [&network] { return network.HaveConverged(); }, kStartLimit);
  CHECK(taken <= seconds(3));
  CHECK(network.At(At(0, 6)).own_record().incarnation > former);
  UNSIGNED_LONGS_EQUAL(12, network.At(At(0, 6)).own_record().applied_revision);
}

TEST(MembershipProtocol, LeaveIsKnownInTheFleetWithinTwoSeconds) {
  ProtocolNetwork network({.domains = 2, .nodes_per_domain = 10});
  RunUntilConverged(network);
  network.Send(At(0, 6), network.At(At(0, 6)).Leave(network.Now()));
  network.Crash(At(0, 6));
  const Duration taken = network.RunUntil(
      [&] { return network.AllSee(At(0, 6), MemberState::kLeft); },
      kStartLimit);
  CHECK(taken <= seconds(2));
}
