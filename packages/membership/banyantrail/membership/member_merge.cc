#include "banyantrail/membership/member_merge.h"

#include <algorithm>
#include <string>

namespace banyantrail {
namespace {

/// The record without the fields that are merged separately.
MemberRecord ContentOf(MemberRecord record) {
  record.state = MemberState::kAlive;
  record.applied_revision = {};
  return record;
}

std::string EncodedContentOf(const MemberRecord& record) {
  msgpack::sbuffer buffer;
  msgpack::pack(buffer, ContentOf(record));
  return {buffer.data(), buffer.size()};
}

/// Returns the record with the greater sequence. Equal sequences with different
/// content occur only when two runs of a node took the same incarnation; then
/// the encoding decides, so that every node keeps the same content.
const MemberRecord& RecordWithNewerContent(const MemberRecord& left,
                                           const MemberRecord& right) {
  if (left.sequence != right.sequence) {
    return left.sequence > right.sequence ? left : right;
  }
  return EncodedContentOf(left) < EncodedContentOf(right) ? right : left;
}

MemberRecord MergeIncarnations(const MemberRecord& left,
                               const MemberRecord& right) {
  if (left.incarnation != right.incarnation) {
    return left.incarnation > right.incarnation ? left : right;
  }
  MemberRecord merged = RecordWithNewerContent(left, right);
  merged.state = std::max(left.state, right.state);
  return merged;
}

}  // namespace

MemberVersion VersionOf(const MemberRecord& record) {
  return {.node = record.node,
          .incarnation = record.incarnation,
          .sequence = record.sequence,
          .state = record.state};
}

bool IsNewerThan(const MemberVersion& candidate, const MemberVersion& known) {
  if (candidate.incarnation != known.incarnation) {
    return candidate.incarnation > known.incarnation;
  }
  return candidate.sequence > known.sequence || candidate.state > known.state;
}

MemberRecord MergeRecords(const MemberRecord& left, const MemberRecord& right) {
  MemberRecord merged = MergeIncarnations(left, right);
  merged.applied_revision =
      std::max(left.applied_revision, right.applied_revision);
  return merged;
}

MemberRecord StateNoticeOf(const MemberRecord& record) {
  return {.node = record.node,
          .region = record.region,
          .domain = record.domain,
          .incarnation = record.incarnation,
          .state = record.state,
          .applied_revision = record.applied_revision};
}

}  // namespace banyantrail
