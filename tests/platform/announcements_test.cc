#include "banyantrail/platform/announcements.h"

#include <CppUTest/TestHarness.h>

#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

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

  banyantrail::HttpResponse Answer(http::verb verb, const char* target,
                                   std::string body) {
    HttpRequest request(verb, target, 11);
    request.body() = std::move(body);
    return HandleAnnouncementRequest(request, Node());
  }

  unsigned Send(http::verb verb, const char* target, std::string body = {}) {
    return Answer(verb, target, std::move(body)).result_int();
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

// A report without a field that the users' page names comes from another
// writer. One without `born` and `zone` brought back a backend server that had
// left.
TEST(Announcements, RejectsAReportWithAnOddFieldAndNamesIt) {
  const nlohmann::json heartbeat = nlohmann::json::parse(kHeartbeat);
  const nlohmann::json nested = {{"value", 1}};
  const nlohmann::json huge = 1e300;
  const std::string no_text("a\x01b");
  for (const auto& [name, value] : heartbeat.items()) {
    std::vector<nlohmann::json> odd = {
        nullptr, nested, nlohmann::json::array(), true, -1, huge, 1.5,
        no_text, ""};
    if (value.is_string()) {
      odd.emplace_back(7);
      odd.emplace_back(std::string(300, 'x'));
    } else {
      odd.emplace_back("7");
    }
    std::vector<nlohmann::json> reports;
    for (const nlohmann::json& each : odd) {
      reports.push_back(heartbeat);
      reports.back()[name] = each;
    }
    reports.push_back(heartbeat);
    reports.back().erase(name);
    for (const nlohmann::json& report : reports) {
      const auto answer =
          Answer(http::verb::put, "/-/instances/i-7", report.dump());
      LONGS_EQUAL_TEXT(400, answer.result_int(), report.dump().c_str());
      CHECK_TEXT(answer.body().find(name + " is") != std::string::npos,
                 answer.body().c_str());
    }
  }
  CHECK_FALSE(announced.has_value());
}

// Later reports would count as those of an earlier process.
TEST(Announcements, RejectsAStartInTheFuture) {
  for (const char* born : {"0", "9999999999999", "18446744073709551615"}) {
    const std::string body = HeartbeatWith("1767225600000", born);
    LONGS_EQUAL_TEXT(400, Send(http::verb::put, "/-/instances/i-7", body),
                     born);
    LONGS_EQUAL_TEXT(400,
                     Send(http::verb::delete_, "/-/instances/i-7",
                          std::string(R"({"born":)") + born + "}"),
                     born);
  }
  CHECK_FALSE(announced.has_value());
  CHECK_FALSE(departed.has_value());
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
