#pragma once

#include <string>
#include <vector>

#include "banyantrail/config/change.h"
#include "banyantrail/config/release.h"

namespace banyantrail::ctl {

enum class ChangeKind { kCreated, kChanged, kDeleted };

/// How one field of an object differs. Empty text stands for "not there".
struct FieldChange {
  std::string field;
  /// JSON.
  std::string before;
  /// JSON.
  std::string after;

  friend bool operator==(const FieldChange&, const FieldChange&) = default;
};

/// How one object differs.
struct ObjectChange {
  std::string key;
  ChangeKind kind = ChangeKind::kChanged;
  /// With kChanged.
  std::vector<FieldChange> fields;

  friend bool operator==(const ObjectChange&, const ObjectChange&) = default;
};

/// What a directory would change.
struct ReleaseDiff {
  std::vector<ObjectChange> changes;
  /// Objects that the directory lacks and that stay, because pruning was not
  /// asked for.
  std::vector<std::string> kept;

  friend bool operator==(const ReleaseDiff&, const ReleaseDiff&) = default;
};

struct DiffOptions {
  /// Whether objects that the directory lacks are deleted.
  bool prune = false;
};

/// Compares a directory's objects with those of a release.
ReleaseDiff DiffObjects(const ObjectTexts& base,
                        const ObjectTexts& wanted,
                        DiffOptions options);

/// Fills the parts of a proposal that follow from a diff against `base`.
ChangeProposal ProposeDiff(const ReleaseDiff& diff,
                           const Release& base,
                           const ObjectTexts& wanted);

}  // namespace banyantrail::ctl
