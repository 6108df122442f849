#include "banyantrail/membership/dissemination_tree.h"

#include <algorithm>

namespace banyantrail {

std::vector<TreeBranch> SplitIntoBranches(const std::vector<NodeId>& members,
                                          std::size_t arity) {
  const std::size_t branch_count = std::min(arity, members.size());
  std::vector<TreeBranch> branches;
  branches.reserve(branch_count);
  auto begin = members.begin();
  for (std::size_t i = 0; i < branch_count; ++i) {
    const std::size_t extra_member = i < members.size() % branch_count ? 1 : 0;
    const auto size = static_cast<std::ptrdiff_t>(
        members.size() / branch_count + extra_member);
    const auto end = begin + size;
    branches.push_back({.child = *begin, .subtree = {begin + 1, end}});
    begin = end;
  }
  return branches;
}

}  // namespace banyantrail
