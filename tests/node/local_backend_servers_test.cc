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

TEST(LocalBackendServers, HeartbeatAloneIsNoChange) {
  CHECK(servers.Announce(Record("s1"), clock.Now()));
  CHECK_FALSE(servers.Announce(Record("s1"), clock.Now()));
}

TEST(LocalBackendServers, MissingHeartbeatsMarkItDownUntilTheNext) {
  servers.Announce(Record("s1"), clock.Now());
  clock.Advance(seconds(3));
  CHECK(servers.Expire(clock.Now()));
  CHECK(StateOf("s1") == BackendServerState::kDown);
  CHECK(servers.Announce(Record("s1"), clock.Now()));
  CHECK(StateOf("s1") == BackendServerState::kServing);
}

TEST(LocalBackendServers, LongSilenceForgetsIt) {
  servers.Announce(Record("s1"), clock.Now());
  clock.Advance(seconds(60));
  CHECK(servers.Expire(clock.Now()));
  CHECK(servers.Records().empty());
}

TEST(LocalBackendServers, DrainOutlivesLaterHeartbeats) {
  servers.Announce(Record("s1"), clock.Now());
  servers.DrainAll();
  servers.Announce(Record("s1"), clock.Now());
  CHECK(StateOf("s1") == BackendServerState::kDraining);
}

TEST(LocalBackendServers, RefusesMoreThanItsLimit) {
  servers.Announce(Record("s1"), clock.Now());
  servers.Announce(Record("s2"), clock.Now());
  CHECK_THROWS(banyantrail::Error, servers.Announce(Record("s3"), clock.Now()));
}
