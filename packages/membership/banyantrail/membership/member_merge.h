#pragma once

#include "banyantrail/wire/member_record.h"

namespace banyantrail {

/// Whether a node in this state may still be sent messages and requests.
constexpr bool IsLive(MemberState state) {
  return state == MemberState::kAlive || state == MemberState::kSuspect;
}

MemberVersion VersionOf(const MemberRecord& record);

/// Whether merging `candidate` into a record of version `known` would change
/// it. Both must describe the same node.
bool IsNewerThan(const MemberVersion& candidate, const MemberVersion& known);

/// Merges two records of the same node. The greater incarnation wins as a
/// whole; within an incarnation, the content of the greater sequence and the
/// greater state are kept, so that neither a concurrent suspicion nor a
/// concurrent update of the content is lost. The greater applied revision is
/// always kept. The result does not depend on order or repetition.
MemberRecord MergeRecords(const MemberRecord& left, const MemberRecord& right);

/// A record that carries the state of `record` without its content.
MemberRecord StateNoticeOf(const MemberRecord& record);

}  // namespace banyantrail
