#pragma once

#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <string>

#include "banyantrail/core/clock.h"
#include "standins/latency_record.h"

namespace banyantrail::standins {

/// What became of one sending of a request, as the caller sees it.
enum class CallOutcome {
  /// The whole answer to its own request.
  kOk,
  /// The answer says that the request did not run, or no byte of it was sent.
  kNotRun,
  /// The answer says so, or no whole answer came.
  kUnknown,
  /// The backend server answered with a failure.
  kFailed,
  /// An answer with the wrong content.
  kWrong,
};

/// The name of an outcome in histories and reports.
std::string ToString(CallOutcome outcome);

/// Results of one class of requests.
struct ClassReport {
  std::uint64_t sent = 0;
  std::uint64_t resent = 0;
  std::uint64_t skipped = 0;
  std::uint64_t ok_within_deadline = 0;
  std::map<std::string, std::uint64_t> outcomes;
  /// Not-run and unknown outcomes by their reason.
  std::map<std::string, std::uint64_t> reasons;
  /// Of successful requests, from their due time to the whole answer.
  LatencyRecord latency;
};

/// The report of one class over the planned duration.
nlohmann::json ToJson(const ClassReport& report, milliseconds duration);

}  // namespace banyantrail::standins
