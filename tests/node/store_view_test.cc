#include "banyantrail/node/store_view.h"

#include <CppUTest/TestHarness.h>

using banyantrail::Revision;
using banyantrail::StoreView;

namespace {

constexpr Revision kOlder{.version = 6, .era = 1, .number = 30};
constexpr Revision kInForce{.version = 7, .era = 1, .number = 34};
constexpr Revision kNewer{.version = 8, .era = 1, .number = 40};

}  // namespace

TEST_GROUP(StoreView) {
  StoreView view;
};

TEST(StoreView, KnowsNothingBeforeTheFirstRead) {
  CHECK(!view.shown());
  LONGS_EQUAL(0, view.era());
  CHECK_FALSE(view.IsBehind(kInForce));
}

TEST(StoreView, IsNotBehindWithWhatIsInForceOrNewer) {
  view.OnRead(kInForce, kInForce);
  CHECK_FALSE(view.IsBehind(kInForce));
  view.OnRead(kNewer, kInForce);
  CHECK_FALSE(view.IsBehind(kInForce));
  CHECK(view.shown() == kNewer);
}

TEST(StoreView, IsBehindWithAnOlderVersionUnderAGreaterNumber) {
  const Revision shown{.version = 6, .era = 2, .number = 50};
  view.OnRead(shown, kInForce);
  CHECK(view.IsBehind(kInForce));
  CHECK(view.shown() == shown);
  LONGS_EQUAL(2, view.era());
}

TEST(StoreView, IsNotBehindWhenTheVersionIsWrittenAgain) {
  view.OnRead({.version = 6, .era = 2, .number = 30}, kInForce);
  view.OnRead({.version = 7, .era = 2, .number = 31}, kInForce);
  CHECK_FALSE(view.IsBehind(kInForce));
}

TEST(StoreView, IsBehindWithoutVersionsAndErasByTheNumber) {
  view.OnRead({.number = 30}, {.number = 34});
  CHECK(view.IsBehind({.number = 34}));
}

TEST(StoreView, IsBehindWithoutConfigurationIfOneIsInForce) {
  view.OnRead({}, kInForce);
  CHECK(view.IsBehind(kInForce));
  CHECK_FALSE(view.shown()->exists());
}

TEST(StoreView, IsNotBehindWithoutConfigurationIfNoneIsInForce) {
  view.OnRead({}, {});
  CHECK_FALSE(view.IsBehind({}));
}

// A pushed configuration is applied before the own watch returns it.
TEST(StoreView, IsNotBehindForAConfigurationAppliedAfterTheRead) {
  view.OnRead(kInForce, kInForce);
  CHECK_FALSE(view.IsBehind(kNewer));
}

// The node missed the newer version, which peers pass on after the change.
TEST(StoreView, IsBehindIfAVersionOfAnEarlierEraIsAppliedAfterTheRead) {
  view.OnRead({.version = 6, .era = 2, .number = 30}, kOlder);
  CHECK_FALSE(view.IsBehind(kOlder));
  CHECK(view.IsBehind(kInForce));
}

TEST(StoreView, ForgetsWhatItDoesNotReadAnyLonger) {
  view.OnRead(kOlder, kInForce);
  view.Forget();
  CHECK(!view.shown());
  LONGS_EQUAL(0, view.era());
  CHECK_FALSE(view.IsBehind(kInForce));
}
