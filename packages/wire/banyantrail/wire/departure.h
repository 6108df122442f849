#pragma once

#include <cstdint>

#include "banyantrail/core/ids.h"

namespace banyantrail {

/// A run of a backend server that has announced that it is leaving.
struct Departure {
  BackendServerId id;
  /// Orders successive runs of backend servers with the same id: greater for a
  /// later start. 0 when not reported.
  std::uint64_t generation = 0;

  friend bool operator==(const Departure&, const Departure&) = default;
};

}  // namespace banyantrail
