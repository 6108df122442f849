#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "banyantrail/core/clock.h"
#include "banyantrail/core/ip_endpoint.h"

namespace banyantrail::standins {

/// Requests of one kind, sent as open-loop load with Poisson arrivals.
struct RequestClass {
  std::string name;
  std::string method = "GET";
  /// May contain a query, see backend_session.h for its parameters.
  std::string path = "/";
  double per_second = 1;
  std::uint64_t body_bytes = 0;
  /// Time over which the body is sent; 0 sends it at once.
  milliseconds body_duration{0};
  milliseconds deadline{1000};
  /// While this many requests are in flight, due requests are not sent but
  /// counted as skipped.
  std::uint32_t max_in_flight = 1000;
  /// Whether each request has its own idempotency key.
  bool idempotency_keys = false;
  /// Maximum number of retries of a request that did not succeed, with the same
  /// idempotency key if it has one. Wrong responses are not retried.
  std::uint32_t max_retries = 0;
  milliseconds retry_pause{50};
  /// Additional headers in the form "name: value".
  std::vector<std::string> headers;
};

/// The load of one run of load_caller.
struct LoadPlan {
  /// Caller listeners of nodes, used round robin.
  std::vector<IpEndpoint> targets;
  milliseconds duration{1000};
  std::uint64_t seed = 1;
  /// First part of all request ids.
  std::string caller = "caller";
  std::vector<RequestClass> classes;
};

/// Parses a plan in JSON, see docs/HISTORY.md. Throws on an unknown key and if
/// a required key is missing.
LoadPlan ParseLoadPlan(const std::string& text);

}  // namespace banyantrail::standins
