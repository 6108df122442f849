#include "banyantrail/distribution/relay_lease.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <string>
#include <vector>

#include "banyantrail/core/errors.h"
#include "standins/object_store.h"

using banyantrail::DomainId;
using banyantrail::Duration;
using banyantrail::Error;
using banyantrail::kRelaySlots;
using banyantrail::ManualClock;
using banyantrail::milliseconds;
using banyantrail::NodeId;
using banyantrail::ParseRelayLeaseValue;
using banyantrail::RelayCandidates;
using banyantrail::RelayKey;
using banyantrail::RelayLease;
using banyantrail::RelayLeaseValue;
using banyantrail::RelayLeaseWrite;
using banyantrail::seconds;
using banyantrail::StoredObject;
using banyantrail::standins::ObjectStore;
using banyantrail::standins::WriteStatus;

namespace {

const DomainId kDomain("east");

std::vector<NodeId> MakeNodes(std::size_t count) {
  std::vector<NodeId> nodes;
  for (std::size_t i = 0; i < count; ++i) {
    nodes.emplace_back("node-" + std::to_string(i));
  }
  return nodes;
}

/// The leases of all nodes of one domain on a shared store, with a manual
/// clock.
struct LeaseFleet {
  explicit LeaseFleet(std::size_t count) : nodes(MakeNodes(count)) {
    for (const NodeId& node : nodes) {
      leases.emplace_back(RelayLease::Options{
          .self = node,
          .domain = kDomain,
          .peer_address = {.address = "127.0.0.1", .port = 1}});
      leases.back().OnMembers(nodes);
      paused.push_back(false);
    }
  }

  std::array<std::optional<StoredObject>, kRelaySlots> ReadSlots() {
    ++calls;
    std::array<std::optional<StoredObject>, kRelaySlots> slots;
    for (std::size_t slot = 0; slot < kRelaySlots; ++slot) {
      if (const auto found = store.Get(RelayKey(kDomain, slot))) {
        slots[slot] = {.version = found->version,
                       .value = nlohmann::json::parse(found->value)};
      }
    }
    return slots;
  }

  void Write(RelayLease& lease, const RelayLeaseWrite& write) {
    ++calls;
    const auto result =
        store.Put(RelayKey(kDomain, write.slot), ToJson(write.value).dump(),
                  write.expected_version);
    if (result.status == WriteStatus::kDone) {
      lease.OnWritten(write, result.version, clock.Now());
    } else {
      lease.OnWriteConflict(write);
    }
  }

  void Step(std::size_t index) {
    RelayLease& lease = leases[index];
    if (paused[index] || !lease.NeedsSlots()) {
      return;
    }
    lease.OnSlots(ReadSlots(), clock.Now());
    if (const auto write = lease.Decide(clock.Now())) {
      Write(lease, *write);
    }
  }

  void RunFor(Duration duration) {
    const auto end = clock.Now() + duration;
    while (clock.Now() < end) {
      for (std::size_t i = 0; i < leases.size(); ++i) {
        Step(i);
      }
      clock.Advance(seconds(2));
    }
  }

  std::vector<std::size_t> Holders() const {
    std::vector<std::size_t> holders;
    for (std::size_t i = 0; i < leases.size(); ++i) {
      if (leases[i].HeldSlot(clock.Now())) {
        holders.push_back(i);
      }
    }
    return holders;
  }

  std::vector<NodeId> nodes;
  std::vector<RelayLease> leases;
  std::vector<bool> paused;
  ObjectStore store;
  ManualClock clock;
  std::uint64_t calls = 0;
};

}  // namespace

TEST_GROUP(RelayLease){};

TEST(RelayLease, TwoNodesHoldTheTwoSlots) {
  LeaseFleet fleet(12);
  fleet.RunFor(seconds(20));
  const auto holders = fleet.Holders();
  LONGS_EQUAL(2, holders.size());
  const auto candidates = RelayCandidates(kDomain, fleet.nodes);
  for (const std::size_t holder : holders) {
    CHECK(std::count(candidates.begin(), candidates.end(),
                     fleet.nodes[holder]) == 1);
  }
  CHECK(fleet.leases[holders[0]].HeldSlot(fleet.clock.Now()) !=
        fleet.leases[holders[1]].HeldSlot(fleet.clock.Now()));
}

TEST(RelayLease, PlatformCallsDoNotDependOnTheNumberOfNodes) {
  LeaseFleet small(12);
  small.RunFor(seconds(60));
  LeaseFleet large(1100);
  large.RunFor(seconds(60));
  LONGS_EQUAL(small.calls, large.calls);
  // Two holders, each with one read and one write every 2 s.
  LONGS_EQUAL(120, large.calls);
}

TEST(RelayLease, ASlotIsTakenOverWhenItsHolderDies) {
  LeaseFleet fleet(12);
  fleet.RunFor(seconds(10));
  const std::size_t failed = fleet.Holders().front();
  fleet.paused[failed] = true;
  std::vector<NodeId> remaining = fleet.nodes;
  std::erase(remaining, fleet.nodes[failed]);
  for (auto& lease : fleet.leases) {
    lease.OnMembers(remaining);
  }
  fleet.RunFor(seconds(10));
  const auto holders = fleet.Holders();
  LONGS_EQUAL(2, holders.size());
  CHECK(std::count(holders.begin(), holders.end(), failed) == 0);
}

