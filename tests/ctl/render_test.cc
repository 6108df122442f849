#include "banyantrail/ctl/render.h"

#include <CppUTest/TestHarness.h>

using banyantrail::ctl::FleetStatus;
using banyantrail::ctl::RevisionText;
using banyantrail::ctl::ShownJson;
using banyantrail::ctl::StoreBehindText;

TEST_GROUP(Render){};

TEST(Render, NamesVersionAndEraOnlyWhereThereAreAny) {
  STRCMP_EQUAL("revision 4", RevisionText(4, "", 0).c_str());
  STRCMP_EQUAL("revision 4, version 0000001a, era 2",
               RevisionText(4, "0000001a", 2).c_str());
}

TEST(Render, SaysWhatToDoWhenTheStoreIsBehind) {
  const FleetStatus fleet{
      .revision = 9,
      .version = "0000001a",
      .era = 1,
      .store = {{.revision = 7, .version = "00000019", .era = 2}},
      .store_is_behind = true};
  STRCMP_EQUAL(
      "the store shows revision 7, version 00000019, era 2, but revision 9, "
      "version 0000001a, era 1 is in force at the queried node: the store has "
      "come back from an older copy, or an older version was written. Write "
      "the newest version again; until then version 0000001a stays in force\n",
      StoreBehindText(fleet).c_str());
}

TEST(Render, NamesTheRevisionInForceWhereThereIsNoVersion) {
  const FleetStatus fleet{
      .revision = 9, .store = {{.revision = 0}}, .store_is_behind = true};
  STRCMP_EQUAL(
      "the store shows no configuration, but revision 9 is in force at the "
      "queried node: the store has come back from an older copy, or an older "
      "version was written. Write the newest version again; until then "
      "revision 9 stays in force\n",
      StoreBehindText(fleet).c_str());
}

TEST(Render, SaysNothingOfAStoreThatIsNotBehind) {
  STRCMP_EQUAL("", StoreBehindText({.revision = 9}).c_str());
  STRCMP_EQUAL(
      "", StoreBehindText({.revision = 9, .store = {{.revision = 9}}}).c_str());
}

TEST(Render, ShowsAnUnknownStoreAsNull) {
  CHECK(ShownJson({.revision = 9}).is_null());
  CHECK(ShownJson({.store = {{.revision = 7, .version = "1a", .era = 2}}}) ==
        nlohmann::json({{"revision", 7}, {"version", "1a"}, {"era", 2}}));
}
