#include "banyantrail/traffic/running_requests.h"

#include <CppUTest/TestHarness.h>

using banyantrail::RunningRequests;

TEST_GROUP(RunningRequests) {
  RunningRequests running;
};

TEST(RunningRequests, CallIsNamedAfterARequestThatRunsHere) {
  running.Add("a1");
  CHECK(running.IsCall("a1.77"));
  CHECK_FALSE(running.IsCall("a1"));
  CHECK_FALSE(running.IsCall("b2.77"));
}

TEST(RunningRequests, NestedCallBelongsToTheInnermostRequest) {
  running.Add("a1.77");
  CHECK(running.IsCall("a1.77.3"));
  CHECK_FALSE(running.IsCall("a1.78"));
}

TEST(RunningRequests, EndOfTheRequestEndsItsCalls) {
  running.Add("a1");
  running.Add("a1");
  running.Remove("a1");
  CHECK(running.IsCall("a1.77"));
  running.Remove("a1");
  CHECK_FALSE(running.IsCall("a1.77"));
  running.Remove("a1");
  LONGS_EQUAL(0, running.size());
}

TEST(RunningRequests, RequestWithoutNameIsNotNoted) {
  running.Add("");
  CHECK_FALSE(running.IsCall(".77"));
}
