// Entry and owner stage together, with normal requests and with failures of
// callers and backend servers.

#include <CppUTest/TestHarness.h>

#include <string>

#include "proxy/request_path.h"

namespace asio = boost::asio;
namespace http = boost::beast::http;
using banyantrail::BackendServerState;
using banyantrail::milliseconds;
using banyantrail::seconds;
using banyantrail::beast::tcp_stream;
using banyantrail::test::CallerView;
using banyantrail::test::ReadBackendRequest;
using banyantrail::test::RequestPath;
using banyantrail::test::WriteText;

namespace {

/// Responds to each request with the body of the request.
asio::awaitable<void> EchoScript(tcp_stream& stream) {
  while (true) {
    const auto request = co_await ReadBackendRequest(stream);
    http::response<http::string_body> answer(http::status::ok, 11);
    answer.body() = request.body();
    answer.prepare_payload();
    co_await http::async_write(stream, answer, asio::use_awaitable);
  }
}

/// Responds with the given bytes and closes the connection.
RequestPath::Script RawScript(std::string bytes) {
  return [bytes](tcp_stream& stream) -> asio::awaitable<void> {
    co_await ReadBackendRequest(stream);
    co_await WriteText(stream, bytes);
    stream.close();
  };
}

/// Header names and rules of a deployment that differ from the defaults.
const banyantrail::EdgeDialect kStrictDialect{.request_id = "Call-Name",
                                              .deadline = "Time-Left",
                                              .answer_stamp = "Proof",
                                              .expected_server = "For-Server",
                                              .caller_service = "From-Service",
                                              .not_run = "Not-Run",
                                              .not_run_value = "",
                                              .carries_depth = false,
                                              .fractional_retry_after = true,
                                              .refuses_with_503 = true};

void ExpectOutcomeUnknown(const CallerView& view) {
  LONGS_EQUAL(502, view.status);
  STRCMP_EQUAL("outcome-unknown", view.outcome.c_str());
}

}  // namespace

TEST_GROUP(RequestPath){};

TEST(RequestPath, CallerGetsItsWholeAnswer) {
  RequestPath path(EchoScript);
  const CallerView view = path.Post("two willows");
  CHECK(view.whole);
  LONGS_EQUAL(200, view.status);
  STRCMP_EQUAL("two willows", view.body.c_str());
}

TEST(RequestPath, LargeBodyStreamsBothWays) {
  RequestPath path(EchoScript);
  path.SetRule(seconds(10), false);
  const std::string body(8U << 20U, 'b');
  const CallerView view = path.Post(body);
  CHECK(view.whole);
  LONGS_EQUAL(body.size(), view.body.size());
}

// The body is too small to be streamed but too large to be sent before the
// request is admitted.
TEST(RequestPath, BodyThatWaitsForAdmissionArrivesWhole) {
  RequestPath path(EchoScript);
  const std::string body(32U << 10U, 'b');
  const CallerView view = path.Post(body);
  CHECK(view.whole);
  CHECK(body == view.body);
}

TEST(RequestPath, BodyThatIsNotAdmittedIsNotRun) {
  RequestPath path(EchoScript);
  path.SetState(BackendServerState::kDraining);
  const CallerView view = path.Post(std::string(32U << 10U, 'b'));
  LONGS_EQUAL(503, view.status);
  STRCMP_EQUAL("not-run", view.outcome.c_str());
}

TEST(RequestPath, ChunkedBodyArrivesWhole) {
  RequestPath path(EchoScript);
  const CallerView view = path.Call(
      "POST /orders HTTP/1.1\r\nHost: mesh\r\n"
      "Transfer-Encoding: chunked\r\n\r\n",
      "3\r\ntwo\r\n8\r\n willows\r\n0\r\n\r\n");
  STRCMP_EQUAL("two willows", view.body.c_str());
}

TEST(RequestPath, CutAnswerIsNotPassedOnAsWhole) {
  RequestPath path(
      RawScript("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf"));
  ExpectOutcomeUnknown(path.Post("x"));
}

