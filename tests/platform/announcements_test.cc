#include "banyantrail/platform/announcements.h"

#include <CppUTest/TestHarness.h>

#include <optional>
#include <string>

#include "banyantrail/core/errors.h"

using banyantrail::Announcement;
using banyantrail::BackendServerState;
using banyantrail::Departure;
using banyantrail::HttpRequest;
using banyantrail::milliseconds;
using banyantrail::NodeServices;
using banyantrail::platform::HandleAnnouncementRequest;
using banyantrail::platform::HandleReadinessRequest;
using banyantrail::platform::ParseHeartbeat;
namespace http = banyantrail::http;

namespace {

const std::string kHeartbeat =
    R"({"service":"huvo11a","address":"10.128.0.9:8080","zone":"a",)"
    R"("version":"v1","slots":12,"state":"ready","cold_remaining":"1200ms",)"
    R"("sequence":4,"born":1767225600000})";

std::string HeartbeatWith(const std::string& from, const std::string& to) {
  std::string heartbeat = kHeartbeat;
  heartbeat.replace(heartbeat.find(from), from.size(), to);
  return heartbeat;
}

}  // namespace

TEST_GROUP(Announcements) {
  banyantrail::asio::io_context io;
  banyantrail::NodeSettings settings;
  banyantrail::Metrics metrics;
  bool ready = false;
  std::optional<Announcement> announced;
  std::optional<Departure> departed;

  NodeServices Node() {
    return {
        .io = io,
        .settings = settings,
        .metrics = metrics,
        .announce = [this](Announcement heartbeat) { announced = heartbeat; },
        .deregister = [this](Departure departure) { departed = departure; },
        .is_ready = [this] { return ready; }};
  }

  unsigned Send(http::verb verb, const char* target, std::string body = {}) {
    HttpRequest request(verb, target, 11);
    request.body() = std::move(body);
    return HandleAnnouncementRequest(request, Node()).result_int();
  }
};

TEST(Announcements, ParsesHeartbeat) {
  LONGS_EQUAL(200, Send(http::verb::put, "/-/instances/i-7", kHeartbeat));
  STRCMP_EQUAL("i-7", announced->record.id.str().c_str());
  STRCMP_EQUAL("huvo11a", announced->record.service.str().c_str());
  LONGS_EQUAL(12, announced->record.slots);
  CHECK(announced->record.state == BackendServerState::kServing);
  CHECK(announced->generation == 1767225600000);
  CHECK(announced->sequence == 4);
  CHECK(announced->warm_up_remaining == milliseconds(1200));
  STRCMP_EQUAL("v1", announced->record.version.c_str());
}

TEST(Announcements, ParsesDrainingHeartbeat) {
  const Announcement heartbeat =
      ParseHeartbeat("i-7", HeartbeatWith("ready", "draining"));
  CHECK(heartbeat.record.state == BackendServerState::kDraining);
}

TEST(Announcements, RejectsInvalidHeartbeats) {
  for (const std::string& body :
       {std::string("{"), std::string("[]"), std::string(""),
        HeartbeatWith("ready", "asleep"), HeartbeatWith("\"huvo11a\"", "7"),
        HeartbeatWith("10.128.0.9:8080", "somewhere"),
        HeartbeatWith("12", "-1"), HeartbeatWith("12", "0"),
        HeartbeatWith("\"sequence\":4", "\"sequence\":\"4\"")}) {
    LONGS_EQUAL_TEXT(400, Send(http::verb::put, "/-/instances/i-7", body),
                     body.c_str());
  }
  CHECK_FALSE(announced.has_value());
}

// The id stands in the path, which may hold any bytes.
TEST(Announcements, RejectsAnIdThatIsNoText) {
  for (const char* target : {"/-/instances/i-7f\xff\xfe", "/-/instances/"}) {
    LONGS_EQUAL(400, Send(http::verb::put, target, kHeartbeat));
    LONGS_EQUAL(400, Send(http::verb::delete_, target));
  }
  CHECK_FALSE(announced.has_value());
  CHECK_FALSE(departed.has_value());
}

TEST(Announcements, DepartureMayContainGeneration) {
  LONGS_EQUAL(200, Send(http::verb::delete_, "/-/instances/i-7"));
  CHECK(departed->generation == 0);
  Send(http::verb::delete_, "/-/instances/i-7", R"({"born":5})");
  CHECK(departed->generation == 5);
}

TEST(Announcements, UnknownRequestsAreNotFound) {
  LONGS_EQUAL(404, Send(http::verb::get, "/-/instances/i-7"));
  LONGS_EQUAL(404, Send(http::verb::put, "/elsewhere", kHeartbeat));
}

TEST(Announcements, ReportsReadinessOfTheNode) {
  const HttpRequest request(http::verb::get, "/-/readiness", 11);
  LONGS_EQUAL(503, HandleReadinessRequest(request, Node()).result_int());
  ready = true;
  LONGS_EQUAL(200, HandleReadinessRequest(request, Node()).result_int());
}
