#pragma once

#include <string>

namespace banyantrail {

/// The HTTP conventions of a deployment's callers and backend servers, mainly
/// header names. An empty name disables the feature. The defaults are this
/// project's own names; an adapter for another deployment supplies its names.
struct EdgeDialect {
  /// Identifies one attempt of a caller. Backend servers echo it in the
  /// response, so that a late response to an earlier request is not taken for
  /// the expected one.
  std::string request_id;
  /// Milliseconds that the sender will still wait.
  std::string deadline = "x-banyantrail-deadline-ms";
  /// Set by a backend server to prove that it made the response. Required on a
  /// successful response.
  std::string response_stamp;
  /// Id of the backend server that may run the request; any other one refuses
  /// it.
  std::string expected_server;
  /// Service of the VM where the request originated. Always set by the mesh,
  /// whatever the caller sent.
  std::string caller_service;
  /// Team whose key the request carries. If teams are declared, it is always
  /// set by the mesh, whatever the caller sent.
  std::string team = "x-banyantrail-team";
  /// Marks the refusal of a request that the backend server did not run.
  std::string not_run = "x-banyantrail-outcome";
  /// The value that `not_run` must have; any value when empty.
  std::string not_run_value = "not-run";
  /// Backend servers copy the depth header to the calls that they make.
  bool propagates_depth = true;
  /// Callers accept fractions of a second in "Retry-After".
  bool fractional_retry_after = false;
  /// 503 is the only server error that callers take as proof that a request has
  /// not run: a refusal with that proof replaces any other server error by 503.
  bool refuses_with_503 = false;

  friend bool operator==(const EdgeDialect&, const EdgeDialect&) = default;
};

}  // namespace banyantrail
