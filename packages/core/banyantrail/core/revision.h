#pragma once

#include <compare>
#include <cstdint>
#include <ostream>
#include <string>
#include <tuple>

namespace banyantrail {

/// A state of the platform's store: its revision counter, which starts again
/// from a lower number when the store comes back from an older copy, within the
/// era, which rises each time. Where a store reports no era, it is 0.
struct StoreRevision {
  std::uint64_t era = 0;
  std::uint64_t number = 0;

  friend auto operator<=>(const StoreRevision& left,
                          const StoreRevision& right) {
    return std::tie(left.era, left.number) <=>
           std::tie(right.era, right.number);
  }
  friend bool operator==(const StoreRevision&, const StoreRevision&) = default;
};

/// Identifies an accepted configuration and defines which of two is newer: the
/// operator's versions never decrease, whatever a store shows that has come
/// back from an older copy.
struct Revision {
  /// The operator's version of the configuration; 0 if it has none.
  std::uint64_t version = 0;
  /// The era of the store in which the configuration was accepted.
  std::uint64_t era = 0;
  /// The store's revision of the configuration in that era. 0 means that there
  /// is no configuration yet.
  std::uint64_t number = 0;

  bool exists() const { return number > 0; }
  StoreRevision stored_at() const { return {.era = era, .number = number}; }

  friend auto operator<=>(const Revision& left, const Revision& right) {
    return std::tie(left.version, left.era, left.number) <=>
           std::tie(right.version, right.era, right.number);
  }
  friend bool operator==(const Revision&, const Revision&) = default;
};

/// The version as the users' operator writes it: lower-case hexadecimal of at
/// least eight digits. Empty if there is none.
std::string VersionText(const Revision& revision);

/// Whether a store that shows `shown` as its newest configuration is known to
/// lack `known`: it has come back from an older copy, and may lack others that
/// this node has never seen.
constexpr bool Lacks(const Revision& shown, const Revision& known) {
  return shown.era > known.era && shown.version < known.version;
}

/// Whether `revision` says anything to a node that has applied `applied`. Nodes
/// of builds from before versions do not send them.
constexpr bool IsComparable(const Revision& revision, const Revision& applied) {
  return revision.version > 0 || applied.version == 0;
}

}  // namespace banyantrail
