#include "banyantrail/platform/configuration.h"

#include <CppUTest/TestHarness.h>

#include "banyantrail/config/compile.h"
#include "banyantrail/core/digest.h"
#include "banyantrail/core/errors.h"
#include "support/revisions.h"

using banyantrail::CompiledConfig;
using banyantrail::CompileRelease;
using banyantrail::milliseconds;
using banyantrail::RoutingRuleObject;
using banyantrail::platform::TranslateConfiguration;
using banyantrail::testing::At;
using nlohmann::json;

namespace {

/// As at a node.
const banyantrail::CompileOptions kAccepted{
    .checks = banyantrail::ValueChecks::kAccepted};

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
  const auto result =
      CompileRelease(TranslateConfiguration(specification, At(12)), kAccepted);
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
  CHECK_THROWS(banyantrail::Error,
               TranslateConfiguration(specification, At(1)));
}

}  // namespace

TEST_GROUP(Configuration){};

TEST(Configuration, TranslatesToDeclaredObjects) {
  const CompiledConfig config =
      CompileConfiguration(json::parse(kConfiguration));
  LONGS_EQUAL(12, config.revision.number);
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
  CheckRejected("/virtual_hosts/0/paths/0/kind", json());
  CheckRejected("/virtual_hosts/0/paths/0/timeout", json("soon"));
  CheckRejected("/virtual_hosts/0/paths/0/timeout", json(1500));
  CheckRejected("/virtual_hosts/0/paths/0/attempts", json(-1));
  CheckRejected("/virtual_hosts/0/host", json());
  CheckRejected("/limits", json());
  CheckRejected("/services/1/name", json("huvo11a"));
}

// Guards against one route that a later platform version adds taking the whole
// configuration out of force, or its requests reaching the service of a shorter
// prefix.
TEST(Configuration, RouteOfUnknownKindIsDisabledAndTheOthersApply) {
  json specification = json::parse(kConfiguration);
  specification["virtual_hosts"][0]["paths"][0]["kind"] = "perhaps";
  const CompiledConfig config = CompileConfiguration(specification);
  CHECK(FindRule(config, "r-orders").disabled);
  CHECK_FALSE(FindRule(config, "r-orders").idempotent);
  CHECK_FALSE(FindRule(config, "r-lookups").disabled);
}

TEST(Configuration, DownloadsAreIdempotent) {
  json specification = json::parse(kConfiguration);
  specification["virtual_hosts"][0]["paths"][0]["kind"] = "download";
  const CompiledConfig config = CompileConfiguration(specification);
  CHECK(FindRule(config, "r-orders").idempotent);
  CHECK_FALSE(FindRule(config, "r-orders").disabled);
}

TEST(Configuration, TranslatesTenantsToTeamsWithoutTheirKeys) {
  json specification = json::parse(kConfiguration);
  specification["tenants"] = json::parse(
      R"([{"name": "pulo780", "api_keys": ["kmgjqnirth5mgjy5rcpi"],
           "priority": 3, "rate_per_s": 543, "burst": 540},
          {"name": "relo11", "api_keys": []}])");
  specification["virtual_hosts"][0]["paths"][0]["allow_anonymous"] = true;
  const banyantrail::Release release =
      TranslateConfiguration(specification, At(1));
  for (const auto& [key, text] : release.objects) {
    CHECK(text.find("kmgjqnirth5mgjy5rcpi") == std::string::npos);
  }
  const auto result = CompileRelease(release, kAccepted);
  CHECK(result.config.has_value());
  LONGS_EQUAL(2, result.config->teams.size());
  const banyantrail::TeamObject& team = result.config->teams[0];
  STRCMP_EQUAL("pulo780", team.name.str().c_str());
  STRCMP_EQUAL("rank-3", team.rank.str().c_str());
  DOUBLES_EQUAL(543, team.requests_per_s, 0);
  LONGS_EQUAL(540, team.burst);
  STRCMP_EQUAL(banyantrail::Sha256Hex("kmgjqnirth5mgjy5rcpi").c_str(),
               team.key_digests.at(0).c_str());
  CHECK(result.config->teams[1].rank.empty());
  DOUBLES_EQUAL(0, result.config->teams[1].requests_per_s, 0);
  CHECK(FindRule(*result.config, "r-orders").allow_anonymous);
  CHECK_FALSE(FindRule(*result.config, "r-lookups").allow_anonymous);
}

// Guards against keys that stay in use after the last tenant was removed.
TEST(Configuration, AnEmptyListOfTenantsLeavesNoKey) {
  json specification = json::parse(kConfiguration);
  const auto teams_of = [](const json& from) {
    const auto result =
        CompileRelease(TranslateConfiguration(from, At(1)), kAccepted);
    CHECK(result.config.has_value());
    return result.config->teams;
  };
  LONGS_EQUAL(0, teams_of(specification).size());
  specification["tenants"] = json::array();
  const auto teams = teams_of(specification);
  LONGS_EQUAL(1, teams.size());
  CHECK(teams[0].disabled);
  CHECK(teams[0].key_digests.empty());
}

