#pragma once

#include <cstddef>
#include <vector>

#include "banyantrail/core/ids.h"

namespace banyantrail {

/// One child of a dissemination tree and the members that it forwards to.
struct TreeBranch {
  NodeId child;
  /// Sent with the message, so that the child forwards it without depending on
  /// its own view of the membership.
  std::vector<NodeId> subtree;

  friend bool operator==(const TreeBranch&, const TreeBranch&) = default;
};

/// Splits `members` into at most `arity` branches whose sizes differ by at most
/// one. Each member appears in exactly one branch, in the order given. Each
/// receiver splits its subtree in the same way, so that all n members are
/// reached in about log_arity(n) hops and no member sends to more than `arity`
/// others. `arity` must be greater than 0.
std::vector<TreeBranch> SplitIntoBranches(const std::vector<NodeId>& members,
                                          std::size_t arity);

}  // namespace banyantrail
