#include "banyantrail/store/json_array_split.h"

#include <CppUTest/TestHarness.h>
#include <rapidcheck.h>

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

using banyantrail::SplitJsonArray;
using nlohmann::json;

TEST_GROUP(JsonArraySplit){};

TEST(JsonArraySplit, TakesTheArrayOutOfTheObject) {
  const auto split = SplitJsonArray(
      R"({"a": [1], "items" : [ {"x":"]"}, 1e999 ,[[]]],"b":2})", "items");
  CHECK(split.has_value());
  LONGS_EQUAL(3, split->elements.size());
  STRCMP_EQUAL(R"({"x":"]"})", std::string(split->elements[0]).c_str());
  STRCMP_EQUAL("1e999", std::string(split->elements[1]).c_str());
  STRCMP_EQUAL("[[]]", std::string(split->elements[2]).c_str());
  CHECK(json::parse(split->rest) ==
        json({{"a", {1}}, {"items", json::array()}, {"b", 2}}));
}

TEST(JsonArraySplit, IgnoresArraysOfNestedObjects) {
  CHECK_FALSE(SplitJsonArray(R"({"a":{"items":[1]}})", "items").has_value());
  CHECK_FALSE(SplitJsonArray(R"({"items":{"items":[1]}})", "items"));
}

TEST(JsonArraySplit, RefusesTextThatIsCutShort) {
  const std::string text = R"({"items":[{"x":"\""},"a"],"b":{}})";
  for (std::size_t size = 0; size < text.find("],"); ++size) {
    CHECK_FALSE(SplitJsonArray(text.substr(0, size), "items").has_value());
  }
}

// For any array of valid values, splitting and parsing give the same elements.
TEST(JsonArraySplit, AgreesWithTheParser) {
  CHECK(rc::check([] {
    const auto texts = *rc::gen::arbitrary<std::vector<std::string>>();
    json items = json::array();
    for (const std::string& text : texts) {
      items.push_back({{"name", text}, {"depth", {{text.size()}}}});
      items.push_back(text);
    }
    const std::string text = json({{"items", items}})
                                 .dump(static_cast<int>(texts.size()) - 1, ' ',
                                       false, json::error_handler_t::replace);
    const auto split = SplitJsonArray(text, "items");
    RC_ASSERT(split.has_value());
    const json expected = json::parse(text)["items"];
    RC_ASSERT(split->elements.size() == expected.size());
    for (std::size_t i = 0; i < expected.size(); ++i) {
      RC_ASSERT(json::parse(split->elements[i]) == expected[i]);
    }
  }));
}

// Text from another writer never makes the splitter read past its end.
TEST(JsonArraySplit, AcceptsAnyBytes) {
  CHECK(rc::check([] {
    const auto noise = *rc::gen::container<std::string>(
        rc::gen::elementOf(std::string(R"({}[]",:\e1 )")));
    SplitJsonArray(noise, "e");
    SplitJsonArray(R"({"e":[)" + noise, "e");
  }));
}
