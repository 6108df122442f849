#include "banyantrail/platform/deployment.h"

#include <CppUTest/TestHarness.h>

#include <nlohmann/json.hpp>
#include <string>

#include "banyantrail/core/errors.h"
#include "banyantrail/platform/wire_values.h"

using banyantrail::milliseconds;
using banyantrail::seconds;
using banyantrail::ToString;
using banyantrail::platform::Deployment;
using banyantrail::platform::ParseDeployment;
using banyantrail::platform::ParseDuration;
using nlohmann::json;

namespace {

const char* const kSettings = R"({
  "node": "sidecar-tw-north-a-1", "role": "node", "zone": "tw-north-a",
  "region": "tw-north", "ip": "10.1.0.41",
  "listen": {"inbound": "10.1.0.41:8624", "outbound": "10.1.0.41:8629",
             "ready": "10.1.0.41:8625", "control": "10.1.0.41:8620"},
  "internal_ports": [7600, 7615], "seeds": [],
  "limits": {"file_descriptors": 4100, "memory_mb": 260, "link_mbps": 7.0},
  "heartbeat_interval": "1500ms",
  "bounds": ["drain=2000ms", "grace=6s", "budget_ratio=0.25",
             "budget_slack=64", "budget_window=10s", "odd"],
  "service": "huvo11a",
  "platform": {"address": "10.200.1.7:8627", "form": "objects"},
  "a_field_of_tomorrow": {"x": 1}})";

/// The error message for settings with one field replaced, or an empty string.
std::string ErrorWith(const char* pointer, const json& value) {
  json settings = json::parse(kSettings);
  settings[json::json_pointer(pointer)] = value;
  try {
    ParseDeployment(settings.dump(), "local.json");
  } catch (const banyantrail::Error& error) {
    return error.what();
  }
  return "";
}

}  // namespace

TEST_GROUP(Deployment){};

TEST(Deployment, TranslatesSettings) {
  const Deployment deployment = ParseDeployment(kSettings, "local.json");
  STRCMP_EQUAL("tw-north-a", deployment.node.domain.str().c_str());
  STRCMP_EQUAL("huvo11a", deployment.node.local_service.str().c_str());
  STRCMP_EQUAL("10.1.0.41:8629",
               ToString(deployment.node.listen.caller).c_str());
  STRCMP_EQUAL("10.1.0.41:8624", ToString(deployment.node.listen.mesh).c_str());
  STRCMP_EQUAL("10.1.0.41:7600", ToString(deployment.node.listen.peer).c_str());
  STRCMP_EQUAL("10.1.0.41:7601",
               ToString(deployment.node.listen.admin).c_str());
  STRCMP_EQUAL("10.200.1.7:8627", ToString(deployment.store).c_str());
  STRCMP_EQUAL("10.1.0.41:8620", ToString(deployment.announcements).c_str());
  STRCMP_EQUAL("10.1.0.41:8625", ToString(deployment.readiness).c_str());
  CHECK_FALSE(deployment.node.claim_idempotency_keys);
}

TEST(Deployment, AppliesBounds) {
  const Deployment deployment = ParseDeployment(kSettings, "local.json");
  CHECK(deployment.node.shutdown.grace_period == seconds(6));
  CHECK(deployment.node.shutdown.drain_delay == seconds(3));
  DOUBLES_EQUAL(0.25, deployment.node.retry_budget.ratio, 1e-9);
  DOUBLES_EQUAL(64, deployment.node.retry_budget.burst, 1e-9);
  CHECK(deployment.node.heartbeat_interval == milliseconds(1500));
  LONGS_EQUAL(7, deployment.node.limits.link_mbit_per_s);
}

TEST(Deployment, ReadsStrictRevocation) {
  CHECK_FALSE(ParseDeployment(kSettings, "local.json").node.revocation.strict);
  json settings = json::parse(kSettings);
  settings["bounds"] = {"strict_revocation=true", "revocation=4000ms"};
  const Deployment deployment = ParseDeployment(settings.dump(), "local.json");
  CHECK(deployment.node.revocation.strict);
  CHECK(deployment.node.revocation.time == seconds(4));
}

// A default in place of a time that cannot be read might be longer than the
// operator allows.
TEST(Deployment, RejectsARevocationTimeThatCannotBeKept) {
  for (const char* time : {"revocation=soon", "revocation=20ms"}) {
    const std::string error =
        ErrorWith("/bounds", {"strict_revocation=true", time});
    CHECK_TEXT(error.find(time) != std::string::npos, error.c_str());
  }
}

TEST(Deployment, RejectsInvalidLinkBandwidth) {
  for (const json& width : {json(0), json(-1.5), json("7")}) {
    const std::string error = ErrorWith("/limits/link_mbps", width);
    CHECK_TEXT(error.find("link_mbps") != std::string::npos, error.c_str());
  }
}

TEST(Deployment, ErrorsNameTheFileInOneLine) {
  for (const char* pointer : {"/zone", "/service", "/listen/outbound",
                              "/internal_ports", "/platform/address"}) {
    const std::string error = ErrorWith(pointer, json());
    CHECK_TEXT(error.find("local.json") != std::string::npos, error.c_str());
    CHECK_TEXT(error.find('\n') == std::string::npos, error.c_str());
  }
  CHECK_THROWS(banyantrail::Error, ParseDeployment("{", "local.json"));
  CHECK_THROWS(banyantrail::Error, ParseDeployment("", "local.json"));
}

TEST(Deployment, DurationsRequireAUnit) {
  CHECK(ParseDuration("1500ms") == milliseconds(1500));
  CHECK(ParseDuration("2.5s") == milliseconds(2500));
  for (const char* text :
       {"", "5", "ms", "-1s", "5m", "1e999s", "nans", "5 s"}) {
    CHECK_TEXT(!ParseDuration(text), text);
  }
}

TEST(Deployment, RollOutsAreOffWithoutTheirBounds) {
  const Deployment off = ParseDeployment(kSettings, "local.json");
  CHECK(off.node.rollouts == banyantrail::RolloutSettings{});
  json settings = json::parse(kSettings);
  settings["bounds"] = {"exposure_share=0.1", "exposure_slack=50",
                        "rollback=4000ms"};
  const Deployment on = ParseDeployment(settings.dump(), "local.json");
  DOUBLES_EQUAL(0.1, on.node.rollouts.exposure_share, 1e-9);
  DOUBLES_EQUAL(50, on.node.rollouts.exposure_slack, 1e-9);
  CHECK(on.node.rollouts.rollback == seconds(4));
}
