#include "banyantrail/membership/dissemination_tree.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <string>

using banyantrail::NodeId;
using banyantrail::SplitIntoBranches;
using banyantrail::TreeBranch;

namespace {

std::vector<NodeId> MakeMembers(std::size_t count) {
  std::vector<NodeId> members;
  for (std::size_t i = 0; i < count; ++i) {
    members.emplace_back("n" + std::to_string(i));
  }
  return members;
}

/// Delivers to all branches recursively; returns the depth of the tree and
/// collects the receivers.
std::size_t Deliver(const std::vector<NodeId>& members,
                    std::size_t arity,
                    std::vector<NodeId>& receivers) {
  std::size_t depth = 0;
  for (const TreeBranch& branch : SplitIntoBranches(members, arity)) {
    receivers.push_back(branch.child);
    depth = std::max(depth, 1 + Deliver(branch.subtree, arity, receivers));
  }
  return depth;
}

}  // namespace

TEST_GROUP(DisseminationTree){};

TEST(DisseminationTree, ReachesEachMemberOnce) {
  for (const std::size_t count : {0U, 1U, 4U, 5U, 137U}) {
    std::vector<NodeId> members = MakeMembers(count);
    std::vector<NodeId> receivers;
    Deliver(members, 4, receivers);
    std::sort(members.begin(), members.end());
    std::sort(receivers.begin(), receivers.end());
    CHECK(members == receivers);
  }
}

TEST(DisseminationTree, Reaches1100MembersWithinSixHops) {
  std::vector<NodeId> receivers;
  CHECK(Deliver(MakeMembers(1100), 4, receivers) <= 6);
}

TEST(DisseminationTree, BranchSizesDifferByAtMostOne) {
  const std::vector<TreeBranch> branches =
      SplitIntoBranches(MakeMembers(10), 4);
  UNSIGNED_LONGS_EQUAL(4, branches.size());
  UNSIGNED_LONGS_EQUAL(2, branches.front().subtree.size());
  UNSIGNED_LONGS_EQUAL(1, branches.back().subtree.size());
}
