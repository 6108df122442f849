#include "banyantrail/node/local_backend_servers.h"

#include <CppUTest/TestHarness.h>

#include "banyantrail/core/errors.h"

using banyantrail::BackendServerId;
using banyantrail::BackendServerRecord;
using banyantrail::BackendServerState;
using banyantrail::LocalBackendServers;
using banyantrail::ManualClock;
using banyantrail::seconds;
using banyantrail::ServiceName;

TEST_GROUP(LocalBackendServers) {
  LocalBackendServers servers{{.max_servers = 2}};
  ManualClock clock;

  static BackendServerRecord Record(const char* id) {
    return {.id = BackendServerId(id),
            .service = ServiceName("orders"),
            .slots = 4};
  }

  BackendServerState StateOf(const char* id) {
    return servers.Find(BackendServerId(id))->state;
  }
};

TEST(LocalBackendServers, RepeatedHeartbeatIsNoChange) {
  CHECK(servers.Announce({.record = Record("s1")}, clock.Now()));
  CHECK_FALSE(servers.Announce({.record = Record("s1")}, clock.Now()));
}

TEST(LocalBackendServers, MissingHeartbeatsMarkServerDown) {
  servers.Announce({.record = Record("s1")}, clock.Now());
  clock.Advance(seconds(3));
  CHECK(servers.Expire(clock.Now()));
  CHECK(StateOf("s1") == BackendServerState::kDown);
  CHECK(servers.Announce({.record = Record("s1")}, clock.Now()));
  CHECK(StateOf("s1") == BackendServerState::kServing);
}

TEST(LocalBackendServers, RemovesServerWithoutHeartbeats) {
  servers.Announce({.record = Record("s1")}, clock.Now());
  clock.Advance(seconds(60));
  CHECK(servers.Expire(clock.Now()));
  CHECK(servers.Records().empty());
}

TEST(LocalBackendServers, HeartbeatDoesNotUndoNodeDrain) {
  servers.Announce({.record = Record("s1")}, clock.Now());
  servers.DrainAll();
  servers.Announce({.record = Record("s1")}, clock.Now());
  CHECK(StateOf("s1") == BackendServerState::kDraining);
}

TEST(LocalBackendServers, RejectsServersAboveTheLimit) {
  servers.Announce({.record = Record("s1")}, clock.Now());
  servers.Announce({.record = Record("s2")}, clock.Now());
  CHECK_THROWS(banyantrail::Error,
               servers.Announce({.record = Record("s3")}, clock.Now()));
}

TEST(LocalBackendServers, LateHeartbeatDoesNotUndoADrain) {
  BackendServerRecord draining = Record("s1");
  draining.state = BackendServerState::kDraining;
  servers.Announce({.record = Record("s1"), .generation = 5, .sequence = 1},
                   clock.Now());
  servers.Announce({.record = draining, .generation = 5, .sequence = 3},
                   clock.Now());
  CHECK_FALSE(servers.Announce(
      {.record = Record("s1"), .generation = 5, .sequence = 2}, clock.Now()));
  CHECK(StateOf("s1") == BackendServerState::kDraining);
  // Neither does a later heartbeat: a process that drains does not return.
  servers.Announce({.record = Record("s1"), .generation = 5, .sequence = 4},
                   clock.Now());
  CHECK(StateOf("s1") == BackendServerState::kDraining);
}

TEST(LocalBackendServers, LateHeartbeatDoesNotRegisterDepartedServer) {
  servers.Announce({.record = Record("s1"), .generation = 5, .sequence = 1},
                   clock.Now());
  CHECK(servers.Deregister({.id = BackendServerId("s1"), .generation = 5},
                           clock.Now()));
  CHECK_FALSE(servers.Announce(
      {.record = Record("s1"), .generation = 5, .sequence = 9}, clock.Now()));
  CHECK(servers.Records().empty());
  // The next process with this id is accepted, and its sequence restarts.
  CHECK(servers.Announce(
      {.record = Record("s1"), .generation = 6, .sequence = 1}, clock.Now()));
}

// The node has just restarted: the backend server leaves before the node has
// heard from it, and a heartbeat that it sent earlier arrives afterwards.
TEST(LocalBackendServers, LateHeartbeatDoesNotRegisterAnUnknownDepartedServer) {
  constexpr std::uint64_t kNow = 1000;
  CHECK_FALSE(
      servers.Deregister({.id = BackendServerId("s1")}, clock.Now(), kNow));
  CHECK_FALSE(servers.Announce(
      {.record = Record("s1"), .generation = 400, .sequence = 9}, clock.Now()));
  CHECK(servers.Records().empty());
  LONGS_EQUAL(1, servers.Departures().size());
  CHECK(servers.Announce(
      {.record = Record("s1"), .generation = kNow + 1, .sequence = 1},
      clock.Now()));
}

