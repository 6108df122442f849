#pragma once

#include "banyantrail/net/http_types.h"
#include "banyantrail/traffic/routing_snapshot.h"

namespace banyantrail {

/// The team of a request, determined from its key.
struct CallerTeam {
  /// Null if the request carries no key.
  const RoutedTeam* team = nullptr;
  /// The request carries a key of no declared team, or more than one.
  bool has_unknown_key = false;
};

/// Determines the team from the field "Authorization: Bearer KEY". Looks up the
/// key's digest, so the time does not depend on how much of a key is guessed
/// correctly. The result points into `snapshot`.
CallerTeam FindCallerTeam(const http::fields& fields,
                          const RoutingSnapshot& snapshot);

/// Whether the request lacks the key that it needs. Nested calls carry none:
/// they belong to the request during which they are made.
bool IsKeyMissing(const CallerTeam& caller,
                  const Route& route,
                  bool is_nested_call);

}  // namespace banyantrail
