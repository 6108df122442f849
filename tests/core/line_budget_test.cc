#include "banyantrail/core/line_budget.h"

#include <CppUTest/TestHarness.h>

using banyantrail::LineBudget;
using banyantrail::ManualClock;
using banyantrail::milliseconds;
using banyantrail::seconds;

TEST_GROUP(LineBudget) {
  LineBudget budget{{.lines_per_second = 10, .burst = 5}};
  ManualClock clock;
};

TEST(LineBudget, FloodOfOneKindIsBoundedAndCounted) {
  int written = 0;
  for (int ms = 0; ms < 10'000; ++ms) {
    clock.Advance(milliseconds(1));
    written += budget.Take("refused", clock.Now()) ? 1 : 0;
  }
  CHECK(written <= 5 + 10 * 10);
  clock.Advance(seconds(1));
  const auto left_out = budget.Take("refused", clock.Now());
  CHECK(left_out.has_value());
  CHECK(*left_out > 50);
}

TEST(LineBudget, KindsHaveBudgetsOfTheirOwn) {
  for (int i = 0; i < 20; ++i) {
    budget.Take("refused", clock.Now());
  }
  CHECK(budget.Take("sent_again", clock.Now()) == 0U);
}