TEST(RequestPath, CutChunkedAnswerIsNotPassedOnAsWhole) {
  RequestPath path(RawScript(
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n"));
  ExpectOutcomeUnknown(path.Post("x"));
}

TEST(RequestPath, LargeAnswerCutMidwayDoesNotLookWhole) {
  RequestPath path(
      RawScript("HTTP/1.1 200 OK\r\nContent-Length: 1000000\r\n\r\n" +
                std::string(500'000, 'h')));
  const CallerView view = path.Post("x");
  CHECK_FALSE(view.whole);
  LONGS_EQUAL(200, view.status);
}

TEST(RequestPath, AnswerThatEndsWithItsConnectionIsWhole) {
  RequestPath path(RawScript("HTTP/1.1 200 OK\r\n\r\nall of it"));
  const CallerView view = path.Post("x");
  CHECK(view.whole);
  LONGS_EQUAL(200, view.status);
  STRCMP_EQUAL("all of it", view.body.c_str());
}

TEST(RequestPath, LargeAnswerThatEndsWithItsConnectionIsWhole) {
  const std::string body(300'000, 'b');
  RequestPath path(RawScript("HTTP/1.1 200 OK\r\n\r\n" + body));
  const CallerView view = path.Post("x");
  CHECK(view.whole);
  LONGS_EQUAL(body.size(), view.body.size());
}

TEST(RequestPath, AnswerWithoutLengthThatIsResetIsNotWhole) {
  RequestPath path([](tcp_stream& stream) -> asio::awaitable<void> {
    co_await ReadBackendRequest(stream);
    co_await WriteText(stream, "HTTP/1.1 200 OK\r\n\r\nperhaps all of it");
    stream.socket().set_option(asio::socket_base::linger(true, 0));
    stream.close();
  });
  ExpectOutcomeUnknown(path.Post("x"));
}

TEST(RequestPath, ExtraAnswerToAnEarlierRequestIsPassedOver) {
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
  const CallerView view = path.Call(
      "GET /orders HTTP/1.1\r\nHost: mesh\r\nCall-Name: mine\r\n\r\n");
  LONGS_EQUAL(200, view.status);
  STRCMP_EQUAL("own", view.body.c_str());
}

TEST(RequestPath, SuccessWithoutProofIsNotPassedOn) {
  RequestPath path(RawScript("HTTP/1.1 200 OK\r\nCall-Name: mine\r\n"
                             "Content-Length: 3\r\n\r\nown"),
                   kStrictDialect);
  const CallerView view = path.Call(
      "GET /orders HTTP/1.1\r\nHost: mesh\r\nCall-Name: mine\r\n\r\n");
  LONGS_EQUAL(502, view.status);
  STRCMP_EQUAL("malformed_answer", view.reason.c_str());
}

TEST(RequestPath, AnotherServerAtTheAddressDidNotRunIt) {
  RequestPath path(
      RawScript(
          "HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n"),
      kStrictDialect);
  const CallerView view = path.Call(
      "GET /orders HTTP/1.1\r\nHost: mesh\r\nCall-Name: mine\r\n\r\n");
  LONGS_EQUAL(503, view.status);
  STRCMP_EQUAL("not-run", view.outcome.c_str());
  CHECK(!view.retry_after.empty());
}

TEST(RequestPath, BackendServerIsToldDeadlineCallerAndItself) {
  http::request<http::string_body> seen;
  RequestPath path(
      [&seen](tcp_stream& stream) -> asio::awaitable<void> {
        seen = co_await ReadBackendRequest(stream);
        stream.close();
      },
      kStrictDialect);
  path.Call(
      "GET /orders HTTP/1.1\r\nHost: mesh\r\nCall-Name: mine\r\n"
      "Time-Left: 200\r\nFrom-Service: forged\r\n"
      "x-banyantrail-priority: 0\r\n\r\n");
  STRCMP_EQUAL("mine", std::string(seen["Call-Name"]).c_str());
  STRCMP_EQUAL("s1", std::string(seen["For-Server"]).c_str());
  STRCMP_EQUAL("crews", std::string(seen["From-Service"]).c_str());
  const int left = std::stoi(std::string(seen["Time-Left"]));
  CHECK(left > 0 && left <= 200);
  for (const auto& field : seen) {
    CHECK_FALSE(field.name_string().starts_with("x-banyantrail-"));
  }
}

TEST(RequestPath, UnreachableBackendServerIsProvenNotRun) {
  RequestPath path(EchoScript);
  path.StopBackend();
  path.RunUntil([] { return true; });
  const CallerView view = path.Post("x");
  LONGS_EQUAL(503, view.status);
  STRCMP_EQUAL("not-run", view.outcome.c_str());
}

TEST(RequestPath, LostAnswerIsReportedAsOutcomeUnknown) {
  RequestPath path(RawScript(""));
  const CallerView view = path.Post("x");
  STRCMP_EQUAL("outcome-unknown", view.outcome.c_str());
}

TEST(RequestPath, OrderWithoutAnswerIsNotSentTwice) {
  int runs = 0;
  RequestPath path([&runs](tcp_stream& stream) -> asio::awaitable<void> {
    co_await ReadBackendRequest(stream);
    ++runs;
    stream.close();
  });
  path.Post("x");
  LONGS_EQUAL(1, runs);
}

TEST(RequestPath, SilentBackendServerIsGivenUpAtTheDeadline) {
  RequestPath path([](tcp_stream& stream) -> asio::awaitable<void> {
    co_await ReadBackendRequest(stream);
  });
  const CallerView view = path.Post("x");
  LONGS_EQUAL(504, view.status);
  STRCMP_EQUAL("outcome-unknown", view.outcome.c_str());
}

TEST(RequestPath, LateAnswerNeverReachesTheNextCaller) {
  int served = 0;
  RequestPath path([&served](tcp_stream& stream) -> asio::awaitable<void> {
    const auto request = co_await ReadBackendRequest(stream);
    asio::steady_timer timer(co_await asio::this_coro::executor);
    timer.expires_after(served++ == 0 ? milliseconds(400) : milliseconds(0));
    co_await timer.async_wait(asio::use_awaitable);
    http::response<http::string_body> answer(http::status::ok, 11);
    answer.body() = request.body();
    answer.prepare_payload();
    co_await http::async_write(stream, answer, asio::use_awaitable);
  });
  LONGS_EQUAL(504, path.Post("first").status);
  STRCMP_EQUAL("second", path.Post("second").body.c_str());
}

TEST(RequestPath, DrainingBackendServerGetsNoNewWork) {
  int runs = 0;
  RequestPath path([&runs](tcp_stream& stream) -> asio::awaitable<void> {
    co_await ReadBackendRequest(stream);
    ++runs;
  });
  path.SetState(BackendServerState::kDraining);
  const CallerView view = path.Post("x");
  STRCMP_EQUAL("not-run", view.outcome.c_str());
  STRCMP_EQUAL("draining", view.reason.c_str());
  LONGS_EQUAL(0, runs);
}

TEST(RequestPath, ShedByTheBackendServerIsNotRun) {
  RequestPath path(
      RawScript("HTTP/1.1 503 Busy\r\nx-banyantrail-outcome: not-run\r\n"
                "Content-Length: 0\r\n\r\n"));
  const CallerView view = path.Post("x");
  STRCMP_EQUAL("not-run", view.outcome.c_str());
  STRCMP_EQUAL("shed_by_backend_server", view.reason.c_str());
}

TEST(RequestPath, BackendServerCannotForgeTheSystemsWord) {
  RequestPath path(
      RawScript("HTTP/1.1 200 OK\r\nx-banyantrail-outcome: not-run\r\n"
                "Content-Length: 0\r\n\r\n"));
  const CallerView view = path.Post("x");
  LONGS_EQUAL(200, view.status);
  STRCMP_EQUAL("", view.outcome.c_str());
}

TEST(RequestPath, CallerThatHangsUpFreesItsSlot) {
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
  RequestPath path(EchoScript);
  const CallerView view =
      path.Call("GET /other HTTP/1.1\r\nHost: mesh\r\n\r\n");
  LONGS_EQUAL(404, view.status);
  STRCMP_EQUAL("not-run", view.outcome.c_str());
}

TEST(RequestPath, SlowSenderIsToldSo) {
  RequestPath path(EchoScript);
  LONGS_EQUAL(408, path.Call("POST /orders HTTP/1.1\r\nHost").status);
}

TEST(RequestPath, BothFramingsAtOnceAreRefused) {
  RequestPath path(EchoScript);
  const CallerView view = path.Call(
      "POST /orders HTTP/1.1\r\nHost: mesh\r\nContent-Length: 3\r\n"
      "Transfer-Encoding: chunked\r\n\r\n",
      "0\r\n\r\n");
  LONGS_EQUAL(400, view.status);
}

TEST(RequestPath, HugeHeaderIsRefused) {
  RequestPath path(EchoScript);
  const CallerView view = path.Call(
      "GET /orders HTTP/1.1\r\nHost: mesh\r\nA: " + std::string(8000, 'a') +
      "\r\n\r\n");
  LONGS_EQUAL(431, view.status);
}

// A caller may send a request on a kept connection long after the drain began.
// Unless idle connections are closed before the node stops, the stop can cut
// off the response to such a request.
TEST(RequestPath, IdleConnectionsAreClosedBeforeTheStop) {
  RequestPath path(EchoScript);
  asio::ip::tcp::socket caller(path.io);
  caller.connect(banyantrail::ToTcpEndpoint(path.caller_address()));
  path.RunUntil([] { return false; }, milliseconds(50));
  path.StopServing();
  bool closed = false;
  char byte = 0;
  caller.async_read_some(
      asio::buffer(&byte, 1),
      [&closed](const boost::system::error_code& error, std::size_t) {
        closed = error == asio::error::eof;
      });
  CHECK(path.RunUntil([&] { return closed; }));
}
