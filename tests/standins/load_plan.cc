#include "standins/load_plan.h"

#include <nlohmann/json.hpp>
#include <set>

#include "banyantrail/core/errors.h"

namespace banyantrail::standins {
namespace {

using nlohmann::json;

void CheckKeys(const json& object, const std::set<std::string>& known) {
  for (const auto& [key, value] : object.items()) {
    if (!known.contains(key)) {
      throw Error({.kind = ErrorKind::kInvalidSettings,
                   .message = "unknown key '" + key + "' in the load plan",
                   .remedy = "see tests/standins/load_plan.h"});
    }
  }
}

RequestClass ParseClass(const json& object) {
  CheckKeys(object,
            {"name", "method", "path", "per_second", "body_bytes", "body_ms",
             "deadline_ms", "max_in_flight", "idempotency_keys", "resends",
             "resend_pause_ms", "headers"});
  RequestClass parsed;
  parsed.name = object.at("name");
  parsed.method = object.value("method", parsed.method);
  parsed.path = object.at("path");
  parsed.per_second = object.at("per_second");
  parsed.body_bytes = object.value("body_bytes", parsed.body_bytes);
  parsed.body_duration = milliseconds(object.value("body_ms", 0));
  parsed.deadline =
      milliseconds(object.value("deadline_ms", parsed.deadline.count()));
  parsed.max_in_flight = object.value("max_in_flight", parsed.max_in_flight);
  parsed.idempotency_keys =
      object.value("idempotency_keys", parsed.idempotency_keys);
  parsed.max_retries = object.value("resends", parsed.max_retries);
  parsed.retry_pause =
      milliseconds(object.value("resend_pause_ms", parsed.retry_pause.count()));
  parsed.headers = object.value("headers", parsed.headers);
  return parsed;
}

}  // namespace

LoadPlan ParseLoadPlan(const std::string& text) {
  const json object = json::parse(text);
  CheckKeys(object, {"targets", "duration_ms", "seed", "caller", "classes"});
  LoadPlan plan;
  for (const json& target : object.at("targets")) {
    plan.targets.push_back(ParseIpEndpoint(target.get<std::string>()));
  }
  plan.duration = milliseconds(object.at("duration_ms"));
  plan.seed = object.value("seed", plan.seed);
  plan.caller = object.value("caller", plan.caller);
  for (const json& entry : object.at("classes")) {
    plan.classes.push_back(ParseClass(entry));
  }
  return plan;
}

}  // namespace banyantrail::standins