TEST(LocalBackendServers, AProcessKeepsItsServiceAndAddress) {
  servers.Announce({.record = Record("s1"), .generation = 5, .sequence = 1},
                   clock.Now());
  BackendServerRecord odd = Record("s1");
  odd.service = ServiceName("another");
  CHECK_THROWS(banyantrail::Error,
               servers.Announce({.record = odd, .generation = 5, .sequence = 2},
                                clock.Now()));
  odd = Record("s1");
  odd.address.port = 1;
  CHECK_THROWS(banyantrail::Error,
               servers.Announce({.record = odd, .generation = 5, .sequence = 2},
                                clock.Now()));
  CHECK(*servers.Find(BackendServerId("s1")) == Record("s1"));
}

TEST(LocalBackendServers, AnUnnumberedAnnouncementIsOlderThanANumberedOne) {
  servers.Announce({.record = Record("s1"), .generation = 5, .sequence = 1},
                   clock.Now());
  BackendServerRecord draining = Record("s1");
  draining.state = BackendServerState::kDraining;
  CHECK_FALSE(
      servers.Announce({.record = draining, .generation = 5}, clock.Now()));
  CHECK(StateOf("s1") == BackendServerState::kServing);
}

// Backend servers that do not announce a generation can return at any time.
TEST(LocalBackendServers, ServerWithoutGenerationReturnsAfterItsDeparture) {
  servers.Deregister({.id = BackendServerId("s1")}, clock.Now(), 1000);
  CHECK(servers.Announce({.record = Record("s1")}, clock.Now()));
}

TEST(LocalBackendServers, IgnoresDepartureOfEarlierProcess) {
  servers.Announce({.record = Record("s1"), .generation = 6, .sequence = 1},
                   clock.Now());
  CHECK_FALSE(servers.Deregister({.id = BackendServerId("s1"), .generation = 5},
                                 clock.Now()));
  CHECK(StateOf("s1") == BackendServerState::kServing);
}

TEST(LocalBackendServers, LaterProcessReplacesServerAtSameAddress) {
  BackendServerRecord first = Record("s1");
  BackendServerRecord second = Record("s2");
  first.address = second.address = {.address = "10.0.0.1", .port = 80};
  servers.Announce({.record = first, .generation = 5, .sequence = 1},
                   clock.Now());
  servers.Announce({.record = second, .generation = 9, .sequence = 1},
                   clock.Now());
  LONGS_EQUAL(1, servers.Records().size());
  // A heartbeat that was delayed by a network partition arrives after its
  // sender has exited.
  CHECK_FALSE(servers.Announce(
      {.record = first, .generation = 5, .sequence = 2}, clock.Now()));
  LONGS_EQUAL(1, servers.Records().size());
}

// The node restarts in between and keeps no state of its own.
TEST(LocalBackendServers, IgnoresLateHeartbeatAfterRestoringDepartures) {
  BackendServerRecord draining = Record("s1");
  draining.state = BackendServerState::kDraining;
  servers.Announce({.record = draining, .generation = 5, .sequence = 3},
                   clock.Now());
  const auto departures = servers.Departures();
  LONGS_EQUAL(1, departures.size());

  LocalBackendServers restarted({.max_servers = 2});
  restarted.Announce({.record = Record("s1"), .generation = 5, .sequence = 1},
                     clock.Now());
  restarted.RestoreDepartures(departures, clock.Now());
  CHECK(restarted.Records().empty());
  CHECK_FALSE(restarted.Announce(
      {.record = Record("s1"), .generation = 5, .sequence = 2}, clock.Now()));
  CHECK(restarted.Records().empty());
  CHECK(restarted.Departures() == departures);
  CHECK(restarted.Announce(
      {.record = Record("s1"), .generation = 6, .sequence = 1}, clock.Now()));
}

TEST(LocalBackendServers, NodeDrainIsNotADeparture) {
  servers.Announce({.record = Record("s1"), .generation = 5, .sequence = 1},
                   clock.Now());
  servers.DrainAll();
  CHECK(servers.Departures().empty());
}

TEST(LocalBackendServers, DeparturesExpire) {
  servers.Announce({.record = Record("s1"), .generation = 5, .sequence = 1},
                   clock.Now());
  servers.Deregister({.id = BackendServerId("s1"), .generation = 5},
                     clock.Now());
  LONGS_EQUAL(1, servers.Departures().size());
  clock.Advance(seconds(60));
  servers.Expire(clock.Now());
  CHECK(servers.Departures().empty());
}

// A report whose id was no text stayed, and each later change failed on it.
TEST(LocalBackendServers, AnAnnouncementWithoutAProperNameChangesNothing) {
  for (const char* id : {"", "i-7f\xff\xfe"}) {
    CHECK_THROWS(banyantrail::Error,
                 servers.Announce({.record = Record(id)}, clock.Now()));
  }
  BackendServerRecord record = Record("s1");
  record.service = ServiceName("stock\xff");
  CHECK_THROWS(banyantrail::Error,
               servers.Announce({.record = record}, clock.Now()));
  CHECK(servers.Records().empty());
}
