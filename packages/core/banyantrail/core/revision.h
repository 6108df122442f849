#pragma once

#include <compare>
#include <cstdint>
#include <ostream>

namespace banyantrail {

/// A state of the platform's store: its revision counter, which starts again
/// from a lower number when the store comes back from an older copy, within the
/// era, which rises each time. Where a store reports no era, it is 0.
struct StoreRevision {
  std::uint64_t era = 0;
  std::uint64_t number = 0;

  friend std::strong_ordering operator<=>(const StoreRevision& left,
                                          const StoreRevision& right) {
    return left.number <=> right.number;
  }
  friend bool operator==(const StoreRevision& left,
                         const StoreRevision& right) {
    return left.number == right.number;
  }
};

/// Identifies an accepted configuration and defines which of two is newer.
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

  friend std::strong_ordering operator<=>(const Revision& left,
                                          const Revision& right) {
    return left.number <=> right.number;
  }
  friend bool operator==(const Revision& left, const Revision& right) {
    return left.number == right.number;
  }
};

}  // namespace banyantrail
