// Responses of an owner node whose VM has a low-bandwidth link.

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <string>
#include <string_view>
#include <vector>

#include "proxy/request_path.h"

using banyantrail::milliseconds;
using banyantrail::seconds;
using banyantrail::test::CallerResponse;
using banyantrail::test::ReadBackendRequest;
using banyantrail::test::RequestPath;
namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

namespace {

constexpr std::uint64_t kLinkBytesPerS = 2'000'000;
/// The widest link on which responses take turns.
constexpr std::uint64_t kWidestLinkBytesPerS = 20'000'000;
constexpr std::string_view kRequestEnd = " HTTP/1.1\r\nHost: mesh\r\n\r\n";

/// A body in which a lost, doubled or reordered slice shows.
std::string Body(std::size_t size) {
  std::string body;
  while (body.size() < size) {
    body += std::to_string(body.size()) + ' ';
  }
  body.resize(size);
  return body;
}

/// Answers with a body of as many bytes as the request's target ends with;
/// chunked if the target contains "chunked".
asio::awaitable<void> SizedHandler(beast::tcp_stream& stream) {
  const auto request = co_await ReadBackendRequest(stream);
  const std::string target(request.target());
  const std::string body =
      Body(std::stoul(target.substr(target.find_last_of('/') + 1)));
  http::response<http::string_body> response(http::status::ok, 11, body);
  if (target.find("chunked") != std::string::npos) {
    response.chunked(true);
  } else {
    response.prepare_payload();
  }
  boost::system::error_code ignored;
  co_await http::async_write(
      stream, response, asio::redirect_error(asio::use_awaitable, ignored));
  // The node must not send another request on a connection that nobody reads.
  stream.close();
}

std::string Get(std::string_view target) {
  return "GET /orders/" + std::string(target) + std::string(kRequestEnd);
}

}  // namespace

TEST_GROUP(NarrowLink) {
  RequestPath path{SizedHandler, {}, kLinkBytesPerS};
};

TEST(NarrowLink, LargeResponsesArriveCompleteSideBySide) {
  path.SetRule(seconds(5), true);
  const std::vector<std::string> targets = {"300000", "chunked/200000", "20000",
                                            "chunked/16384"};
  std::vector<CallerResponse> responses(targets.size());
  for (std::size_t i = 0; i < targets.size(); ++i) {
    path.StartSend(Get(targets[i]), {}, responses[i]);
  }
  CHECK(path.RunUntil([&] {
    return std::ranges::all_of(responses, &CallerResponse::complete);
  }));
  for (std::size_t i = 0; i < targets.size(); ++i) {
    const auto size =
        std::stoul(targets[i].substr(targets[i].find_last_of('/') + 1));
    LONGS_EQUAL(200, responses[i].status);
    CHECK(responses[i].body == Body(size));
  }
}

// Guards against a small response that waits until a large one is complete.
TEST(NarrowLink, SmallResponseOvertakesALargeOne) {
  path.SetRule(seconds(5), true);
  CallerResponse large;
  CallerResponse small;
  path.StartSend(Get("1000000"), {}, large);
  path.RunUntil([] { return false; }, milliseconds(50));
  path.StartSend(Get("1000"), {}, small);
  CHECK(path.RunUntil([&] { return small.complete; }));
  CHECK_FALSE(large.complete);
  CHECK(path.RunUntil([&] { return large.complete; }));
}

// The response gets too few turns before its deadline. The caller must not take
// the part that it received for a complete response.
TEST(NarrowLink, ResponseThatOutlastsItsDeadlineNeverLooksComplete) {
  path.SetRule(milliseconds(300), true);
  CHECK_FALSE(path.Send(Get("4000000")).complete);
  CHECK_FALSE(path.Send(Get("chunked/4000000")).complete);
}

// A caller that takes nothing must not keep others from the link.
TEST(NarrowLink, StalledReaderDoesNotHoldTheLink) {
  RequestPath wider(SizedHandler, {}, kWidestLinkBytesPerS);
  wider.SetRule(seconds(5), true);
  asio::ip::tcp::socket stalled(wider.io);
  stalled.connect(banyantrail::ToTcpEndpoint(wider.caller_address()));
  asio::write(stalled, asio::buffer(Get("40000000")));
  wider.RunUntil([] { return false; }, milliseconds(500));
  const CallerResponse response = wider.Send(Get("300000"));
  CHECK(response.complete);
  CHECK(response.body == Body(300'000));
  LONGS_EQUAL(1, wider.owner_requests());
  stalled.close();
  CHECK(wider.RunUntil([&] { return wider.owner_requests() == 0; }));
}
