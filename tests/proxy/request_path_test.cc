// Entry and owner stage together, with normal requests and with failures of
// callers and backend servers.

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <array>
#include <boost/beast/http/empty_body.hpp>
#include <string>
#include <string_view>
#include <utility>

#include "banyantrail/core/digest.h"
#include "proxy/request_path.h"

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using banyantrail::BackendServerState;
using banyantrail::milliseconds;
using banyantrail::seconds;
using banyantrail::beast::tcp_stream;
using banyantrail::test::CallerResponse;
using banyantrail::test::FloodResult;
using banyantrail::test::kMaxFloodBytes;
using banyantrail::test::ReadBackendRequest;
using banyantrail::test::RequestPath;
using banyantrail::test::SendFlood;
using banyantrail::test::WriteText;

namespace {

/// Responds to each request with the body of the request.
asio::awaitable<void> EchoHandler(tcp_stream& stream) {
  while (true) {
    const auto request = co_await ReadBackendRequest(stream);
    http::response<http::string_body> response(http::status::ok, 11);
    response.body() = request.body();
    response.prepare_payload();
    co_await http::async_write(stream, response, asio::use_awaitable);
  }
}

/// Responds with the given bytes and closes the connection.
RequestPath::BackendHandler RawResponder(std::string bytes) {
  return [bytes](tcp_stream& stream) -> asio::awaitable<void> {
    co_await ReadBackendRequest(stream);
    co_await WriteText(stream, bytes);
    stream.close();
  };
}

/// Header names and rules of a deployment that differ from the defaults.
const banyantrail::EdgeDialect kStrictDialect{.request_id = "Call-Name",
                                              .deadline = "Time-Left",
                                              .response_stamp = "Proof",
                                              .expected_server = "For-Server",
                                              .caller_service = "From-Service",
                                              .team = "From-Team",
                                              .not_run = "Not-Run",
                                              .not_run_value = "",
                                              .propagates_depth = false,
                                              .fractional_retry_after = true,
                                              .refuses_with_503 = true};

const banyantrail::TeamObject kTeam{
    .name = banyantrail::TeamName("surveyors"),
    .key_digests = {banyantrail::Sha256Hex("secret-1")}};

void ExpectOutcomeUnknown(const CallerResponse& response) {
  LONGS_EQUAL(502, response.status);
  STRCMP_EQUAL("outcome-unknown", response.outcome.c_str());
}

}  // namespace

TEST_GROUP(RequestPath){};

TEST(RequestPath, CallerGetsCompleteResponse) {
  RequestPath path(EchoHandler);
  const CallerResponse response = path.Post("two widgets");
  CHECK(response.complete);
  LONGS_EQUAL(200, response.status);
  STRCMP_EQUAL("two widgets", response.body.c_str());
}

TEST(RequestPath, StreamsLargeBodyInBothDirections) {
  RequestPath path(EchoHandler);
  path.SetRule(seconds(10), false);
  const std::string body(8U << 20U, 'b');
  const CallerResponse response = path.Post(body);
  CHECK(response.complete);
  LONGS_EQUAL(body.size(), response.body.size());
}

// The body is too small to be streamed but too large to be sent before the
// request is admitted.
TEST(RequestPath, BodySentAfterAdmissionArrivesComplete) {
  RequestPath path(EchoHandler);
  const std::string body(32U << 10U, 'b');
  const CallerResponse response = path.Post(body);
  CHECK(response.complete);
  CHECK(body == response.body);
}

TEST(RequestPath, RefusedRequestWithBodyIsNotRun) {
  RequestPath path(EchoHandler);
  path.SetState(BackendServerState::kDraining);
  const CallerResponse response = path.Post(std::string(32U << 10U, 'b'));
  LONGS_EQUAL(503, response.status);
  STRCMP_EQUAL("not-run", response.outcome.c_str());
}

TEST(RequestPath, ChunkedBodyArrivesComplete) {
  RequestPath path(EchoHandler);
  const CallerResponse response = path.Send(
      "POST /orders HTTP/1.1\r\nHost: mesh\r\n"
      "Transfer-Encoding: chunked\r\n\r\n",
      "3\r\ntwo\r\n8\r\n widgets\r\n0\r\n\r\n");
  STRCMP_EQUAL("two widgets", response.body.c_str());
}

TEST(RequestPath, TruncatedResponseIsNotForwarded) {
  RequestPath path(
      RawResponder("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf"));
  ExpectOutcomeUnknown(path.Post("x"));
}