TEST(RelayLease, AHolderPausedPastItsLeaseStepsDownWhenItReturns) {
  LeaseFleet fleet(12);
  fleet.RunFor(seconds(10));
  const std::size_t paused = fleet.Holders().front();
  fleet.paused[paused] = true;
  std::vector<NodeId> remaining = fleet.nodes;
  std::erase(remaining, fleet.nodes[paused]);
  for (std::size_t i = 0; i < fleet.leases.size(); ++i) {
    if (i != paused) {
      fleet.leases[i].OnMembers(remaining);
    }
  }
  fleet.RunFor(seconds(20));
  CHECK(!fleet.leases[paused].HeldSlot(fleet.clock.Now()));
  // It renews from its stale state, without reading the slots first.
  const auto renewal = fleet.leases[paused].Decide(fleet.clock.Now());
  fleet.Write(fleet.leases[paused], *renewal);
  CHECK(!fleet.leases[paused].HeldSlot(fleet.clock.Now()));
  fleet.paused[paused] = false;
  fleet.RunFor(seconds(4));
  LONGS_EQUAL(2, fleet.Holders().size());
}

TEST(RelayLease, ARenewedLeaseIsNeverTakenOver) {
  LeaseFleet fleet(12);
  fleet.RunFor(seconds(10));
  const auto holders = fleet.Holders();
  // The other nodes consider themselves the only member, but must still wait.
  for (std::size_t i = 0; i < fleet.leases.size(); ++i) {
    if (std::count(holders.begin(), holders.end(), i) == 0) {
      fleet.leases[i].OnMembers({fleet.nodes[i]});
    }
  }
  fleet.RunFor(seconds(60));
  CHECK(fleet.Holders() == holders);
}

TEST(RelayLease, AHolderHandsOverToTheNewCandidates) {
  LeaseFleet fleet(40);
  const std::vector<NodeId> initial_members(fleet.nodes.begin(),
                                            fleet.nodes.begin() + 3);
  for (auto& lease : fleet.leases) {
    lease.OnMembers(initial_members);
  }
  fleet.RunFor(seconds(10));
  for (auto& lease : fleet.leases) {
    lease.OnMembers(fleet.nodes);
  }
  fleet.RunFor(seconds(6));
  std::vector<NodeId> holders;
  for (const std::size_t holder : fleet.Holders()) {
    holders.push_back(fleet.nodes[holder]);
  }
  auto candidates = RelayCandidates(kDomain, fleet.nodes);
  std::sort(candidates.begin(), candidates.end());
  std::sort(holders.begin(), holders.end());
  CHECK(holders == candidates);
}

TEST(RelayLease, ADrainingHolderReleasesItsLeaseAtOnce) {
  LeaseFleet fleet(12);
  fleet.RunFor(seconds(10));
  const std::size_t leaving = fleet.Holders().front();
  fleet.leases[leaving].Drain();
  std::vector<NodeId> remaining = fleet.nodes;
  std::erase(remaining, fleet.nodes[leaving]);
  for (auto& lease : fleet.leases) {
    lease.OnMembers(remaining);
  }
  fleet.RunFor(seconds(2));
  fleet.RunFor(seconds(2));
  const auto holders = fleet.Holders();
  LONGS_EQUAL(2, holders.size());
  CHECK(std::count(holders.begin(), holders.end(), leaving) == 0);
}

TEST(RelayLease, ARestartedNodeRenewsItsPreviousLease) {
  LeaseFleet fleet(3);
  fleet.RunFor(seconds(10));
  const std::size_t restarted = fleet.Holders().front();
  fleet.leases[restarted] =
      RelayLease({.self = fleet.nodes[restarted],
                  .domain = kDomain,
                  .peer_address = {.address = "127.0.0.1", .port = 2}});
  fleet.leases[restarted].OnMembers(fleet.nodes);
  fleet.Step(restarted);
  CHECK(fleet.leases[restarted].HeldSlot(fleet.clock.Now()).has_value());
}

TEST(RelayLease, ALeaseIsFoundByReadingWhenTheWriteResponseIsLost) {
  LeaseFleet fleet(1);
  RelayLease& lease = fleet.leases.front();
  lease.OnSlots(fleet.ReadSlots(), fleet.clock.Now());
  const auto write = lease.Decide(fleet.clock.Now());
  fleet.store.Put(RelayKey(kDomain, write->slot), ToJson(write->value).dump(),
                  write->expected_version);
  CHECK(!lease.HeldSlot(fleet.clock.Now()));
  fleet.Step(0);
  CHECK(lease.HeldSlot(fleet.clock.Now()) == write->slot);
}

TEST(RelayLease, AMalformedLeaseCountsAsFree) {
  LeaseFleet fleet(2);
  fleet.store.Put(RelayKey(kDomain, 0), "[]");
  fleet.store.Put(RelayKey(kDomain, 1), R"({"node":"x","term":-1})");
  fleet.RunFor(seconds(4));
  LONGS_EQUAL(2, fleet.Holders().size());
}

TEST(RelayLease, ValueRoundTripsThroughJson) {
  const RelayLeaseValue value{
      .node = NodeId("a"),
      .peer_address = {.address = "127.0.0.1", .port = 80},
      .term = 3};
  CHECK(ParseRelayLeaseValue(ToJson(value)) == value);
  nlohmann::json wrong = ToJson(value);
  wrong["peer_address"] = "example.org:80";
  CHECK_THROWS(Error, ParseRelayLeaseValue(wrong));
}
