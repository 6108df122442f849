#include "banyantrail/platform/beats.h"

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
using banyantrail::platform::AnswerAnnouncement;
using banyantrail::platform::AnswerReadiness;
using banyantrail::platform::ParseHeartbeat;
namespace http = banyantrail::http;

namespace {

const std::string kBeat =
    R"({"service":"huvo11a","address":"10.128.0.9:8080","zone":"a",)"
    R"("version":"v1","slots":12,"state":"ready","cold_remaining":"1200ms",)"
    R"("sequence":4,"born":1767225600000})";

std::string With(const std::string& from, const std::string& to) {
  std::string beat = kBeat;
  beat.replace(beat.find(from), from.size(), to);
  return beat;
}

}  // namespace

TEST_GROUP(Beats) {
  banyantrail::asio::io_context io;
  banyantrail::NodeSettings settings;
  banyantrail::Metrics metrics;
  bool ready = false;
  std::optional<Announcement> announced;
  std::optional<Departure> left;

  NodeServices Node() {
    return {.io = io,
            .settings = settings,
            .metrics = metrics,
            .announce = [this](Announcement beat) { announced = beat; },
            .deregister = [this](Departure goodbye) { left = goodbye; },
            .is_ready = [this] { return ready; }};
  }

  unsigned Send(http::verb verb, const char* target, std::string body = {}) {
    HttpRequest request(verb, target, 11);
    request.body() = std::move(body);
    return AnswerAnnouncement(request, Node()).result_int();
  }
};

TEST(Beats, HeartbeatIsTranslated) {
  LONGS_EQUAL(200, Send(http::verb::put, "/-/instances/i-7", kBeat));
  STRCMP_EQUAL("i-7", announced->record.id.str().c_str());
  STRCMP_EQUAL("huvo11a", announced->record.service.str().c_str());
  LONGS_EQUAL(12, announced->record.slots);
  CHECK(announced->record.state == BackendServerState::kServing);
  CHECK(announced->born == 1767225600000);
  CHECK(announced->sequence == 4);
  CHECK(announced->warm_up_remaining == milliseconds(1200));
}

TEST(Beats, DrainingIsTranslated) {
  const Announcement beat = ParseHeartbeat("i-7", With("ready", "draining"));
  CHECK(beat.record.state == BackendServerState::kDraining);
}

TEST(Beats, HeartbeatThatCannotBeReadNamesNoServer) {
  for (const std::string& body :
       {std::string("{"), std::string("[]"), std::string(""),
        With("ready", "asleep"), With("\"huvo11a\"", "7"),
        With("10.128.0.9:8080", "somewhere"), With("12", "-1"), With("12", "0"),
        With("\"sequence\":4", "\"sequence\":\"4\"")}) {
    LONGS_EQUAL_TEXT(400, Send(http::verb::put, "/-/instances/i-7", body),
                     body.c_str());
  }
  CHECK_FALSE(announced.has_value());
}

TEST(Beats, GoodbyeMayNameItsBoot) {
  LONGS_EQUAL(200, Send(http::verb::delete_, "/-/instances/i-7"));
  CHECK(left->born == 0);
  Send(http::verb::delete_, "/-/instances/i-7", R"({"born":5})");
  CHECK(left->born == 5);
}

TEST(Beats, OtherCallsAreUnknown) {
  LONGS_EQUAL(404, Send(http::verb::get, "/-/instances/i-7"));
  LONGS_EQUAL(404, Send(http::verb::put, "/elsewhere", kBeat));
}

TEST(Beats, ReadinessFollowsTheNode) {
  const HttpRequest question(http::verb::get, "/-/readiness", 11);
  LONGS_EQUAL(503, AnswerReadiness(question, Node()).result_int());
  ready = true;
  LONGS_EQUAL(200, AnswerReadiness(question, Node()).result_int());
}
