#include "banyantrail/traffic/refusal_memory.h"

#include <CppUTest/TestHarness.h>

using banyantrail::BackendServerId;
using banyantrail::EndpointKey;
using banyantrail::ManualClock;
using banyantrail::milliseconds;
using banyantrail::NodeId;
using banyantrail::RefusalMemory;
using banyantrail::RoomRequest;

namespace {

const EndpointKey kOwner{NodeId("n1"), BackendServerId("s1")};
const EndpointKey kOther{NodeId("n2"), BackendServerId("s2")};
constexpr RoomRequest kLookup{.priority = 1, .slack = milliseconds(1200)};

}  // namespace

TEST_GROUP(RefusalMemory) {
  RefusalMemory memory{{.hold = milliseconds(30)}};
  ManualClock clock;

  bool WouldRefuse(const RoomRequest& request) {
    return memory.WouldRefuse(kOwner, request, clock.Now());
  }
};

TEST(RefusalMemory, SpeaksForRequestsThatHaveNoBetterChance) {
  memory.OnRefused(kOwner, kLookup, clock.Now());
  CHECK(WouldRefuse(kLookup));
  CHECK(WouldRefuse({.priority = 2, .slack = milliseconds(800)}));
  CHECK_FALSE(WouldRefuse({.priority = 0, .slack = milliseconds(1200)}));
  CHECK_FALSE(WouldRefuse({.priority = 1, .slack = milliseconds(1300)}));
  CHECK_FALSE(memory.WouldRefuse(kOther, kLookup, clock.Now()));
}

TEST(RefusalMemory, LastsAMoment) {
  memory.OnRefused(kOwner, kLookup, clock.Now());
  clock.Advance(milliseconds(30));
  CHECK_FALSE(WouldRefuse(kLookup));
}

TEST(RefusalMemory, RequestThatIsTakenEndsIt) {
  memory.OnRefused(kOwner, kLookup, clock.Now());
  memory.OnTaken(kOwner);
  CHECK_FALSE(WouldRefuse(kLookup));
}

// Guards against overload traffic between nodes: at 1.7 times the capacity, 700
// of 1,700 requests per second cannot be served, and without the cache each of
// them is sent to three owner nodes.
TEST(RefusalMemory, FloodIsRefusedWhereItArrives) {
  int carried = 0;
  for (int ms = 0; ms < 1000; ++ms) {
    clock.Advance(milliseconds(1));
    const bool has_room = ms % 50 == 0;
    if (WouldRefuse(kLookup)) {
      continue;
    }
    ++carried;
    if (has_room) {
      memory.OnTaken(kOwner);
    } else {
      memory.OnRefused(kOwner, kLookup, clock.Now());
    }
  }
  CHECK(carried <= 2 * 1000 / 30);
}
