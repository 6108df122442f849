#include "standins/load_report.h"

namespace banyantrail::standins {

std::string ToString(CallOutcome outcome) {
  switch (outcome) {
    case CallOutcome::kOk:
      return "ok";
    case CallOutcome::kNotRun:
      return "not_run";
    case CallOutcome::kUnknown:
      return "unknown";
    case CallOutcome::kFailed:
      return "failed";
    case CallOutcome::kWrong:
      return "wrong";
  }
  return "invalid";
}

nlohmann::json ToJson(const ClassReport& report, milliseconds duration) {
  constexpr double kMicrosPerMilli = 1000;
  const std::chrono::duration<double> length = duration;
  nlohmann::json out = {
      {"sent", report.sent},
      {"resent", report.retries},
      {"skipped", report.skipped},
      {"ok_within_deadline", report.ok_within_deadline},
      {"goodput_per_second",
       static_cast<double>(report.ok_within_deadline) / length.count()},
      {"outcomes", report.outcomes},
      {"reasons", report.reasons}};
  for (const char* name : {"ok", "not_run", "unknown", "failed", "wrong"}) {
    out["outcomes"].emplace(name, 0);
  }
  out["p50_ms"] = report.latency.Percentile(0.5) / kMicrosPerMilli;
  out["p99_ms"] = report.latency.Percentile(0.99) / kMicrosPerMilli;
  out["max_ms"] = report.latency.Percentile(1) / kMicrosPerMilli;
  return out;
}

}  // namespace banyantrail::standins
