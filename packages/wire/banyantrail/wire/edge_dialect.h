#pragma once

#include <string>

namespace banyantrail {

/// The header names that callers and backend servers of a deployment use.
/// An empty name switches the feature off. The defaults are the project's own;
/// an adapter for another deployment supplies its names.
struct EdgeDialect {
  /// Names one attempt of a caller. Backend servers repeat it in the answer,
  /// which tells a late answer of an earlier request from the awaited one.
  std::string request_id;
  /// Milliseconds that the sender still waits.
  std::string deadline = "x-banyantrail-deadline-ms";
  /// Backend server's proof that it made the answer; required on a success.
  std::string answer_stamp;
  /// Id of the backend server that may run the request; another one refuses.
  std::string expected_server;
  /// Service of the VM where the request began. Set by the system, whatever
  /// the caller sent.
  std::string caller_service;
  /// On a backend server's refusal: it did not run the request.
  std::string not_run = "x-banyantrail-outcome";
  /// The value that `not_run` must have; any when empty.
  std::string not_run_value = "not-run";
  /// Backend servers pass the depth header on with the calls that they make.
  bool carries_depth = true;
  /// Callers take fractions of a second in "Retry-After".
  bool fractional_retry_after = false;
  /// Statuses by which callers tell that a request has not run: a refusal that
  /// proves it is never answered with another server error.
  bool refuses_with_503 = false;

  friend bool operator==(const EdgeDialect&, const EdgeDialect&) = default;
};

}  // namespace banyantrail
