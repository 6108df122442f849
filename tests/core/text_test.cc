#include "banyantrail/core/text.h"

#include <CppUTest/TestHarness.h>

#include <nlohmann/json.hpp>
#include <string>

using banyantrail::IsPrintableId;
using banyantrail::kMaxIdBytes;

TEST_GROUP(Text){};

TEST(Text, IdsArePrintableUtf8) {
  CHECK(IsPrintableId("i-7f3a91c2"));
  CHECK(IsPrintableId("caf\xC3\xA9 \xF0\x9F\x8C\xB3"));
  CHECK(IsPrintableId(std::string(kMaxIdBytes, 'a')));
  for (const std::string& text :
       {std::string(), std::string(kMaxIdBytes + 1, 'a'),
        std::string("i-7f\xFF\xFE"), std::string("cut\xC3"),
        std::string("overlong\xC0\xAF"), std::string("surrogate\xED\xA0\x80"),
        std::string("line\n"), std::string("nul\0", 4),
        std::string("delete\x7F"), std::string("c1\xC2\x85")}) {
    CHECK_FALSE(IsPrintableId(text));
  }
}

// Guards against a declared name that ends a header field early.
TEST(Text, FieldValuesArriveAsTheyAre) {
  for (const std::string& text :
       {std::string("two words"), std::string("caf\xC3\xA9"), std::string("a"),
        std::string(300, 't'), std::string("\"quoted\";%,")}) {
    CHECK(banyantrail::IsFieldValue(text));
  }
  for (const std::string& text :
       {std::string(), std::string(" a"), std::string("a "),
        std::string("a\tb"), std::string("a\r\nb"), std::string("a\0", 2),
        std::string("\x7F")}) {
    CHECK_FALSE(banyantrail::IsFieldValue(text));
  }
}

TEST(Text, JsonTextReplacesWhatIsNotUtf8) {
  const std::string text =
      banyantrail::ToJsonText({{"id", std::string("i\xFF")}});
  STRCMP_EQUAL("{\"id\":\"i\xEF\xBF\xBD\"}", text.c_str());
}
