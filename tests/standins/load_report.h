#pragma once

#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <string>

#include "banyantrail/core/clock.h"
#include "standins/latency_record.h"

namespace banyantrail::standins {

/// The outcome of one attempt, as far as the caller can tell.
enum class CallOutcome {
  /// A complete 200 response that belongs to the request.
  kOk,
  /// The response states that the request was not executed, or no byte of it
  /// was
  /// sent.
  kNotRun,
  /// The response states that it is unknown whether the request was executed,
  /// or
  /// no complete response arrived.
  kUnknown,
  /// A response other than 200 that states neither of these.
  kFailed,
  /// A 200 response whose content does not match the request.
  kWrong,
};

/// The name of an outcome in the history and in reports.
std::string ToString(CallOutcome outcome);

/// Results of one class of requests.
struct ClassReport {
  std::uint64_t sent = 0;
  std::uint64_t retries = 0;
  std::uint64_t skipped = 0;
  std::uint64_t ok_within_deadline = 0;
  std::map<std::string, std::uint64_t> outcomes;
  /// Number of attempts without success by reason.
  std::map<std::string, std::uint64_t> reasons;
  /// Time from the scheduled start of a request to the end of its response, for
  /// successful requests.
  LatencyRecord latency;
};

/// The report of one class. `duration` is the planned duration of the load.
nlohmann::json ToJson(const ClassReport& report, milliseconds duration);

}  // namespace banyantrail::standins