// Guards against a limit that is rounded down to none.
TEST(Configuration, FractionsOfARequestAreARate) {
  json specification = json::parse(kConfiguration);
  specification["tenants"] = json::parse(
      R"([{"name": "a", "api_keys": [], "rate_per_s": 0.8, "burst": 1},
          {"name": "b", "api_keys": [], "rate_per_s": 2.5, "burst": 1},
          {"name": "c", "api_keys": [], "rate_per_s": 0, "burst": 1},
          {"name": "d", "api_keys": [], "rate_per_s": 40.0, "burst": 1},
          {"name": "e", "api_keys": []}])");
  const banyantrail::Release release =
      TranslateConfiguration(specification, At(1));
  const auto result = CompileRelease(release, kAccepted);
  CHECK(result.config.has_value());
  const auto& teams = result.config->teams;
  DOUBLES_EQUAL(0.8, teams[0].requests_per_s, 1e-9);
  DOUBLES_EQUAL(2.5, teams[1].requests_per_s, 1e-9);
  CHECK(teams[2].requests_per_s > 0);
  CHECK(teams[2].requests_per_s < 0.1);
  DOUBLES_EQUAL(0, teams[4].requests_per_s, 0);
  // Nodes of earlier versions read a whole number only.
  for (const auto& [key, text] : release.objects) {
    CHECK(text.find("40.0") == std::string::npos);
  }
}

// Guards against a key that would give its owner the quota of another team.
TEST(Configuration, KeyOfTwoTenantsDoesNotCompile) {
  json specification = json::parse(kConfiguration);
  specification["tenants"] =
      json::parse(R"([{"name": "one", "api_keys": ["shared"]},
                      {"name": "two", "api_keys": ["shared"]}])");
  const auto result =
      CompileRelease(TranslateConfiguration(specification, At(1)), kAccepted);
  CHECK_FALSE(result.config.has_value());
}

// Guards against an odd number that keeps every node from applying the version.
TEST(Configuration, NumbersNeedNotBeWholeOrSmall) {
  json specification = json::parse(kConfiguration);
  json& orders = specification["virtual_hosts"][0]["paths"][0];
  orders["timeout"] = "0.3ms";
  orders["target_latency"] = "0.2ms";
  orders["attempts"] = 20;
  orders["priority"] = 300;
  json& lookups = specification["virtual_hosts"][1]["paths"][0];
  lookups["priority"] = 1.0;
  lookups["traffic_split"][0]["weight"] = 0.5;
  lookups["traffic_split"][1]["weight"] = 0.25;
  specification["limits"]["header_bytes"] = 16384.0;
  specification["limits"]["body_bytes"] = 1e15;
  const CompiledConfig config = CompileConfiguration(specification);
  const RoutingRuleObject& rule = FindRule(config, "r-orders");
  CHECK(rule.deadline == milliseconds(1));
  CHECK(rule.target_latency == milliseconds(1));
  LONGS_EQUAL(20, rule.max_attempts);
  STRCMP_EQUAL("rank-255", rule.rank.str().c_str());
  STRCMP_EQUAL("rank-1", FindRule(config, "r-lookups").rank.str().c_str());
  LONGS_EQUAL(1'000'000, FindRule(config, "r-lookups").split[0].weight);
  LONGS_EQUAL(500'000, FindRule(config, "r-lookups").split[1].weight);
  LONGS_EQUAL(16384, config.caller_limits[0].max_header_bytes);
}

// Guards against a name that two hosts use keeping every node from applying the
// version.
TEST(Configuration, RoutesOfTwoHostsMayHaveTheSameName) {
  json specification = json::parse(kConfiguration);
  specification["virtual_hosts"][0]["host"] = "Hulo84.Example";
  specification["virtual_hosts"][0]["paths"][0]["name"] = "r-lookups";
  const CompiledConfig config = CompileConfiguration(specification);
  LONGS_EQUAL(2, config.routing_rules.size());
  const RoutingRuleObject& rule =
      FindRule(config, "r-lookups@hulo84.example/xapu221/ny95/");
  STRCMP_EQUAL("hulo84.example", rule.host.c_str());
  STRCMP_EQUAL("wuno96b", rule.service.str().c_str());
}

// Guards against a name that ends the header field of its own team, and against
// one team taking the whole configuration out of force.
TEST(Configuration, TeamWithAnUnsendableNameIsDisabledAndTheOthersApply) {
  json specification = json::parse(kConfiguration);
  specification["tenants"] = json::parse(
      R"([{"name": "two\r\nlines", "api_keys": ["a", "a"], "priority": null},
          {"name": "two words", "api_keys": ["b"]}])");
  const CompiledConfig config = CompileConfiguration(specification);
  LONGS_EQUAL(2, config.teams.size());
  CHECK(config.teams[0].disabled);
  LONGS_EQUAL(1, config.teams[0].key_digests.size());
  CHECK_FALSE(config.teams[1].disabled);
}

TEST(Configuration, RouteToAnUnknownServiceDoesNotCompile) {
  json specification = json::parse(kConfiguration);
  specification["virtual_hosts"][0]["paths"][0]["service"] = "nowhere";
  const auto result =
      CompileRelease(TranslateConfiguration(specification, At(1)), kAccepted);
  CHECK_FALSE(result.config.has_value());
}
