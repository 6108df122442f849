#include "banyantrail/traffic/refusal_cache.h"

#include <CppUTest/TestHarness.h>

using banyantrail::BackendServerId;
using banyantrail::EndpointKey;
using banyantrail::ManualClock;
using banyantrail::milliseconds;
using banyantrail::NodeId;
using banyantrail::RefusalCache;
using banyantrail::RequestUrgency;

namespace {

const EndpointKey kOwner{NodeId("n1"), BackendServerId("s1")};
const EndpointKey kOtherOwner{NodeId("n2"), BackendServerId("s2")};
constexpr RequestUrgency kLookup{.priority = 1, .slack = milliseconds(1200)};

}  // namespace

TEST_GROUP(RefusalCache) {
  RefusalCache cache{{.ttl = milliseconds(30)}};
  ManualClock clock;

  bool WouldRefuse(const RequestUrgency& urgency) {
    return cache.WouldRefuse(kOwner, urgency, clock.Now());
  }
};

TEST(RefusalCache, AppliesOnlyToRequestsOfNoHigherUrgency) {
  cache.OnRefused(kOwner, kLookup, clock.Now());
  CHECK(WouldRefuse(kLookup));
  CHECK(WouldRefuse({.priority = 2, .slack = milliseconds(800)}));
  CHECK_FALSE(WouldRefuse({.priority = 0, .slack = milliseconds(1200)}));
  CHECK_FALSE(WouldRefuse({.priority = 1, .slack = milliseconds(1300)}));
  CHECK_FALSE(cache.WouldRefuse(kOtherOwner, kLookup, clock.Now()));
}

TEST(RefusalCache, EntriesExpire) {
  cache.OnRefused(kOwner, kLookup, clock.Now());
  clock.Advance(milliseconds(30));
  CHECK_FALSE(WouldRefuse(kLookup));
}

TEST(RefusalCache, AdmittedRequestRemovesTheEntry) {
  cache.OnRefused(kOwner, kLookup, clock.Now());
  cache.OnAdmitted(kOwner);
  CHECK_FALSE(WouldRefuse(kLookup));
}

// Guards against overload traffic between nodes: at 1.7 times the capacity, 700
// of 1,700 requests per second cannot be served, and without the cache each of
// them is sent to three owner nodes.
TEST(RefusalCache, OverloadIsRefusedAtTheEntryNode) {
  int forwarded = 0;
  for (int ms = 0; ms < 1000; ++ms) {
    clock.Advance(milliseconds(1));
    const bool has_capacity = ms % 50 == 0;
    if (WouldRefuse(kLookup)) {
      continue;
    }
    ++forwarded;
    if (has_capacity) {
      cache.OnAdmitted(kOwner);
    } else {
      cache.OnRefused(kOwner, kLookup, clock.Now());
    }
  }
  CHECK(forwarded <= 2 * 1000 / 30);
}
