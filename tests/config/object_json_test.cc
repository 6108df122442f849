#include "banyantrail/config/object_json.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <string>
#include <vector>

#include "config/sample_release.h"

using banyantrail::CanonicalJson;
using banyantrail::ConfigObject;
using banyantrail::Fault;
using banyantrail::ObjectParseResult;
using banyantrail::ParseObjectText;
using banyantrail::TeamObject;
using banyantrail::ValueChecks;

namespace {

bool HasFault(const ObjectParseResult& result, const std::string& place) {
  return std::ranges::any_of(result.faults, [&](const Fault& fault) {
    return fault.place == place && !fault.remedy.empty();
  });
}

std::string CanonicalOf(std::string_view text) {
  const ObjectParseResult result = ParseObjectText(text, "test");
  return result.object ? CanonicalJson(*result.object)
                       : result.faults.at(0).place;
}

}  // namespace

TEST_GROUP(ObjectJson){};

TEST(ObjectJson, WritesDefaultsAndSortsKeys) {
  STRCMP_EQUAL(R"({"kind":"service","labels":{},"name":"a"})",
               CanonicalOf(R"( {"name": "a", "kind": "service"} )").c_str());
  STRCMP_EQUAL(
      R"({"deadline_ms":5,"idempotent":false,"kind":"routing_rule",)"
      R"("methods":["GET","HEAD"],"name":"r","path_prefix":"/a","rank":"k",)"
      R"("selector":"s","service":"v"})",
      CanonicalOf(
          R"({"kind":"routing_rule","name":"r","selector":"s","rank":"k",)"
          R"("service":"v","path_prefix":"/a","methods":["HEAD","GET"],)"
          R"("deadline_ms":5})")
          .c_str());
}

TEST(ObjectJson, CanonicalTextOfEveryKindReadsBackUnchanged) {
  const std::vector<std::string> texts = {
      R"({"kind":"service","name":"a","labels":{"tier":"gold"}})",
      R"({"kind":"selector","name":"s","match":[
          {"key":"z","op":"not_in","values":["b","a"]},
          {"key":"y","op":"absent"}]})",
      R"({"kind":"rank","name":"k","priority":3,"share_percent":7})",
      R"({"kind":"routing_rule","name":"r","selector":"s","path_prefix":"/",
          "service":"a","rank":"k","idempotent":true,"deadline_ms":10})",
      R"({"kind":"alert_rule","name":"HighLoad","selector":"s",
          "expression":"load > 3\nor up == 0","hold_for_s":60,
          "severity":"page","annotations":{"summary":"Last überlastet"}})"};
  for (const std::string& text : texts) {
    const std::string canonical = CanonicalOf(text);
    CHECK(canonical.starts_with("{"));
    STRCMP_EQUAL(canonical.c_str(), CanonicalOf(canonical).c_str());
  }
}

// An object without the limits of pipelining must keep its canonical text, so
// that nodes of an earlier build read it.
TEST(ObjectJson, LimitsOfPipeliningAreOptional) {
  const std::string declared =
      R"({"header_timeout_ms":5,"idle_timeout_ms":5,"kind":"caller_limits",)"
      R"("max_body_bytes":9,"max_header_bytes":9,)";
  const std::string without = declared + R"("name":"l"})";
  STRCMP_EQUAL(without.c_str(), CanonicalOf(without).c_str());
  const std::string with =
      declared + R"("max_pipelined_bytes":7,"max_pipelined_requests":1,)" +
      R"("name":"l"})";
  STRCMP_EQUAL(with.c_str(), CanonicalOf(with).c_str());
}

TEST(ObjectJson, CollectsEveryFaultWithItsPlace) {
  const ObjectParseResult result = ParseObjectText(
      R"({"kind":"routing_rule","name":"r","selector":7,"path_prefix":"orders",
          "methods":["get","GET","GET"],"service":"a b","deadline_ms":0,
          "retries":3})",
      "rules.json[2]");
  CHECK_FALSE(result.object.has_value());
  const std::string object = "rules.json[2]: routing_rule/r: ";
  for (const char* field : {"selector", "path_prefix", "methods[0]", "methods",
                            "service", "rank", "deadline_ms", "retries"}) {
    CHECK_TEXT(HasFault(result, object + field), field);
  }
  LONGS_EQUAL(8, result.faults.size());
}

