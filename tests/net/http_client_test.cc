#include "banyantrail/net/http_client.h"

#include <CppUTest/TestHarness.h>

#include <string>

#include "net/http_exchange.h"

namespace asio = boost::asio;
namespace http = boost::beast::http;
using banyantrail::HttpClient;
using banyantrail::HttpRequest;
using banyantrail::HttpResponse;
using banyantrail::HttpServer;
using banyantrail::IpEndpoint;
using banyantrail::test::Echo;
using banyantrail::test::Exchange;
using banyantrail::test::FreeEndpoint;
using banyantrail::test::RunExchange;

TEST_GROUP(HttpClient) {
  asio::io_context io;
  IpEndpoint endpoint = FreeEndpoint(io);

  void RunIo() {
    io.run_for(banyantrail::seconds(2));
  }
};

TEST(HttpClient, ClientGetsTheWholeAnswer) {
  HttpServer server(io, {.endpoint = endpoint, .handler = Echo});
  HttpClient client(io.get_executor(), {.server = endpoint});
  Exchange exchange;
  asio::co_spawn(io, RunExchange(client, "hello", exchange),
                 [&](std::exception_ptr) { io.stop(); });
  RunIo();
  CHECK(exchange.response.has_value());
  STRCMP_EQUAL("hello", exchange.response->body().c_str());
}

TEST(HttpClient, ClientSaysThatNothingWasSentWhenNobodyListens) {
  HttpClient client(io.get_executor(), {.server = endpoint});
  Exchange exchange;
  asio::co_spawn(io, RunExchange(client, "x", exchange), asio::detached);
  RunIo();
  CHECK(exchange.error.has_value());
  CHECK_FALSE(exchange.error->request_sent());
}

TEST(HttpClient, ClientSaysThatTheRequestWasSentWhenTheAnswerNeverComes) {
  auto never = [](HttpRequest) -> asio::awaitable<HttpResponse> {
    asio::steady_timer timer(co_await asio::this_coro::executor);
    timer.expires_after(banyantrail::seconds(60));
    co_await timer.async_wait(asio::use_awaitable);
    co_return HttpResponse();
  };
  HttpServer server(io, {.endpoint = endpoint, .handler = never});
  HttpClient client(io.get_executor(), {.server = endpoint});
  Exchange exchange;
  asio::co_spawn(io, RunExchange(client, "x", exchange),
                 [&](std::exception_ptr) { io.stop(); });
  RunIo();
  CHECK(exchange.error.has_value());
  CHECK(exchange.error->request_sent());
}
