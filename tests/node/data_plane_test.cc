#include "banyantrail/node/data_plane.h"

#include <CppUTest/TestHarness.h>

#include <memory>
#include <stdexcept>
#include <string>
#include <vector>

#include "banyantrail/core/errors.h"
#include "net/http_exchange.h"

namespace asio = boost::asio;
using banyantrail::BackendServerId;
using banyantrail::BackendServerRecord;
using banyantrail::BackendServerState;
using banyantrail::DataPlane;
using banyantrail::Metrics;
using banyantrail::milliseconds;
using banyantrail::NodeSettings;
using banyantrail::ServiceName;
using banyantrail::test::FreeEndpoint;
using banyantrail::test::SendRawRequest;

namespace {

BackendServerRecord Server(const std::string& id, BackendServerState state) {
  return {.id = BackendServerId(id),
          .service = ServiceName("stock"),
          .address = {"127.0.0.1", 1},
          .slots = 4,
          .state = state};
}

}  // namespace

TEST_GROUP(DataPlane) {
  asio::io_context io;
  Metrics metrics;
  NodeSettings settings;
  std::vector<BackendServerRecord> announced;
  int failures = 0;
  std::unique_ptr<DataPlane> data;

  void setup() override {
    settings.heartbeat_interval = milliseconds(100);
    settings.listen.caller = FreeEndpoint(io);
    settings.listen.mesh = FreeEndpoint(io);
    data = std::make_unique<DataPlane>(
        io, metrics, settings,
        DataPlane::Options{.on_backend_servers_changed =
                               [this](auto records) {
                                 announced = std::move(records);
                                 if (failures > 0) {
                                   --failures;
                                   throw std::runtime_error("it failed");
                                 }
                               },
                           .dialect = {.request_id = "Call-Name"}});
  }

  /// Announces and reports whether that was accepted.
  bool Announce(const std::string& id, BackendServerState state) {
    try {
      data->Announce({.record = Server(id, state)});
    } catch (const std::exception&) {
      return false;
    }
    return true;
  }

  bool RunUntilAnnounced(BackendServerState state) {
    constexpr int kRounds = 100;
    for (int i = 0; i < kRounds; ++i) {
      io.run_for(milliseconds(20));
      io.restart();
      if (announced.size() == 1 && announced.front().state == state) {
        return true;
      }
    }
    return false;
  }
};

// After one report with an unreadable id a node acknowledged that its server
// drains, told nobody and went on sending to it.
TEST(DataPlane, AnUnreadableReportDoesNotKeepAServerFromDraining) {
  CHECK(Announce("s1", BackendServerState::kServing));
  CHECK_FALSE(Announce("i-7f\xff\xfe", BackendServerState::kServing));
  CHECK(Announce("s1", BackendServerState::kDraining));
  LONGS_EQUAL(1, announced.size());
  CHECK(announced.front().state == BackendServerState::kDraining);
}

// The same exception ended the housekeeping, so that silent servers were never
// marked down again.
TEST(DataPlane, SilentServerIsMarkedDownAfterAFailure) {
  CHECK(Announce("s1", BackendServerState::kServing));
  failures = 1;
  CHECK(RunUntilAnnounced(BackendServerState::kDown));
  CHECK(Announce("s1", BackendServerState::kServing));
  LONGS_EQUAL(0, failures);
  CHECK(RunUntilAnnounced(BackendServerState::kDown));
}

// The log line of a refusal named a request whose id was no text, and threw.
// The caller's connection was closed without an answer.
TEST(DataPlane, RequestWithAnUnreadableIdGetsItsRefusal) {
  std::string status_line;
  asio::co_spawn(io,
                 SendRawRequest(settings.listen.caller,
                                "GET /stock HTTP/1.1\r\nHost: mesh\r\n"
                                "Call-Name: a\xff\r\n\r\n",
                                status_line),
                 asio::detached);
  io.run_for(milliseconds(200));
  STRCMP_EQUAL("HTTP/1.1 503 Service Unavailable", status_line.c_str());
  LONGS_EQUAL(0, data->requests_in_progress());
}
