#pragma once

#include <string>
#include <vector>

#include "banyantrail/config/change.h"
#include "banyantrail/config/release.h"

namespace banyantrail::ctl {

enum class ChangeKind { kCreated, kChanged, kDeleted };

/// How one field of an object differs.
struct FieldChange {
  std::string field;
  /// The value as JSON text; empty if the field is absent.
  std::string before;
  /// Like `before`.
  std::string after;

  friend bool operator==(const FieldChange&, const FieldChange&) = default;
};

/// How one object differs.
struct ObjectChange {
  std::string key;
  ChangeKind kind = ChangeKind::kChanged;
  /// The fields that differ; only with kChanged.
  std::vector<FieldChange> fields;

  friend bool operator==(const ObjectChange&, const ObjectChange&) = default;
};

/// What applying a directory would change.
struct ReleaseDiff {
  std::vector<ObjectChange> changes;
  /// Keys of objects that the directory lacks and that are kept because pruning
  /// is off.
  std::vector<std::string> kept;

  friend bool operator==(const ReleaseDiff&, const ReleaseDiff&) = default;
};

struct DiffOptions {
  /// Whether objects that the directory lacks are deleted.
  bool prune = false;
};

/// Compares the objects of a release with the desired ones.
ReleaseDiff DiffObjects(const ObjectTexts& base,
                        const ObjectTexts& desired,
                        DiffOptions options);

/// Returns a proposal with the changes of a diff against `base`, without id,
/// author and summary.
ChangeProposal ProposeDiff(const ReleaseDiff& diff,
                           const Release& base,
                           const ObjectTexts& desired);

}  // namespace banyantrail::ctl
