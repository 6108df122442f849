#include "banyantrail/node/membership_view.h"

#include <tuple>

namespace banyantrail {
namespace {

/// Only a node itself changes the content of its record, and raises its
/// incarnation or sequence then.
auto VersionOf(const MemberRecord& record) {
  return std::tie(record.incarnation, record.sequence, record.state);
}

bool HasSameContent(const MemberRecord& left, const MemberRecord& right) {
  return VersionOf(left) == VersionOf(right);
}

}  // namespace

MembershipView MakeMembershipView(const std::map<NodeId, MemberRecord>& records,
                                  const MembershipView* previous) {
  static const MembershipView none;
  const MembershipView& known = previous == nullptr ? none : *previous;
  MembershipView view;
  view.members.reserve(records.size());
  bool changed = records.size() != known.members.size();
  auto candidate = known.members.begin();
  for (const auto& [node, record] : records) {
    while (candidate != known.members.end() && (*candidate)->node < node) {
      ++candidate;
    }
    const bool is_known =
        candidate != known.members.end() && (*candidate)->node == node;
    const bool has_same_content =
        is_known && HasSameContent(**candidate, record);
    if (has_same_content &&
        (*candidate)->applied_revision == record.applied_revision) {
      view.members.push_back(*candidate);
    } else {
      view.members.push_back(std::make_shared<const MemberRecord>(record));
    }
    changed = changed || !has_same_content;
  }
  view.version = known.version + (changed ? 1 : 0);
  return view;
}

std::vector<std::shared_ptr<const MemberRecord>> ChangedMembers(
    const MembershipView& previous,
    const MembershipView& current) {
  std::vector<std::shared_ptr<const MemberRecord>> changed;
  auto candidate = previous.members.begin();
  for (const auto& record : current.members) {
    while (candidate != previous.members.end() &&
           (*candidate)->node < record->node) {
      ++candidate;
    }
    const bool is_same = candidate != previous.members.end() &&
                         (*candidate)->node == record->node &&
                         HasSameContent(**candidate, *record);
    if (!is_same) {
      changed.push_back(record);
    }
  }
  return changed;
}

}  // namespace banyantrail
