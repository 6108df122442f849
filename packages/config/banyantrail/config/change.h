#pragma once

#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "banyantrail/config/release.h"
#include "banyantrail/core/ids.h"

namespace banyantrail {

/// Objects that one change may write or delete.
inline constexpr std::size_t kMaxChangedObjects = 20'000;

/// A change that an operator proposes, the body of POST /v1/changes.
struct ChangeProposal {
  /// Names the change. A proposal sent again under the same id is not applied
  /// again.
  ChangeId change;
  std::string author;
  std::string summary;
  /// The revision that `expected` was taken from; for people, not decisions.
  Revision base_revision = 0;
  ObjectTexts upserts;
  /// Keys of the objects to delete.
  std::set<std::string> deletes;
  /// For each object in `upserts` and `deletes`: the digest of its text at the
  /// base, or nothing if it was absent there.
  std::map<std::string, std::optional<std::string>> expected;

  friend bool operator==(const ChangeProposal&,
                         const ChangeProposal&) = default;
};

/// A proposal, or all the faults of its JSON.
struct ChangeParseResult {
  /// Empty when there are faults.
  std::optional<ChangeProposal> proposal;
  std::vector<Fault> faults;
};

ChangeParseResult ParseChangeProposal(const nlohmann::json& json);

nlohmann::json ToJson(const ChangeProposal& proposal);

/// An object that somebody else has changed since the proposal's base.
struct ChangeConflict {
  /// "kind/name".
  std::string object;
  std::string detail;

  friend bool operator==(const ChangeConflict&,
                         const ChangeConflict&) = default;
};

/// What to do about conflicts, in words for operators.
inline constexpr std::string_view kConflictRemedy =
    "read these objects as they are now, carry your change over, and apply "
    "again";

/// The objects after a change, or the conflicts that stand in its way.
struct MergeResult {
  /// Empty when there are conflicts.
  ObjectTexts objects;
  std::vector<ChangeConflict> conflicts;
  /// False when every object already is as the proposal wants it.
  bool changes_anything = false;
};

/// Three-way merge of a proposal into the newest release. An object merges if
/// it still is as it was at the proposal's base, or if it already is as the
/// proposal wants it. Whether the result compiles is not looked at.
MergeResult MergeChange(const Release& head, const ChangeProposal& proposal);

}  // namespace banyantrail
