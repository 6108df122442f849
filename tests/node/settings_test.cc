#include "banyantrail/node/settings.h"

#include <CppUTest/TestHarness.h>

#include <nlohmann/json.hpp>
#include <string>

#include "banyantrail/core/errors.h"

using banyantrail::Error;
using banyantrail::ParseNodeSettings;

TEST_GROUP(Settings) {
  nlohmann::json json = {{"node", "n1"},
                         {"region", "tw-north"},
                         {"domain", "a"},
                         {"listen",
                          {{"caller", "127.0.0.1:1"},
                           {"mesh", "127.0.0.1:2"},
                           {"peer", "127.0.0.1:3"},
                           {"admin", "127.0.0.1:4"}}},
                         {"platform", {"127.0.0.1:5"}}};

  /// The error message for the settings, or an empty string if they are valid.
  std::string ErrorMessage() {
    try {
      ParseNodeSettings(json.dump(), "n1.json");
    } catch (const Error& error) {
      return error.what();
    }
    return {};
  }
};

TEST(Settings, ParsesCompleteSettings) {
  const auto settings = ParseNodeSettings(json.dump(), "n1.json");
  STRCMP_EQUAL("n1", settings.node.str().c_str());
  LONGS_EQUAL(4, settings.listen.admin.port);
  CHECK(settings.claim_idempotency_keys);
}

TEST(Settings, ErrorNamesUnknownKeyAndLocation) {
  json["listen"]["callers"] = "127.0.0.1:9";
  STRCMP_CONTAINS("n1.json: listen: callers", ErrorMessage().c_str());
}

TEST(Settings, ErrorNamesKeyOfWrongType) {
  json["once_only"] = "yes";
  STRCMP_CONTAINS("once_only", ErrorMessage().c_str());
}

TEST(Settings, RejectsHostNames) {
  json["platform"] = {"platform.example:80"};
  STRCMP_CONTAINS("write it as 127.0.0.1:8080", ErrorMessage().c_str());
}

TEST(Settings, RejectsValueOutOfRange) {
  json["limits"] = {{"max_caller_connections", 0}};
  STRCMP_CONTAINS("max_caller_connections", ErrorMessage().c_str());
}

TEST(Settings, ReadsTheLimitsOfPipelining) {
  json["limits"] = {{"max_pipelined_requests", 3},
                    {"max_pipelined_bytes", 2048}};
  const banyantrail::NodeSettings settings =
      ParseNodeSettings(json.dump(), "n1.json");
  LONGS_EQUAL(3, settings.limits.max_pipelined_requests);
  LONGS_EQUAL(2048, settings.limits.max_pipelined_bytes);
  json["limits"]["max_pipelined_requests"] = 0;
  STRCMP_CONTAINS("max_pipelined_requests", ErrorMessage().c_str());
}

TEST(Settings, RejectsInvalidJson) {
  CHECK_THROWS(Error, ParseNodeSettings("{", "n1.json"));
}
