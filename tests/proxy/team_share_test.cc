// A team that floods the queue of an owner node.

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <string>
#include <vector>

#include "banyantrail/core/digest.h"
#include "proxy/request_path.h"

using banyantrail::milliseconds;
using banyantrail::seconds;
using banyantrail::Sha256Hex;
using banyantrail::TeamName;
using banyantrail::test::CallerResponse;
using banyantrail::test::ReadBackendRequest;
using banyantrail::test::RequestPath;
using banyantrail::test::WriteText;
namespace asio = boost::asio;
namespace beast = boost::beast;

namespace {

/// More than the backend server's slots and its queue hold.
constexpr std::size_t kFlood = 30;

}  // namespace

TEST_GROUP(TeamShare) {
  bool finish = false;
  RequestPath path{Backend(), {.team = "From-Team"}};
  std::vector<CallerResponse> flood{kFlood};

  RequestPath::BackendHandler Backend() {
    return [this](beast::tcp_stream& stream) -> asio::awaitable<void> {
      co_await ReadBackendRequest(stream);
      asio::steady_timer timer(co_await asio::this_coro::executor);
      while (!finish) {
        timer.expires_after(milliseconds(5));
        co_await timer.async_wait(asio::use_awaitable);
      }
      co_await WriteText(stream,
                         "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
      stream.close();
    };
  }

  /// Sends more requests than fit; returns once the surplus is refused.
  void Flood(const std::string& field) {
    path.SetRule(seconds(5), false);
    for (std::size_t i = 0; i < kFlood; ++i) {
      path.StartSend("GET /orders HTTP/1.1\r\nHost: mesh\r\n" + field +
                         std::to_string(i) + "\r\n\r\n",
                     {}, flood[i]);
    }
    const auto is_complete = [this] {
      return std::ranges::any_of(flood, &CallerResponse::complete) &&
             path.owner_requests() + CompleteCount() == kFlood;
    };
    CHECK(path.RunUntil(is_complete));
  }

  std::size_t CompleteCount() const {
    return static_cast<std::size_t>(
        std::ranges::count(flood, true, &CallerResponse::complete));
  }

  /// Lets the backend server answer, and waits for all responses.
  void Finish() {
    finish = true;
    CHECK(path.RunUntil([this] { return CompleteCount() == kFlood; }));
  }
};

// The refusals of the flooding team must not turn the other team away, neither
// at the owner node nor through the entry node's refusal cache.
TEST(TeamShare, FloodOfOneTeamLeavesRoomForAnother) {
  path.teams = {{.name = TeamName("flooding"), .key_digests = {Sha256Hex("f")}},
                {.name = TeamName("other"), .key_digests = {Sha256Hex("o")}}};
  Flood("Authorization: Bearer f\r\nx-number: ");
  for (const CallerResponse& response : flood) {
    if (response.complete) {
      LONGS_EQUAL(503, response.status);
      STRCMP_EQUAL("not-run", response.outcome.c_str());
      STRCMP_EQUAL("team_share", response.reason.c_str());
    }
  }
  CallerResponse other;
  path.StartSend(
      // The refusal cache applies to requests that have less time left.
      "GET /orders HTTP/1.1\r\nHost: mesh\r\nAuthorization: Bearer o\r\n"
      "x-banyantrail-deadline-ms: 3000\r\n\r\n",
      {}, other);
  path.RunUntil([] { return false; }, milliseconds(50));
  CHECK_FALSE(other.complete);
  Finish();
  CHECK(path.RunUntil([&] { return other.complete; }));
  LONGS_EQUAL(200, other.status);
}

// Without declared teams the field comes from the caller, who could claim any
// team.
TEST(TeamShare, TeamThatACallerClaimsIsIgnored) {
  Flood("From-Team: claimed\r\nx-number: ");
  const auto by_share =
      std::ranges::count(flood, "team_share", &CallerResponse::reason);
  const auto by_queue =
      std::ranges::count(flood, "queue_full", &CallerResponse::reason);
  LONGS_EQUAL(0, by_share);
  CHECK(by_queue > 0);
  Finish();
}