TEST(RequestPath, TruncatedChunkedResponseIsNotForwarded) {
  RequestPath path(RawResponder(
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n"));
  ExpectOutcomeUnknown(path.Post("x"));
}

TEST(RequestPath, LargeResponseTruncatedMidwayIsIncomplete) {
  RequestPath path(
      RawResponder("HTTP/1.1 200 OK\r\nContent-Length: 1000000\r\n\r\n" +
                   std::string(500'000, 'h')));
  const CallerResponse response = path.Post("x");
  CHECK_FALSE(response.complete);
  LONGS_EQUAL(200, response.status);
}

TEST(RequestPath, ResponseDelimitedByCloseIsComplete) {
  RequestPath path(RawResponder("HTTP/1.1 200 OK\r\n\r\nall of it"));
  const CallerResponse response = path.Post("x");
  CHECK(response.complete);
  LONGS_EQUAL(200, response.status);
  STRCMP_EQUAL("all of it", response.body.c_str());
}

TEST(RequestPath, LargeResponseDelimitedByCloseIsComplete) {
  const std::string body(300'000, 'b');
  RequestPath path(RawResponder("HTTP/1.1 200 OK\r\n\r\n" + body));
  const CallerResponse response = path.Post("x");
  CHECK(response.complete);
  LONGS_EQUAL(body.size(), response.body.size());
}

TEST(RequestPath, ResponseWithoutLengthThatIsResetIsNotForwarded) {
  RequestPath path([](tcp_stream& stream) -> asio::awaitable<void> {
    co_await ReadBackendRequest(stream);
    co_await WriteText(stream, "HTTP/1.1 200 OK\r\n\r\nperhaps all of it");
    stream.socket().set_option(asio::socket_base::linger(true, 0));
    stream.close();
  });
  ExpectOutcomeUnknown(path.Post("x"));
}

TEST(RequestPath, DuplicateResponseToEarlierRequestIsSkipped) {
  RequestPath path(
      [](tcp_stream& stream) -> asio::awaitable<void> {
        const auto request = co_await ReadBackendRequest(stream);
        const std::string id(request["Call-Name"]);
        co_await WriteText(
            stream,
            "HTTP/1.1 200 OK\r\nCall-Name: earlier\r\nProof: p\r\n"
            "Content-Length: 5\r\n\r\nstale");
        co_await WriteText(stream,
                           "HTTP/1.1 200 OK\r\nCall-Name: " + id +
                               "\r\nProof: p\r\nContent-Length: 3\r\n\r\nown");
      },
      kStrictDialect);
  const CallerResponse response = path.Send(
      "GET /orders HTTP/1.1\r\nHost: mesh\r\nCall-Name: mine\r\n\r\n");
  LONGS_EQUAL(200, response.status);
  STRCMP_EQUAL("own", response.body.c_str());
}

TEST(RequestPath, SuccessWithoutStampIsNotForwarded) {
  RequestPath path(RawResponder("HTTP/1.1 200 OK\r\nCall-Name: mine\r\n"
                                "Content-Length: 3\r\n\r\nown"),
                   kStrictDialect);
  const CallerResponse response = path.Send(
      "GET /orders HTTP/1.1\r\nHost: mesh\r\nCall-Name: mine\r\n\r\n");
  LONGS_EQUAL(502, response.status);
  STRCMP_EQUAL("malformed_answer", response.reason.c_str());
}

TEST(RequestPath, MisdirectedRequestIsNotRun) {
  RequestPath path(
      RawResponder(
          "HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n"),
      kStrictDialect);
  const CallerResponse response = path.Send(
      "GET /orders HTTP/1.1\r\nHost: mesh\r\nCall-Name: mine\r\n\r\n");
  LONGS_EQUAL(503, response.status);
  STRCMP_EQUAL("not-run", response.outcome.c_str());
  CHECK(!response.retry_after.empty());
}

TEST(RequestPath, SendsDeadlineCallerAndServerIdToBackendServer) {
  http::request<http::string_body> seen;
  RequestPath path(
      [&seen](tcp_stream& stream) -> asio::awaitable<void> {
        seen = co_await ReadBackendRequest(stream);
        stream.close();
      },
      kStrictDialect);
  path.Send(
      "GET /orders HTTP/1.1\r\nHost: mesh\r\nCall-Name: mine\r\n"
      "Time-Left: 200\r\nFrom-Service: forged\r\n"
      "x-banyantrail-priority: 0\r\n\r\n");
  STRCMP_EQUAL("mine", std::string(seen["Call-Name"]).c_str());
  STRCMP_EQUAL("s1", std::string(seen["For-Server"]).c_str());
  STRCMP_EQUAL("checkout", std::string(seen["From-Service"]).c_str());
  const int left = std::stoi(std::string(seen["Time-Left"]));
  CHECK(left > 0 && left <= 200);
  for (const auto& field : seen) {
    CHECK_FALSE(field.name_string().starts_with("x-banyantrail-"));
  }
}

// Guards against a team's key reaching a backend server, and against a caller
// that names another team.
TEST(RequestPath, ReplacesKeyByNameOfItsTeam) {
  http::request<http::string_body> seen;
  RequestPath path(
      [&seen](tcp_stream& stream) -> asio::awaitable<void> {
        seen = co_await ReadBackendRequest(stream);
        stream.close();
      },
      kStrictDialect);
  path.teams = {kTeam};
  path.SetRule(milliseconds(300), false);
  path.Send(
      "GET /orders HTTP/1.1\r\nHost: mesh\r\nCall-Name: mine\r\n"
      "Authorization: bearer secret-1\r\nFrom-Team: another\r\n"
      "from-team: second\r\n\r\n");
  LONGS_EQUAL(1, seen.count("From-Team"));
  STRCMP_EQUAL("surveyors", std::string(seen["From-Team"]).c_str());
  LONGS_EQUAL(0, seen.count("Authorization"));
}

TEST(RequestPath, RequestWithoutKeyOfATeamIsUnauthorized) {
  RequestPath path(EchoHandler);
  path.teams = {kTeam};
  path.SetRule(milliseconds(300), false);
  const std::string head = "GET /orders HTTP/1.1\r\nHost: mesh\r\n";
  LONGS_EQUAL(401, path.Send(head + "\r\n").status);
  LONGS_EQUAL(401,
              path.Send(head + "Authorization: Bearer other\r\n\r\n").status);
  LONGS_EQUAL(401,
              path.Send(head + "Authorization: Basic secret-1\r\n\r\n").status);
  LONGS_EQUAL(401, path.Send(head + "Authorization: Bearer secret-1\r\n"
                                    "Authorization: Bearer other\r\n\r\n")
                       .status);
  LONGS_EQUAL(
      200, path.Send(head + "Authorization: Bearer secret-1\r\n\r\n").status);
}

TEST(RequestPath, AnonymousRouteAcceptsRequestsWithoutKey) {
  http::request<http::string_body> seen;
  RequestPath path([&seen](tcp_stream& stream) -> asio::awaitable<void> {
    seen = co_await ReadBackendRequest(stream);
    stream.close();
  });
  path.teams = {kTeam};
  path.allow_anonymous = true;
  path.SetRule(milliseconds(300), false);
  path.Send(
      "GET /orders HTTP/1.1\r\nHost: mesh\r\n"
      "x-banyantrail-team: surveyors\r\n\r\n");
  STRCMP_EQUAL("/orders", std::string(seen.target()).c_str());
  LONGS_EQUAL(0, seen.count("x-banyantrail-team"));
}

// A key that the store has removed must not be accepted by a node that cannot
// know of it.
TEST(RequestPath, KeysAreRefusedWithoutTheKeyLease) {
  int runs = 0;
  RequestPath path([&runs](tcp_stream& stream) -> asio::awaitable<void> {
    ++runs;
    co_await EchoHandler(stream);
  });
  path.teams = {kTeam};
  path.SetRule(milliseconds(300), false);
  path.key_checks_left = 0;
  const std::string head = "GET /orders HTTP/1.1\r\nHost: mesh\r\n";
  const std::string key = "Authorization: Bearer secret-1\r\n\r\n";
  const CallerResponse refused = path.Send(head + key);
  LONGS_EQUAL(503, refused.status);
  STRCMP_EQUAL("key_lease_expired", refused.reason.c_str());
  STRCMP_EQUAL("not-run", refused.outcome.c_str());
  CHECK_FALSE(refused.retry_after.empty());
  // The key may be one of a newer configuration.
  LONGS_EQUAL(503,
              path.Send(head + "Authorization: Bearer other\r\n\r\n").status);
  LONGS_EQUAL(401, path.Send(head + "\r\n").status);
  LONGS_EQUAL(0, runs);
  path.key_checks_left = 1;
  LONGS_EQUAL(200, path.Send(head + key).status);
  LONGS_EQUAL(1, runs);
}

TEST(RequestPath, AnonymousRequestNeedsNoKeyLease) {
  RequestPath path(EchoHandler);
  path.teams = {kTeam};
  path.allow_anonymous = true;
  path.SetRule(milliseconds(300), false);
  path.key_checks_left = 0;
  LONGS_EQUAL(200,
              path.Send("GET /orders HTTP/1.1\r\nHost: mesh\r\n\r\n").status);
}

// The lease ends between two attempts, for example because the node was frozen.
TEST(RequestPath, RequestIsNotSentAgainWithoutTheKeyLease) {
  RequestPath path(EchoHandler);
  path.teams = {kTeam};
  path.has_second_endpoint = true;
  path.SetRule(milliseconds(300), false);
  path.Deregister();
  path.key_checks_left = 1;
  const CallerResponse refused = path.Send(
      "GET /orders HTTP/1.1\r\nHost: mesh\r\n"
      "Authorization: Bearer secret-1\r\n\r\n");
  LONGS_EQUAL(503, refused.status);
  STRCMP_EQUAL("key_lease_expired", refused.reason.c_str());
}

TEST(RequestPath, UnreachableBackendServerProvesNotRun) {
  RequestPath path(EchoHandler);
  path.StopBackend();
  path.RunUntil([] { return true; });
  const CallerResponse response = path.Post("x");
  LONGS_EQUAL(503, response.status);
  STRCMP_EQUAL("not-run", response.outcome.c_str());
}

TEST(RequestPath, LostResponseIsReportedAsOutcomeUnknown) {
  RequestPath path(RawResponder(""));
  const CallerResponse response = path.Post("x");
  STRCMP_EQUAL("outcome-unknown", response.outcome.c_str());
}

TEST(RequestPath, NonIdempotentRequestWithoutResponseIsNotRetried) {
  int received_count = 0;
  RequestPath path(
      [&received_count](tcp_stream& stream) -> asio::awaitable<void> {
        co_await ReadBackendRequest(stream);
        ++received_count;
        stream.close();
      });
  path.Post("x");
  LONGS_EQUAL(1, received_count);
}

TEST(RequestPath, UnresponsiveBackendServerTimesOutAtDeadline) {
  RequestPath path([](tcp_stream& stream) -> asio::awaitable<void> {
    co_await ReadBackendRequest(stream);
  });
  const CallerResponse response = path.Post("x");
  LONGS_EQUAL(504, response.status);
  STRCMP_EQUAL("outcome-unknown", response.outcome.c_str());
}

TEST(RequestPath, LateResponseNeverReachesNextCaller) {
  int served = 0;
  RequestPath path([&served](tcp_stream& stream) -> asio::awaitable<void> {
    const auto request = co_await ReadBackendRequest(stream);
    asio::steady_timer timer(co_await asio::this_coro::executor);
    timer.expires_after(served++ == 0 ? milliseconds(400) : milliseconds(0));
    co_await timer.async_wait(asio::use_awaitable);
    http::response<http::string_body> response(http::status::ok, 11);
    response.body() = request.body();
    response.prepare_payload();
    co_await http::async_write(stream, response, asio::use_awaitable);
  });
  LONGS_EQUAL(504, path.Post("first").status);
  STRCMP_EQUAL("second", path.Post("second").body.c_str());
}

TEST(RequestPath, DrainingBackendServerGetsNoNewRequests) {
  int received_count = 0;
  RequestPath path(
      [&received_count](tcp_stream& stream) -> asio::awaitable<void> {
        co_await ReadBackendRequest(stream);
        ++received_count;
      });
  path.SetState(BackendServerState::kDraining);
  const CallerResponse response = path.Post("x");
  STRCMP_EQUAL("not-run", response.outcome.c_str());
  STRCMP_EQUAL("draining", response.reason.c_str());
  LONGS_EQUAL(0, received_count);
}

// A backend server may leave without announcing a drain. Requests that waited
// for one of its slots were still sent to it when a slot became free.
TEST(RequestPath, QueuedRequestsAreNotSentToADeregisteredBackendServer) {
  constexpr int kRequests = 5;
  int received_count = 0;
  bool finish = false;
  RequestPath path([&](tcp_stream& stream) -> asio::awaitable<void> {
    co_await ReadBackendRequest(stream);
    ++received_count;
    asio::steady_timer timer(co_await asio::this_coro::executor);
    while (!finish) {
      timer.expires_after(milliseconds(5));
      co_await timer.async_wait(asio::use_awaitable);
    }
    co_await WriteText(stream, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
  });
  path.SetRule(seconds(5), false);
  std::array<CallerResponse, kRequests> responses;
  for (CallerResponse& response : responses) {
    path.StartSend("GET /orders HTTP/1.1\r\nHost: mesh\r\n\r\n", "", response);
  }
  CHECK(path.RunUntil([&] {
    return received_count > 0 && path.owner_requests() == kRequests;
  }));
  const int running = received_count;
  CHECK(running < kRequests);
  path.Deregister();
  finish = true;
  CHECK(path.RunUntil([&] {
    return std::ranges::all_of(responses, &CallerResponse::complete);
  }));
  LONGS_EQUAL(running, received_count);
  const auto refused =
      std::ranges::count(responses, "draining", &CallerResponse::reason);
  LONGS_EQUAL(kRequests - running, refused);
}

// The head of an upload is sent with the first part of its body, which may
// arrive long after the request was admitted.
TEST(RequestPath, BodyThatArrivesAfterADepartureIsNotSent) {
  int received_count = 0;
  RequestPath path([&](tcp_stream& stream) -> asio::awaitable<void> {
    co_await ReadBackendRequest(stream);
    ++received_count;
  });
  path.SetRule(seconds(5), false);
  asio::ip::tcp::socket caller(path.io);
  caller.connect(banyantrail::ToTcpEndpoint(path.caller_address()));
  const std::string head =
      "POST /orders HTTP/1.1\r\nHost: mesh\r\n"
      "Transfer-Encoding: chunked\r\n\r\n";
  asio::write(caller, asio::buffer(head));
  CHECK(path.RunUntil([&] { return path.owner_requests() == 1; }));
  path.SetState(BackendServerState::kDraining);
  path.RunUntil([] { return false; }, 2 * RequestPath::kMaxSendAfterDeparture);
  asio::write(caller, asio::buffer(std::string("3\r\ntwo\r\n0\r\n\r\n")));
  CHECK(path.RunUntil([&] { return path.owner_requests() == 0; }));
  path.RunUntil([] { return false; }, milliseconds(50));
  LONGS_EQUAL(0, received_count);
  CHECK(std::ranges::count(path.refusals, "draining") == 1);
}

TEST(RequestPath, RequestShedByBackendServerIsNotRun) {
  RequestPath path(
      RawResponder("HTTP/1.1 503 Busy\r\nx-banyantrail-outcome: not-run\r\n"
                   "Content-Length: 0\r\n\r\n"));
  const CallerResponse response = path.Post("x");
  STRCMP_EQUAL("not-run", response.outcome.c_str());
  STRCMP_EQUAL("shed_by_backend_server", response.reason.c_str());
}

TEST(RequestPath, BackendServerCannotForgeOutcomeHeader) {
  RequestPath path(
      RawResponder("HTTP/1.1 200 OK\r\nx-banyantrail-outcome: not-run\r\n"
                   "Content-Length: 0\r\n\r\n"));
  const CallerResponse response = path.Post("x");
  LONGS_EQUAL(200, response.status);
  STRCMP_EQUAL("", response.outcome.c_str());
}

TEST(RequestPath, CallerDisconnectFreesItsSlot) {
  bool cancelled = false;
  bool received = false;
  RequestPath path([&](tcp_stream& stream) -> asio::awaitable<void> {
    co_await ReadBackendRequest(stream);
    received = true;
    char byte = 0;
    boost::system::error_code error;
    co_await stream.async_read_some(
        asio::buffer(&byte, 1),
        asio::redirect_error(asio::use_awaitable, error));
    // The connection must be reset, so that unsent bytes are dropped.
    cancelled = error == asio::error::connection_reset;
  });
  path.SetRule(seconds(5), false);
  asio::ip::tcp::socket caller(path.io);
  caller.connect(banyantrail::ToTcpEndpoint(path.caller_address()));
  const std::string request =
      "POST /orders HTTP/1.1\r\nHost: mesh\r\nContent-Length: 1\r\n\r\nx";
  asio::write(caller, asio::buffer(request));
  CHECK(path.RunUntil([&] { return received; }));
  caller.close();
  CHECK(path.RunUntil([&] { return cancelled; }));
  CHECK(path.RunUntil([&] { return path.owner_requests() == 0; }));
}

TEST(RequestPath, UnknownPathIsRefusedAsNotRun) {
  RequestPath path(EchoHandler);
  const CallerResponse response =
      path.Send("GET /other HTTP/1.1\r\nHost: mesh\r\n\r\n");
  LONGS_EQUAL(404, response.status);
  STRCMP_EQUAL("not-run", response.outcome.c_str());
}

TEST(RequestPath, SlowSenderGetsRequestTimeout) {
  RequestPath path(EchoHandler);
  LONGS_EQUAL(408, path.Send("POST /orders HTTP/1.1\r\nHost").status);
}

TEST(RequestPath, ContentLengthWithTransferEncodingIsRefused) {
  RequestPath path(EchoHandler);
  const CallerResponse response = path.Send(
      "POST /orders HTTP/1.1\r\nHost: mesh\r\nContent-Length: 3\r\n"
      "Transfer-Encoding: chunked\r\n\r\n",
      "0\r\n\r\n");
  LONGS_EQUAL(400, response.status);
}

TEST(RequestPath, OversizedHeaderIsRefused) {
  RequestPath path(EchoHandler);
  const CallerResponse response = path.Send(
      "GET /orders HTTP/1.1\r\nHost: mesh\r\nA: " + std::string(8000, 'a') +
      "\r\n\r\n");
  LONGS_EQUAL(431, response.status);
}

// A caller may send a request on a kept connection long after the drain began.
// Unless idle connections are closed before the node stops, the stop can cut
// off the response to such a request.
TEST(RequestPath, IdleConnectionsAreClosedBeforeShutdown) {
  RequestPath path(EchoHandler);
  asio::ip::tcp::socket caller(path.io);
  caller.connect(banyantrail::ToTcpEndpoint(path.caller_address()));
  path.RunUntil([] { return false; }, milliseconds(50));
  path.StartShutdown();
  bool closed = false;
  char byte = 0;
  caller.async_read_some(
      asio::buffer(&byte, 1),
      [&closed](const boost::system::error_code& error, std::size_t) {
        closed = error == asio::error::eof;
      });
  CHECK(path.RunUntil([&] { return closed; }));
}

// During a rolling upgrade an entry node of this build forwards to owner nodes
// of an earlier one, and the reverse: this owner node understands both formats.
TEST(RequestPath, ServesAndRefusesAcrossMeshVersions) {
  for (const std::uint32_t version : {0U, banyantrail::kMeshVersion}) {
    http::request<http::string_body> seen;
    RequestPath path(
        [&seen](tcp_stream& stream) -> asio::awaitable<void> {
          seen = co_await ReadBackendRequest(stream);
          co_await WriteText(stream,
                             "HTTP/1.1 200 OK\r\nCall-Name: mine\r\n"
                             "Proof: p\r\nContent-Length: 3\r\n\r\nown");
        },
        kStrictDialect);
    path.mesh_version = version;
    path.SetRule(seconds(1), true);
    const std::string request =
        "GET /orders HTTP/1.1\r\nHost: mesh\r\nCall-Name: mine\r\n"
        "Time-Left: 900\r\nx-bt: forged\r\n\r\n";
    const CallerResponse response = path.Send(request);
    LONGS_EQUAL(200, response.status);
    STRCMP_EQUAL("own", response.body.c_str());
    STRCMP_EQUAL("checkout", std::string(seen["From-Service"]).c_str());
    STRCMP_EQUAL("s1", std::string(seen["For-Server"]).c_str());
    const int left = std::stoi(std::string(seen["Time-Left"]));
    CHECK(left > 700 && left <= 900);
    LONGS_EQUAL(0, seen.count("x-bt"));
    path.SetState(BackendServerState::kDraining);
    const CallerResponse refused = path.Send(request);
    LONGS_EQUAL(503, refused.status);
    STRCMP_EQUAL("draining", refused.reason.c_str());
    STRCMP_EQUAL("not-run", refused.outcome.c_str());
  }
}

// A process that ends closes its connections one after the other, so that a new
// one may still be accepted after the first was lost. Its crash went unnoticed,
// and the request that had caused it crashed one more backend server.
TEST(RequestPath, CrashIsReportedAlthoughAConnectionIsStillAccepted) {
  int connections = 0;
  RequestPath path([&](tcp_stream& stream) -> asio::awaitable<void> {
    if (++connections == 1) {
      co_await ReadBackendRequest(stream);
    } else {
      asio::steady_timer timer(co_await asio::this_coro::executor);
      timer.expires_after(milliseconds(30));
      co_await timer.async_wait(asio::use_awaitable);
      path.StopBackend();
    }
    stream.close();
  });
  ExpectOutcomeUnknown(path.Post("poison"));
  LONGS_EQUAL(0, path.crash_reports);
  CHECK(path.RunUntil([&] { return path.crash_reports == 1; }));
}

TEST(RequestPath, LostConnectionOfALiveServerIsNoCrash) {
  int connections = 0;
  RequestPath path([&](tcp_stream& stream) -> asio::awaitable<void> {
    if (++connections == 1) {
      co_await ReadBackendRequest(stream);
      stream.close();
    }
  });
  ExpectOutcomeUnknown(path.Post("x"));
  path.RunUntil([] { return false; }, milliseconds(400));
  LONGS_EQUAL(2, connections);
  LONGS_EQUAL(0, path.crash_reports);
}

namespace {

/// Reads a request and sends `start`, then `piece` again and again until the
/// connection is closed.
RequestPath::BackendHandler EndlessResponder(std::string start,
                                             std::string piece,
                                             bool& closed) {
  return [=, &closed](tcp_stream& stream) -> asio::awaitable<void> {
    co_await ReadBackendRequest(stream);
    boost::system::error_code error;
    co_await asio::async_write(
        stream, asio::buffer(start),
        asio::redirect_error(asio::use_awaitable, error));
    while (!error) {
      co_await asio::async_write(
          stream, asio::buffer(piece),
          asio::redirect_error(asio::use_awaitable, error));
    }
    closed = true;
  };
}

}  // namespace

// Bytes that are no response may come without end until the connection is
// closed.
TEST(RequestPath, EndlessHeadIsNoResponse) {
  bool closed = false;
  RequestPath path(EndlessResponder(
      "HTTP/1.1 200 OK\r\nA: ", std::string(1000, 'a'), closed));
  path.SetRule(seconds(5), false);
  ExpectOutcomeUnknown(path.Post("x"));
  CHECK(path.RunUntil([&] { return closed; }));
}

TEST(RequestPath, EndlessInformationalResponsesAreNoResponse) {
  bool closed = false;
  RequestPath path(
      EndlessResponder("", "HTTP/1.1 103 Early Hints\r\n\r\n", closed));
  path.SetRule(seconds(5), false);
  ExpectOutcomeUnknown(path.Post("x"));
  CHECK(path.RunUntil([&] { return closed; }));
}

TEST(RequestPath, EndlessBodyNeverLooksComplete) {
  for (const std::string framing : {"", "Transfer-Encoding: chunked\r\n"}) {
    bool closed = false;
    RequestPath path(EndlessResponder(
        "HTTP/1.1 200 OK\r\n" + framing + "\r\n",
        framing.empty() ? std::string(4096, 'b') : "1\r\nb\r\n", closed));
    const CallerResponse response = path.Post("x");
    // If nothing was passed on yet, the caller gets a refusal instead.
    CHECK(!response.complete || response.status >= 502);
    CHECK(path.RunUntil([&] { return closed; }));
    CHECK(path.RunUntil([&] { return path.owner_requests() == 0; }));
  }
}

// A response of which the size of a chunk or a trailer never ended took the
// memory of both nodes until the deadline. The platform killed the process, and
// with it ended the requests of other callers.
TEST(RequestPath, EndlessChunkHeaderOrTrailerIsCutOff) {
  for (const std::string start : {"", "0\r\nA: ", "1;a="}) {
    FloodResult flood;
    RequestPath path([&flood, start](tcp_stream& stream) {
      return SendFlood(
          stream,
          "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + start,
          flood);
    });
    path.SetRule(seconds(5), false);
    ExpectOutcomeUnknown(path.Post("x"));
    CHECK(path.RunUntil([&] { return flood.ended; }));
    CHECK(flood.sent_bytes < kMaxFloodBytes);
    LONGS_EQUAL(0, path.owner_requests());
  }
}

// The same of an upload, whose sender is a caller.
TEST(RequestPath, EndlessChunkHeaderOfAnUploadIsCutOff) {
  RequestPath path([](tcp_stream& stream) -> asio::awaitable<void> {
    co_await ReadBackendRequest(stream);
  });
  path.SetRule(seconds(5), false);
  FloodResult flood;
  tcp_stream caller(path.io);
  caller.socket().connect(banyantrail::ToTcpEndpoint(path.caller_address()));
  asio::co_spawn(path.io,
                 SendFlood(caller,
                           "POST /orders HTTP/1.1\r\nHost: mesh\r\n"
                           "Transfer-Encoding: chunked\r\n\r\n",
                           flood),
                 asio::detached);
  CHECK(path.RunUntil([&] { return flood.ended; }));
  CHECK(flood.sent_bytes < kMaxFloodBytes);
  CHECK(path.RunUntil([&] { return path.owner_requests() == 0; }));
}

namespace {

/// Appends to `received` all that arrives until the connection is closed or
/// stays silent.
asio::awaitable<void> ReadAll(tcp_stream& stream, std::string& received) {
  constexpr auto kMaxSilence = milliseconds(200);
  std::array<char, 65536> bytes{};
  boost::system::error_code error;
  while (!error) {
    stream.expires_after(kMaxSilence);
    const std::size_t size = co_await stream.async_read_some(
        asio::buffer(bytes), asio::redirect_error(asio::use_awaitable, error));
    received.append(bytes.data(), size);
  }
}

int CountOf(const std::string& text, const std::string& part) {
  int count = 0;
  for (std::size_t at = text.find(part); at != std::string::npos;
       at = text.find(part, at + part.size())) {
    ++count;
  }
  return count;
}

constexpr std::string_view kSmuggledRequest =
    "POST /orders/smuggled HTTP/1.1\r\nHost: mesh\r\nContent-Length: 0\r\n"
    "x-banyantrail-service: orders\r\nx-banyantrail-backend-server: s1\r\n"
    "x-banyantrail-deadline-ms: 1000\r\n\r\n";

/// Counts the requests that a backend server reads beyond the head of the
/// first one, which it answers early with a reset behind the response.
struct EarlyResponder {
  /// Sent before the response.
  std::string first;
  int uploads = 0;
  int other_requests = 0;

  asio::awaitable<void> Serve(tcp_stream& stream) {
    beast::flat_buffer buffer;
    http::request_parser<http::empty_body> parser;
    parser.body_limit(banyantrail::kNoBodyLimit);
    co_await http::async_read_header(stream, buffer, parser,
                                     asio::use_awaitable);
    if (parser.get().target() != "/orders/upload") {
      ++other_requests;
      co_await WriteText(stream,
                         "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
      co_return;
    }
    ++uploads;
    co_await WriteText(stream, first);
    // Until the buffers of the connections are full.
    asio::steady_timer timer(co_await asio::this_coro::executor);
    timer.expires_after(milliseconds(50));
    co_await timer.async_wait(asio::use_awaitable);
    // Both in one step, so that a node sees the response and the reset at once.
    asio::write(stream.socket(),
                asio::buffer(std::string("HTTP/1.1 413 Payload Too Large\r\n"
                                         "Content-Length: 8\r\n\r\ntoo long")));
    stream.socket().set_option(asio::socket_base::linger(true, 0));
    stream.close();
  }
};

/// Uploads again and again a body whose parts have the form of requests, and
/// checks that each caller gets at most one response, which closes.
void CheckEarlyAnsweredUploads(RequestPath& path, int rounds) {
  constexpr std::size_t kBodyBytes = 16U << 20U;
  std::string body;
  while (body.size() < kBodyBytes) {
    body += kSmuggledRequest;
  }
  const std::string request =
      "POST /orders/upload HTTP/1.1\r\nHost: mesh\r\nContent-Length: " +
      std::to_string(body.size()) + "\r\n\r\n" + body;
  path.SetRule(seconds(5), false);
  for (int round = 0; round < rounds; ++round) {
    tcp_stream caller(path.io);
    caller.socket().connect(banyantrail::ToTcpEndpoint(path.caller_address()));
    std::string received;
    bool done = false;
    asio::async_write(caller.socket(), asio::buffer(request),
                      [](const boost::system::error_code&, std::size_t) {});
    asio::co_spawn(path.io, ReadAll(caller, received),
                   [&done](std::exception_ptr) { done = true; });
    CHECK(path.RunUntil([&] { return done; }));
    CHECK(CountOf(received, "HTTP/1.1 ") <= 1);
    CHECK(received.empty() || CountOf(received, "Connection: close") == 1);
  }
}

constexpr int kEarlyAnswers = 20;

}  // namespace

// A backend server answered an upload early and closed its connection. When the
// owner node saw both at once, it took the rest of the body for requests.
TEST(RequestPath, OwnerNodeTakesNoRestOfAnUploadForRequests) {
  EarlyResponder responder;
  RequestPath path([&](tcp_stream& stream) { return responder.Serve(stream); });
  CheckEarlyAnsweredUploads(path, kEarlyAnswers);
  LONGS_EQUAL(kEarlyAnswers, responder.uploads);
  LONGS_EQUAL(0, responder.other_requests);
  LONGS_EQUAL(0, std::ranges::count(path.refusals, "malformed_request"));
}

// The same of the entry node, which sees an owner node close behind each early
// response.
TEST(RequestPath, EntryNodeTakesNoRestOfAnUploadForRequests) {
  EarlyResponder responder{.first = "HTTP/1.1 100 Continue\r\n\r\n"};
  RequestPath path(EchoHandler);
  path.ReplaceOwner(
      [&](tcp_stream& stream) { return responder.Serve(stream); });
  CheckEarlyAnsweredUploads(path, kEarlyAnswers);
  LONGS_EQUAL(kEarlyAnswers, responder.uploads);
  LONGS_EQUAL(0, responder.other_requests);
}

// The end of a chunked body that arrived on its own was written twice. The
// second one stood where the next request was due, which was answered 400.
TEST(RequestPath, ChunkedBodyEndsOnce) {
  std::string seen;
  RequestPath path([&seen](tcp_stream& stream) -> asio::awaitable<void> {
    co_await ReadAll(stream, seen);
    co_await WriteText(stream, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
  });
  path.SetRule(seconds(5), false);
  asio::ip::tcp::socket caller(path.io);
  caller.connect(banyantrail::ToTcpEndpoint(path.caller_address()));
  asio::write(caller,
              asio::buffer(std::string("POST /orders HTTP/1.1\r\nHost: mesh\r\n"
                                       "Transfer-Encoding: chunked\r\n\r\n"
                                       "3\r\ntwo\r\n")));
  CHECK(path.RunUntil([&] { return seen.ends_with("two\r\n"); }));
  asio::write(caller, asio::buffer(std::string("0\r\n\r\n")));
  CHECK(path.RunUntil([&] { return path.owner_requests() == 0; }));
  CHECK(seen.ends_with("two\r\n0\r\n\r\n"));
  LONGS_EQUAL(0, std::ranges::count(path.refusals, "malformed_request"));
}

// The same of a response: the second end is bytes that are no response.
TEST(RequestPath, ChunkedResponseEndsOnce) {
  // As much as is relayed in one part, so that the end is a part of its own.
  const std::string chunk(64U << 10U, 'b');
  RequestPath path([&chunk](tcp_stream& stream) -> asio::awaitable<void> {
    co_await ReadBackendRequest(stream);
    co_await WriteText(stream,
                       "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                       "10000\r\n" +
                           chunk + "\r\n");
    asio::steady_timer timer(co_await asio::this_coro::executor);
    timer.expires_after(milliseconds(50));
    co_await timer.async_wait(asio::use_awaitable);
    co_await WriteText(stream, "0\r\n\r\n");
  });
  path.SetRule(seconds(5), false);
  tcp_stream caller(path.io);
  caller.socket().connect(banyantrail::ToTcpEndpoint(path.caller_address()));
  asio::write(
      caller.socket(),
      asio::buffer(std::string("GET /orders HTTP/1.1\r\nHost: mesh\r\n\r\n")));
  std::string received;
  bool done = false;
  asio::co_spawn(path.io, ReadAll(caller, received),
                 [&done](std::exception_ptr) { done = true; });
  CHECK(path.RunUntil([&] { return done; }));
  CHECK(received.ends_with("b\r\n0\r\n\r\n"));
}

// A trailer section that fits into the buffer, with fields of four bytes, took
// many times its size in memory while the request ran.
TEST(RequestPath, LargeTrailersAndChunkExtensionsAreNotAccepted) {
  const std::string head =
      "POST /orders HTTP/1.1\r\nHost: mesh\r\n"
      "Transfer-Encoding: chunked\r\n\r\n";
  std::string many_fields;
  for (int i = 0; i < 4000; ++i) {
    many_fields += "a:\r\n";
  }
  RequestPath path(EchoHandler);
  path.SetRule(seconds(5), false);
  LONGS_EQUAL(200,
              path.Send(head, "1;ab=c\r\nx\r\n0;d\r\na: b\r\n\r\n").status);
  for (const std::string& body :
       {"1\r\nx\r\n0\r\n" + many_fields + "\r\n",
        "1\r\nx\r\n0\r\na: " + std::string(20'000, 'b') + "\r\n\r\n",
        "1;a=" + std::string(20'000, 'b') + "\r\nx\r\n0\r\n\r\n"}) {
    CHECK(path.Send(head, body).status != 200);
    CHECK(path.RunUntil([&] { return path.owner_requests() == 0; }));
  }
}

TEST(RequestPath, EmptyChunkedBodyArrivesComplete) {
  RequestPath path(EchoHandler);
  const CallerResponse response = path.Send(
      "POST /orders HTTP/1.1\r\nHost: mesh\r\n"
      "Transfer-Encoding: chunked\r\n\r\n",
      "0\r\n\r\n");
  CHECK(response.complete);
  LONGS_EQUAL(200, response.status);
  STRCMP_EQUAL("", response.body.c_str());
}

// The timer of the caller's stream closed the connection of an upload that
// lasted longer than its route allows. The caller got no answer.
TEST(RequestPath, UploadThatOutlastsTheDeadlineGetsAnAnswer) {
  RequestPath path(EchoHandler);
  const std::string head =
      "POST /orders HTTP/1.1\r\nHost: mesh\r\nContent-Length: 200000\r\n\r\n";
  const CallerResponse begun = path.Send(head, std::string(100'000, 'b'));
  CHECK(begun.complete);
  CHECK(begun.status == 502 || begun.status == 504);
  STRCMP_EQUAL("outcome-unknown", begun.outcome.c_str());
  const CallerResponse not_begun = path.Send(head);
  // The owner node knows that nothing was sent, if its timer fires first.
  CHECK(not_begun.complete);
  CHECK(not_begun.status >= 502);
  CHECK(not_begun.status != 503 || not_begun.outcome == "not-run");
}

// Closing with unread bytes reset the connection behind an early response, and
// the sender could lose it.
TEST(RequestPath, SenderOfARefusedUploadIsNotReset) {
  RequestPath path(EchoHandler);
  tcp_stream caller(path.io);
  caller.socket().connect(banyantrail::ToTcpEndpoint(path.caller_address()));
  const std::string request =
      "POST /other HTTP/1.1\r\nHost: mesh\r\nContent-Length: 2000000\r\n\r\n" +
      std::string(1'000'000, 'b');
  boost::system::error_code error;
  bool written = false;
  asio::async_write(caller.socket(), asio::buffer(request),
                    [&](const boost::system::error_code& result, std::size_t) {
                      error = result;
                      written = true;
                    });
  CHECK(path.RunUntil([&] { return written; }));
  CHECK(!error);
  std::string received;
  bool done = false;
  asio::co_spawn(path.io, ReadAll(caller, received),
                 [&done](std::exception_ptr) { done = true; });
  CHECK(path.RunUntil([&] { return done; }));
  CHECK(received.starts_with("HTTP/1.1 404 "));
}

// At the end of a planned stop, requests that were still running were cut
// without an answer.
TEST(RequestPath, RequestsAreAnsweredBeforeTheNodeStops) {
  bool received = false;
  RequestPath path([&received](tcp_stream& stream) -> asio::awaitable<void> {
    co_await ReadBackendRequest(stream);
    received = true;
  });
  path.SetRule(seconds(5), true);
  CallerResponse response;
  path.StartSend("GET /orders HTTP/1.1\r\nHost: mesh\r\n\r\n", "", response);
  CHECK(path.RunUntil([&] { return received; }));
  path.StartShutdown();
  path.EndRequests();
  CHECK(path.RunUntil([&] { return response.complete; }, milliseconds(500)));
  ExpectOutcomeUnknown(response);
}

TEST(RequestPath, LateRequestGetsNoMoreTimeThanTheNodeHas) {
  RequestPath path([](tcp_stream& stream) -> asio::awaitable<void> {
    co_await ReadBackendRequest(stream);
  });
  path.SetRule(seconds(5), false);
  path.StartDrain(milliseconds(200));
  CallerResponse response;
  path.StartSend("GET /orders HTTP/1.1\r\nHost: mesh\r\n\r\n", "", response);
  CHECK(path.RunUntil([&] { return response.complete; }, milliseconds(500)));
  LONGS_EQUAL(504, response.status);
}

// Guards against a connection that was accepted at the moment of the idle
// close, on which a request was taken seconds later and given up at the end of
// the stop.
TEST(RequestPath, ConnectionThatBeginsAfterTheIdleCloseIsClosed) {
  int requests = 0;
  RequestPath path([&requests](tcp_stream& stream) -> asio::awaitable<void> {
    co_await ReadBackendRequest(stream);
    ++requests;
  });
  path.StartShutdown();
  asio::ip::tcp::socket caller(path.io);
  caller.connect(banyantrail::ToTcpEndpoint(path.caller_address()));
  bool closed = false;
  char byte = 0;
  caller.async_read_some(
      asio::buffer(&byte, 1),
      [&closed](const boost::system::error_code& error, std::size_t) {
        closed = static_cast<bool>(error);
      });
  CHECK(path.RunUntil([&] { return closed; }, milliseconds(500)));
  LONGS_EQUAL(0, requests);
}

TEST(RequestPath, LateRequestThatCannotFinishIsRefusedAtOnce) {
  int requests = 0;
  RequestPath path([&requests](tcp_stream& stream) -> asio::awaitable<void> {
    co_await ReadBackendRequest(stream);
    ++requests;
    asio::steady_timer timer(co_await asio::this_coro::executor);
    timer.expires_after(milliseconds(400));
    co_await timer.async_wait(asio::use_awaitable);
    co_await WriteText(stream, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
  });
  path.SetRule(seconds(5), false);
  LONGS_EQUAL(200, path.Post("x").status);
  path.StartDrain(milliseconds(200));
  CallerResponse response;
  path.StartSend("GET /orders HTTP/1.1\r\nHost: mesh\r\n\r\n", "", response);
  CHECK(path.RunUntil([&] { return response.complete; }, milliseconds(100)));
  LONGS_EQUAL(503, response.status);
  STRCMP_EQUAL("not-run", response.outcome.c_str());
  LONGS_EQUAL(1, requests);
}

// The time-out of a connection does not fire while data is always there, so
// that a response without end went on after the deadline.
TEST(RequestPath, EndlessResponsesToOtherRequestsAreCutOff) {
  const std::string other =
      "HTTP/1.1 200 OK\r\nCall-Name: earlier\r\nProof: p\r\n";
  const std::string chunked = other + "Transfer-Encoding: chunked\r\n\r\n";
  const std::string whole = other + "Content-Length: 0\r\n\r\n";
  for (const auto& [start, piece] :
       {std::pair{chunked, "1000\r\n" + std::string(4096, 'b') + "\r\n"},
        std::pair{std::string(), whole}}) {
    bool closed = false;
    RequestPath path(EndlessResponder(start, piece, closed), kStrictDialect);
    path.SetRule(seconds(5), false);
    const CallerResponse response = path.Send(
        "GET /orders HTTP/1.1\r\nHost: mesh\r\nCall-Name: mine\r\n\r\n");
    LONGS_EQUAL(502, response.status);
    CHECK(path.RunUntil([&] { return closed; }));
  }
}

// A request beyond the limit must cost nothing: it is refused before it is sent
// to another node, and 429 tells its caller that it has not run.
TEST(RequestPath, RequestBeyondTheLimitOfItsTeamIsRefused) {
  RequestPath path(EchoHandler);
  path.teams = {kTeam};
  path.teams[0].requests_per_s = 5;
  path.SetRule(milliseconds(300), false);
  path.quota_refusal = milliseconds(1200);
  const CallerResponse response = path.Send(
      "GET /orders HTTP/1.1\r\nHost: mesh\r\n"
      "Authorization: Bearer secret-1\r\n\r\n");
  LONGS_EQUAL(429, response.status);
  STRCMP_EQUAL("team_quota", response.reason.c_str());
  STRCMP_EQUAL("not-run", response.outcome.c_str());
  STRCMP_EQUAL("2", response.retry_after.c_str());
  LONGS_EQUAL(0, path.quota_given_back);
}

// The limit counts requests that run.
TEST(RequestPath, TokenOfARequestThatDidNotRunIsGivenBack) {
  RequestPath path(EchoHandler);
  path.teams = {kTeam};
  path.teams[0].requests_per_s = 5;
  path.SetRule(milliseconds(300), false);
  const std::string request =
      "GET /orders HTTP/1.1\r\nHost: mesh\r\n"
      "Authorization: Bearer secret-1\r\n\r\n";
  LONGS_EQUAL(200, path.Send(request).status);
  LONGS_EQUAL(0, path.quota_given_back);
  path.SetState(BackendServerState::kDown);
  LONGS_EQUAL(503, path.Send(request).status);
  LONGS_EQUAL(1, path.quota_given_back);
  LONGS_EQUAL(2, path.quota_requests);
}

TEST(RequestPath, RequestsWithoutATeamOrALimitNeedNoToken) {
  RequestPath path(EchoHandler);
  path.teams = {kTeam};
  path.allow_anonymous = true;
  path.SetRule(milliseconds(300), false);
  path.Send("GET /orders HTTP/1.1\r\nHost: mesh\r\n\r\n");
  path.Send(
      "GET /orders HTTP/1.1\r\nHost: mesh\r\n"
      "Authorization: Bearer secret-1\r\n\r\n");
  LONGS_EQUAL(0, path.quota_requests);
}

// Sends a request of a team, and while it runs one with an id that follows from
// its own. Returns the number of tokens taken.
int TokensWithFollowingId(const std::string& key_of_second) {
  RequestPath* running = nullptr;
  CallerResponse second;
  bool is_first = true;
  RequestPath path(
      [&](tcp_stream& stream) -> asio::awaitable<void> {
        co_await ReadBackendRequest(stream);
        if (std::exchange(is_first, false)) {
          running->StartSend(
              "GET /orders HTTP/1.1\r\nHost: mesh\r\nCall-Name: mine.1\r\n" +
                  key_of_second + "\r\n",
              {}, second);
          asio::steady_timer timer(stream.get_executor());
          timer.expires_after(milliseconds(100));
          co_await timer.async_wait(asio::use_awaitable);
        }
        co_await WriteText(stream,
                           "HTTP/1.1 200 OK\r\nProof: 1\r\n"
                           "Connection: close\r\nContent-Length: 0\r\n\r\n");
      },
      kStrictDialect);
  running = &path;
  path.teams = {kTeam};
  path.teams[0].requests_per_s = 5;
  path.SetRule(milliseconds(2000), false);
  const CallerResponse response = path.Send(
      "GET /orders HTTP/1.1\r\nHost: mesh\r\nCall-Name: mine\r\n"
      "Authorization: Bearer secret-1\r\n\r\n");
  LONGS_EQUAL(200, response.status);
  path.RunUntil([&second] { return second.complete; });
  LONGS_EQUAL(200, second.status);
  return static_cast<int>(path.quota_requests);
}

// A nested call belongs to a request that has a token already, and carries no
// key.
TEST(RequestPath, NestedCallNeedsNoToken) {
  LONGS_EQUAL(1, TokensWithFollowingId(""));
}

// A caller that numbered its requests after one that runs spared its team's
// limit.
TEST(RequestPath, RequestWithAKeyIsNoNestedCall) {
  LONGS_EQUAL(2, TokensWithFollowingId("Authorization: Bearer secret-1\r\n"));
}
