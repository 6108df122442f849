#pragma once

#include <cstdint>

#include "banyantrail/core/ids.h"

namespace banyantrail {

/// A boot of a backend server that has said that it leaves.
struct Departure {
  BackendServerId id;
  /// Orders the boots of backend servers that follow each other under one id:
  /// greater for a later start. 0 when it is not told.
  std::uint64_t born = 0;

  friend bool operator==(const Departure&, const Departure&) = default;
};

}  // namespace banyantrail
