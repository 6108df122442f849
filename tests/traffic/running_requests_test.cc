#include "banyantrail/traffic/running_requests.h"

#include <CppUTest/TestHarness.h>

using banyantrail::RunningRequests;

TEST_GROUP(RunningRequests) {
  RunningRequests running;
};

TEST(RunningRequests, NestedCallNeedsARunningParent) {
  running.Add("a1");
  CHECK(running.IsNestedCall("a1.77"));
  CHECK_FALSE(running.IsNestedCall("a1"));
  CHECK_FALSE(running.IsNestedCall("b2.77"));
}

TEST(RunningRequests, ParentOfANestedCallIsTheInnermostRequest) {
  running.Add("a1.77");
  CHECK(running.IsNestedCall("a1.77.3"));
  CHECK_FALSE(running.IsNestedCall("a1.78"));
}

TEST(RunningRequests, NestedCallsEndWithTheirParent) {
  running.Add("a1");
  running.Add("a1");
  running.Remove("a1");
  CHECK(running.IsNestedCall("a1.77"));
  running.Remove("a1");
  CHECK_FALSE(running.IsNestedCall("a1.77"));
  running.Remove("a1");
  LONGS_EQUAL(0, running.size());
}

TEST(RunningRequests, RequestWithoutIdIsNotTracked) {
  running.Add("");
  CHECK_FALSE(running.IsNestedCall(".77"));
}
