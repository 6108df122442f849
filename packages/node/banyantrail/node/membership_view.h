#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <vector>

#include "banyantrail/core/ids.h"
#include "banyantrail/wire/member_record.h"

namespace banyantrail {

/// The membership as this node sees it. Immutable; consecutive views share the
/// records that did not change.
struct MembershipView {
  MemberRecord self;
  /// All known members in any state, including this node, ordered by node.
  std::vector<std::shared_ptr<const MemberRecord>> members;
  /// Differs from that of an earlier view if any record differs in more than
  /// the applied revision. Applied revisions change on every node with each
  /// configuration, and concern only its distribution.
  std::uint64_t version = 0;
  /// The node may be partitioned from its failure domain.
  bool isolated = false;
  /// The complete member table was pulled from a peer since the process
  /// started.
  bool joined = false;
  /// The greatest revision that any member is known to have applied.
  Revision max_applied_revision;
};

/// A view with the given records. Shares with `previous`, which may be null,
/// the records that did not change. The other fields are not set.
MembershipView MakeMembershipView(const std::map<NodeId, MemberRecord>& records,
                                  const MembershipView* previous);

/// The records of `current` that are new or differ from those of `previous` in
/// more than the applied revision.
std::vector<std::shared_ptr<const MemberRecord>> ChangedMembers(
    const MembershipView& previous,
    const MembershipView& current);

}  // namespace banyantrail
