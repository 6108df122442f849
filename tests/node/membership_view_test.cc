#include "banyantrail/node/membership_view.h"

#include <CppUTest/TestHarness.h>

#include <map>
#include <string>

using banyantrail::ChangedMembers;
using banyantrail::MakeMembershipView;
using banyantrail::MemberRecord;
using banyantrail::MembershipView;
using banyantrail::MemberState;
using banyantrail::NodeId;

TEST_GROUP(MembershipView) {
  std::map<NodeId, MemberRecord> records;

  void setup() override {
    for (const char* name : {"n1", "n2", "n3"}) {
      records[NodeId(name)] = {.node = NodeId(name), .incarnation = 1};
    }
  }

  MemberRecord& Record(const char* name) {
    return records.at(NodeId(name));
  }
};

TEST(MembershipView, SharesUnchangedRecords) {
  const MembershipView first = MakeMembershipView(records, nullptr);
  ++Record("n2").sequence;
  const MembershipView second = MakeMembershipView(records, &first);
  CHECK(second.members[0] == first.members[0]);
  CHECK(second.members[1] != first.members[1]);
  CHECK(second.members[2] == first.members[2]);
  CHECK(second.version != first.version);
  const auto changed = ChangedMembers(first, second);
  LONGS_EQUAL(1, changed.size());
  STRCMP_EQUAL("n2", changed[0]->node.str().c_str());
}

// Every node applies every configuration. Routing must not be compiled anew for
// that, nor every member be logged.
TEST(MembershipView, AppliedRevisionsDoNotChangeTheVersion) {
  const MembershipView first = MakeMembershipView(records, nullptr);
  Record("n1").applied_revision = {.number = 7};
  const MembershipView second = MakeMembershipView(records, &first);
  LONGS_EQUAL(first.version, second.version);
  LONGS_EQUAL(7, second.members[0]->applied_revision.number);
  CHECK(ChangedMembers(first, second).empty());
}

TEST(MembershipView, EveryOtherChangeRaisesTheVersion) {
  MembershipView view = MakeMembershipView(records, nullptr);
  const auto is_noticed = [&](std::size_t changed_members) {
    const MembershipView next = MakeMembershipView(records, &view);
    const bool noticed = next.version != view.version &&
                         ChangedMembers(view, next).size() == changed_members &&
                         next.members.size() == records.size();
    view = next;
    return noticed;
  };
  Record("n1").state = MemberState::kSuspect;
  CHECK(is_noticed(1));
  Record("n3").incarnation = 2;
  CHECK(is_noticed(1));
  records[NodeId("n0")] = {.node = NodeId("n0")};
  records[NodeId("n4")] = {.node = NodeId("n4")};
  CHECK(is_noticed(2));
  records.erase(NodeId("n2"));
  CHECK(is_noticed(0));
  records.erase(NodeId("n0"));
  records[NodeId("n5")] = {.node = NodeId("n5")};
  CHECK(is_noticed(1));
}
