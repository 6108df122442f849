#pragma once

#include <cstdint>

#include "banyantrail/core/ids.h"

namespace banyantrail {

/// A backend server process that has announced a drain or has deregistered.
struct Departure {
  BackendServerId id;
  /// Orders successive processes of backend servers with the same id: greater
  /// for a later start. 0 when not reported.
  std::uint64_t generation = 0;

  friend bool operator==(const Departure&, const Departure&) = default;
};

}  // namespace banyantrail
