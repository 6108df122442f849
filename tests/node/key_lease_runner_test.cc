#include "banyantrail/node/key_lease_runner.h"
#include "support/revisions.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <memory>
#include <set>
#include <string>
#include <vector>

using banyantrail::BootClock;
using banyantrail::ConfirmationPeers;
using banyantrail::DomainId;
using banyantrail::KeyLeaseRunner;
using banyantrail::MemberRecord;
using banyantrail::MembershipView;
using banyantrail::MemberState;
using banyantrail::Metrics;
using banyantrail::NodeId;
using banyantrail::PeerMessage;
using banyantrail::testing::At;

namespace {

/// Two domains of ten nodes, a0 to a9 and b0 to b9, as seen by one of them.
MembershipView ViewOf(const std::string& self) {
  constexpr int kNodesPerDomain = 10;
  MembershipView view;
  for (const std::string domain : {"a", "b"}) {
    for (int i = 0; i < kNodesPerDomain; ++i) {
      const MemberRecord record{.node = NodeId(domain + std::to_string(i)),
                                .domain = DomainId(domain),
                                .state = MemberState::kAlive};
      if (record.node.str() == self) {
        view.self = record;
      }
      view.members.push_back(std::make_shared<const MemberRecord>(record));
    }
  }
  return view;
}

}  // namespace

TEST_GROUP(KeyLeaseRunner){};

TEST(KeyLeaseRunner, KeysAreAcceptedWithoutStrictRevocation) {
  Metrics metrics;
  KeyLeaseRunner runner({}, metrics, [](const NodeId&, const PeerMessage&) {
    FAIL("a message without strict revocation");
  });
  runner.OnMembers(ViewOf("a1"), {NodeId("a0")});
  runner.OnTick();
  CHECK(runner.MayAcceptKeys(At(1)));
}

// A node without a path to the store accepts keys by the confirmation of a
// peer, of another domain if need be.
TEST(KeyLeaseRunner, AcceptsKeysByTheConfirmationOfAPeer) {
  Metrics metrics;
  KeyLeaseRunner* asking = nullptr;
  std::string asked;
  KeyLeaseRunner watcher({.strict = true}, metrics,
                         [&](const NodeId&, const PeerMessage& message) {
                           CHECK(asking->OnPeerMessage(NodeId("b3"), message));
                         });
  KeyLeaseRunner runner({.strict = true}, metrics,
                        [&](const NodeId& to, const PeerMessage& message) {
                          asked = to.str();
                          CHECK(watcher.OnPeerMessage(NodeId("a1"), message));
                        });
  asking = &runner;
  runner.OnMembers(ViewOf("a1"), {});
  runner.OnRouted(At(7));
  watcher.OnStoreRead(At(7), BootClock::Now());
  CHECK_FALSE(runner.MayAcceptKeys(At(7)));
  runner.OnTick();
  CHECK(runner.MayAcceptKeys(At(7)));
  CHECK_FALSE(runner.MayAcceptKeys(At(6)));
  CHECK_EQUAL('b', asked.front());
}

// If all nodes that cannot reach the store asked the same nodes of another
// domain, these would get the requests of the whole fleet.
TEST(KeyLeaseRunner, NodesAskDifferentNodesOfOtherDomains) {
  std::set<NodeId> asked;
  for (const char* self : {"a0", "a1", "a2", "a3", "a4", "a5"}) {
    const std::vector<NodeId> peers =
        ConfirmationPeers(ViewOf(self), {NodeId("a0"), NodeId("a1")});
    CHECK_FALSE(std::ranges::count(peers, NodeId(self)) > 0);
    CHECK(peers.front() == NodeId("a0") || peers.front() == NodeId("a1"));
    asked.insert(peers.end() - 2, peers.end());
  }
  CHECK(asked.size() > 3);
}
