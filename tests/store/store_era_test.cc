#include "banyantrail/store/store_era.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <string>
#include <vector>

using banyantrail::StoreEra;
using Verdict = StoreEra::Verdict;

TEST_GROUP(StoreEra) {
  std::vector<std::string> events;
  StoreEra era{[this](const std::string& event) { events.push_back(event); }};

  /// The verdict on the response to a call that is sent now.
  Verdict Call(std::optional<std::string_view> header) {
    return era.OnResponse(era.OnSent(), header);
  }

  std::ptrdiff_t Count(const std::string& event) const {
    return std::ranges::count(events, event);
  }
};

TEST(StoreEra, TheFirstEraIsNoChange) {
  CHECK(Call(std::nullopt) == Verdict::kCurrent);
  CHECK(Call("7") == Verdict::kCurrent);
  CHECK(Call("7") == Verdict::kCurrent);
  LONGS_EQUAL(7, era.known());
  LONGS_EQUAL(0, era.changes());
  CHECK(events.empty());
}

TEST(StoreEra, ChangesByOneByMoreAndDownwards) {
  Call("7");
  for (const char* header : {"8", "11", "3"}) {
    CHECK(Call(header) == Verdict::kChanged);
    CHECK(Call(header) == Verdict::kCurrent);
    LONGS_EQUAL(std::stoull(header), era.known());
  }
  LONGS_EQUAL(3, era.changes());
  LONGS_EQUAL(3, Count("store_era_changed"));
}

TEST(StoreEra, ALowerEraOfAnEarlierCallIsOutdated) {
  Call("7");
  const StoreEra::Ticket before = era.OnSent();
  const StoreEra::Ticket revealing = era.OnSent();
  const StoreEra::Ticket last_before = era.OnSent();
  CHECK(era.OnResponse(revealing, "8") == Verdict::kChanged);
  CHECK(era.OnResponse(before, "7") == Verdict::kOutdated);
  CHECK(era.OnResponse(last_before, "7") == Verdict::kOutdated);
  LONGS_EQUAL(8, era.known());
  LONGS_EQUAL(1, era.changes());
  CHECK(Call("7") == Verdict::kChanged);
}

TEST(StoreEra, AGreaterEraOfAnEarlierCallIsAChange) {
  Call("7");
  const StoreEra::Ticket before = era.OnSent();
  CHECK(Call("8") == Verdict::kChanged);
  CHECK(era.OnResponse(before, "9") == Verdict::kChanged);
  LONGS_EQUAL(9, era.known());
}

TEST(StoreEra, OddTextKeepsTheKnownEraAndCountsOncePerRun) {
  Call("18446744073709551615");
  for (const char* header :
       {"18446744073709551616", "99999999999999999999999999999", "-1", "+7",
        " 7", "7 ", "0x7", "", "7a", "7.0", "\xff"}) {
    CHECK(Call(header) == Verdict::kCurrent);
  }
  CHECK(Call(std::nullopt) == Verdict::kCurrent);
  CHECK(Call(std::string(100'000, '9')) == Verdict::kCurrent);
  CHECK(era.known() == 18446744073709551615ULL);
  LONGS_EQUAL(1, Count("store_era_odd"));
  CHECK(Call("18446744073709551615") == Verdict::kCurrent);
  Call("\xff");
  LONGS_EQUAL(2, Count("store_era_odd"));
  LONGS_EQUAL(0, era.changes());
}