TEST(ObjectJson, RefusesInvalidRequirements) {
  const ObjectParseResult result = ParseObjectText(
      R"({"kind":"selector","name":"s","match":[{"key":"a","op":"in"},
          {"key":"b","op":"exists","values":["x"]},{"key":"c","op":"near"},
          "d"]})",
      "");
  CHECK(HasFault(result, "selector/s: match[0]: values"));
  CHECK(HasFault(result, "selector/s: match[1]: values"));
  CHECK(HasFault(result, "selector/s: match[2]: op"));
  CHECK(HasFault(result, "selector/s: match[3]"));
}

TEST(ObjectJson, RefusesValuesOutOfBounds) {
  CHECK(HasFault(
      ParseObjectText(R"({"kind":"rank","name":"k","priority":256})", ""),
      "rank/k: priority"));
  CHECK(HasFault(
      ParseObjectText(R"({"kind":"rank","name":"k","priority":-1})", ""),
      "rank/k: priority"));
  const std::string long_name(129, 'n');
  CHECK(HasFault(ParseObjectText(
                     R"({"kind":"service","name":")" + long_name + R"("})", ""),
                 "service/" + long_name + ": name"));
}

TEST(ObjectJson, RefusesPathsThatAreNotNormalized) {
  for (const char* path : {"", "orders", "/orders//", "//orders", "/a/../b",
                           "/a/.", "/a%2Fb", "/a?b", "/a b"}) {
    const std::string text =
        R"({"kind":"routing_rule","name":"r","selector":"s","service":"v",)"
        R"("rank":"k","deadline_ms":5,"path_prefix":")" +
        std::string(path) + R"("})";
    CHECK_TEXT(
        HasFault(ParseObjectText(text, ""), "routing_rule/r: path_prefix"),
        path);
  }
}

TEST(ObjectJson, RefusesUnknownKindDuplicateKeyAndMalformedJson) {
  CHECK(HasFault(ParseObjectText(R"({"kind":"tunnel","name":"t"})", "f"),
                 "f: tunnel/t: kind"));
  CHECK(HasFault(
      ParseObjectText(R"({"kind":"service","name":"a","name":"b"})", "f"),
      "f: name"));
  CHECK(HasFault(ParseObjectText("{\"kind\":\n", "f"), "f"));
  CHECK(HasFault(ParseObjectText(std::string(5000, '['), "f"), "f"));
  CHECK(HasFault(ParseObjectText("[]", "f"), "f: ?/?"));
}

// Guards against a node that refuses what has been accepted, because its own
// limits on declarations are narrower: review/7.
TEST(ObjectJson, LimitsOnDeclarationsDoNotHoldForAcceptedObjects) {
  const auto accepted = [](const std::string& text) {
    return banyantrail::ParseObject(nlohmann::json::parse(text), "",
                                    ValueChecks::kAccepted);
  };
  const auto rule = accepted(
      R"({"kind":"routing_rule","name":"r 1","selector":"s","rank":"k",
          "service":"ü","path_prefix":"/a%20b//","host":"[fd00::1]",
          "max_attempts":20,"deadline_ms":100000000000})");
  CHECK(rule.faults.empty());
  nlohmann::json team = {{"kind", "team"}, {"name", std::string(300, 't')}};
  for (int i = 0; i < 3000; ++i) {
    team["key_digests"].push_back(std::to_string(i / 2));
  }
  const auto parsed = accepted(team.dump());
  CHECK(parsed.faults.empty());
  LONGS_EQUAL(1500, std::get<TeamObject>(*parsed.object).key_digests.size());
}

TEST(ObjectJson, RefusesWhatItCannotRepresentInAcceptedObjects) {
  for (const char* text :
       {R"({"kind":"tunnel","name":"t"})", R"({"kind":"service","name":7})",
        R"({"kind":"rank","name":"k","priority":256})",
        R"({"kind":"rank","name":"k","priority":1,"color":"red"})",
        R"({"kind":"selector","name":"s","match":[{"key":"a","op":"near"}]})",
        R"({"kind":"team","name":"t","burst":4294967296})"}) {
    const ObjectParseResult result = banyantrail::ParseObject(
        nlohmann::json::parse(text), "", ValueChecks::kAccepted);
    CHECK_TEXT(!result.object, text);
    LONGS_EQUAL_TEXT(1, result.faults.size(), text);
  }
}

TEST(ObjectJson, RefusesAnObjectThatIsTooLarge) {
  nlohmann::json annotations;
  for (int i = 0; i < 8; ++i) {
    annotations["a" + std::to_string(i)] = std::string(10'000, 'x');
  }
  const nlohmann::json alert = {
      {"kind", "alert_rule"}, {"name", "a"},
      {"selector", "s"},      {"expression", "up"},
      {"severity", "page"},   {"annotations", annotations}};
  CHECK(HasFault(banyantrail::ParseObject(alert, ""), "alert_rule/a"));
}
