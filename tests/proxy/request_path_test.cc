// The two stages of the request path together, with the failures that they
// have to answer for.

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

/// Answers each request with its own body.
asio::awaitable<void> EchoScript(tcp_stream& stream) {
  while (true) {
    const auto request = co_await ReadBackendRequest(stream);
    http::response<http::string_body> answer(http::status::ok, 11);
    answer.body() = request.body();
    answer.prepare_payload();
    co_await http::async_write(stream, answer, asio::use_awaitable);
  }
}

/// Answers with the given bytes and closes.
RequestPath::Script RawScript(std::string bytes) {
  return [bytes](tcp_stream& stream) -> asio::awaitable<void> {
    co_await ReadBackendRequest(stream);
    co_await WriteText(stream, bytes);
    stream.close();
  };
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
  CHECK_FALSE(path.Post("x").whole);
}

TEST(RequestPath, CutChunkedAnswerIsNotPassedOnAsWhole) {
  RequestPath path(RawScript(
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n"));
  CHECK_FALSE(path.Post("x").whole);
}

TEST(RequestPath, AnswerThatEndsWithItsConnectionIsRefused) {
  RequestPath path(RawScript("HTTP/1.1 200 OK\r\n\r\nperhaps all of it"));
  const CallerView view = path.Post("x");
  LONGS_EQUAL(502, view.status);
  STRCMP_EQUAL("outcome-unknown", view.outcome.c_str());
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
    cancelled = error == asio::error::eof;
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
