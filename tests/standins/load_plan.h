#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "banyantrail/core/clock.h"
#include "banyantrail/core/ip_endpoint.h"

namespace banyantrail::standins {

/// Requests of one kind, sent at a given rate whatever the answers.
struct RequestClass {
  std::string name;
  std::string method = "GET";
  /// May hold a query, see backend_session.h for what it can ask for.
  std::string path = "/";
  double per_second = 1;
  std::uint64_t body_bytes = 0;
  /// Time over which the body is spread.
  milliseconds body_time{0};
  milliseconds deadline{1000};
  /// Requests above this number in flight are not sent but counted as skipped.
  std::uint32_t max_in_flight = 1000;
  /// Each request carries an idempotency key of its own.
  bool idempotency_keys = false;
  /// How often a request without a known success is sent again under its key.
  std::uint32_t resends = 0;
  milliseconds resend_pause{50};
  /// Further headers, written as "name: value".
  std::vector<std::string> headers;
};

/// What a run of the load caller sends.
struct LoadPlan {
  /// Caller listeners of nodes, used in turn.
  std::vector<IpEndpoint> targets;
  milliseconds duration{1000};
  std::uint64_t seed = 1;
  /// Name in the history and first part of all request ids.
  std::string caller = "caller";
  std::vector<RequestClass> classes;
};

/// Parses a plan in JSON, see docs/HISTORY.md. Throws on unknown or missing
/// keys.
LoadPlan ParseLoadPlan(const std::string& text);

}  // namespace banyantrail::standins
