#pragma once

#include "banyantrail/wire/member_record.h"

namespace banyantrail {

/// Whether a node in this state may still be sent messages and requests.
constexpr bool IsLive(MemberState state) {
  return state == MemberState::kAlive || state == MemberState::kSuspect;
}

/// The version of a record.
MemberVersion VersionOf(const MemberRecord& record);

/// Whether merging `candidate` into a record of version `known` would change
/// it. Both must describe the same node.
bool IsNewerThan(const MemberVersion& candidate, const MemberVersion& known);

/// Joins two records of the same node. The greater incarnation wins whole;
/// within an incarnation the greater sequence gives the content and the greater
/// state the state, so that neither a crossed suspicion nor a crossed update of
/// the content is lost. The greater applied revision is kept in any case. The
/// result does not depend on order or repetition.
MemberRecord MergeRecords(const MemberRecord& left, const MemberRecord& right);

/// A record without content that tells others of `record`'s state.
MemberRecord StateNoticeOf(const MemberRecord& record);

}  // namespace banyantrail
