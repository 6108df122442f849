#include "banyantrail/platform/configuration.h"

#include <CppUTest/TestHarness.h>

#include "banyantrail/config/compile.h"
#include "banyantrail/core/errors.h"

using banyantrail::CompiledConfig;
using banyantrail::CompileRelease;
using banyantrail::milliseconds;
using banyantrail::RoutingRuleObject;
using banyantrail::platform::TranslateConfiguration;
using nlohmann::json;

namespace {

const char* const kConfiguration = R"({
  "version": "00000007",
  "services": [{"name": "huvo11a", "health_path": "/health",
                "connection_limit": 130, "protocol": "h1", "tls": false},
               {"name": "wuno96b"}],
  "limits": {"header_bytes": 16384, "body_bytes": 67108864,
             "header_timeout": "3000ms", "idle_timeout": "15s"},
  "virtual_hosts": [
    {"host": "hulo84.example", "paths": [
      {"name": "r-orders", "path_prefix": "/xapu221/ny95/", "kind": "unsafe",
       "timeout": "1500ms", "target_latency": "600ms", "priority": 1,
       "service": "wuno96b", "attempts": 2}]},
    {"host": "jepu9.example", "paths": [
      {"name": "r-lookups", "path_prefix": "/lepu270/", "kind": "safe",
       "timeout": "1.2s", "target_latency": "500ms", "priority": 0,
       "traffic_split": [{"service": "huvo11a", "weight": 90},
                         {"service": "wuno96b", "weight": 10}],
       "attempts": 3}]}]})";

CompiledConfig CompileConfiguration(const json& specification) {
  const auto result = CompileRelease(TranslateConfiguration(specification, 12));
  CHECK(result.config.has_value());
  return *result.config;
}

const RoutingRuleObject& FindRule(const CompiledConfig& config,
                                  const char* name) {
  for (const RoutingRuleObject& rule : config.routing_rules) {
    if (rule.name.str() == name) {
      return rule;
    }
  }
  FAIL("no such rule");
  return config.routing_rules.front();
}

void CheckRejected(const char* pointer, const json& value) {
  json specification = json::parse(kConfiguration);
  specification[json::json_pointer(pointer)] = value;
  CHECK_THROWS(banyantrail::Error, TranslateConfiguration(specification, 1));
}

}  // namespace

TEST_GROUP(Configuration){};

TEST(Configuration, TranslatesToDeclaredObjects) {
  const CompiledConfig config =
      CompileConfiguration(json::parse(kConfiguration));
  LONGS_EQUAL(12, config.revision);
  LONGS_EQUAL(2, config.services.size());
  const RoutingRuleObject& orders = FindRule(config, "r-orders");
  STRCMP_EQUAL("hulo84.example", orders.host.c_str());
  STRCMP_EQUAL("/xapu221/ny95/", orders.path_prefix.c_str());
  STRCMP_EQUAL("wuno96b", orders.service.str().c_str());
  CHECK_FALSE(orders.idempotent);
  CHECK(orders.deadline == milliseconds(1500));
  CHECK(orders.target_latency == milliseconds(600));
  LONGS_EQUAL(2, orders.max_attempts);
}

TEST(Configuration, TrafficSplitKeepsWeights) {
  const CompiledConfig config =
      CompileConfiguration(json::parse(kConfiguration));
  const RoutingRuleObject& lookups = FindRule(config, "r-lookups");
  CHECK(lookups.idempotent);
  CHECK(lookups.deadline == milliseconds(1200));
  LONGS_EQUAL(2, lookups.split.size());
  LONGS_EQUAL(90, lookups.split[0].weight);
}

TEST(Configuration, TranslatesCallerLimits) {
  const CompiledConfig config =
      CompileConfiguration(json::parse(kConfiguration));
  LONGS_EQUAL(1, config.caller_limits.size());
  LONGS_EQUAL(16384, config.caller_limits[0].max_header_bytes);
  CHECK(config.caller_limits[0].idle_timeout == milliseconds(15000));
}

TEST(Configuration, RankSharesFitManyPriorities) {
  json specification = json::parse(kConfiguration);
  json& paths = specification["virtual_hosts"][0]["paths"];
  for (unsigned priority = 2; priority < 40; ++priority) {
    json path = paths[0];
    path["name"] = "r-" + std::to_string(priority);
    path["path_prefix"] = "/p" + std::to_string(priority) + "/";
    path["priority"] = priority;
    paths.push_back(path);
  }
  LONGS_EQUAL(40, CompileConfiguration(specification).ranks.size());
}

TEST(Configuration, RejectsInvalidConfigurations) {
  CheckRejected("/virtual_hosts", json("none"));
  CheckRejected("/virtual_hosts/0/paths/0/kind", json("perhaps"));
  CheckRejected("/virtual_hosts/0/paths/0/timeout", json("soon"));
  CheckRejected("/virtual_hosts/0/paths/0/timeout", json(1500));
  CheckRejected("/virtual_hosts/0/paths/0/attempts", json(-1));
  CheckRejected("/virtual_hosts/0/host", json());
  CheckRejected("/limits", json());
  CheckRejected("/services/1/name", json("huvo11a"));
}

TEST(Configuration, RouteToAnUnknownServiceDoesNotCompile) {
  json specification = json::parse(kConfiguration);
  specification["virtual_hosts"][0]["paths"][0]["service"] = "nowhere";
  const auto result = CompileRelease(TranslateConfiguration(specification, 1));
  CHECK_FALSE(result.config.has_value());
}
