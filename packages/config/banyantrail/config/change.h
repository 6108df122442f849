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

/// Maximum number of objects that one change may write or delete.
inline constexpr std::size_t kMaxChangedObjects = 20'000;

/// A change that an operator proposes; the body of POST /v1/changes.
struct ChangeProposal {
  /// Idempotency key: a proposal that is resent under the same id is applied
  /// once.
  ChangeId change;
  std::string author;
  std::string summary;
  /// The revision that `expected` was taken from. Informational; conflicts are
  /// detected by `expected` alone.
  ReleaseNumber base_revision = 0;
  ObjectTexts upserts;
  /// Keys of the objects to delete.
  std::set<std::string> deletes;
  /// For each object in `upserts` and `deletes`: the digest of its text at the
  /// base revision, or nullopt if it did not exist there.
  std::map<std::string, std::optional<std::string>> expected;

  friend bool operator==(const ChangeProposal&,
                         const ChangeProposal&) = default;
};

/// The parsed proposal, or all faults found in its JSON.
struct ChangeParseResult {
  /// Empty when there are faults.
  std::optional<ChangeProposal> proposal;
  std::vector<Fault> faults;
};

ChangeParseResult ParseChangeProposal(const nlohmann::json& json);

nlohmann::json ToJson(const ChangeProposal& proposal);

/// An object that another change has modified since the proposal's base.
struct ChangeConflict {
  /// "kind/name".
  std::string object;
  std::string detail;

  friend bool operator==(const ChangeConflict&,
                         const ChangeConflict&) = default;
};

/// Advice shown to operators whose change was rejected with conflicts.
inline constexpr std::string_view kConflictRemedy =
    "read the current versions of these objects, redo your change on them, and "
    "apply again";

/// The objects after a change, or the conflicts that prevent it.
struct MergeResult {
  /// Empty when there are conflicts.
  ObjectTexts objects;
  std::vector<ChangeConflict> conflicts;
  /// False when every object already has the proposed content.
  bool modified = false;
};

/// Three-way merge of a proposal into the newest release. An object merges if
/// it is unchanged since the proposal's base, or if it already has the proposed
/// content. Does not check that the result compiles.
MergeResult MergeChange(const Release& head, const ChangeProposal& proposal);

}  // namespace banyantrail
