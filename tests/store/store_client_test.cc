#include "banyantrail/store/store_client.h"

#include <CppUTest/TestHarness.h>

#include <functional>

#include "banyantrail/net/http_server.h"
#include "net/http_exchange.h"

using banyantrail::Error;
using banyantrail::ErrorKind;
using banyantrail::HttpRequest;
using banyantrail::HttpResponse;
using banyantrail::HttpServer;
using banyantrail::IpEndpoint;
using banyantrail::JsonResponse;
using banyantrail::milliseconds;
using banyantrail::PutStatus;
using banyantrail::seconds;
using banyantrail::StoreClient;
using banyantrail::test::FreeEndpoint;

namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace {

HttpServer::Handler AlwaysRespond(http::status status, std::string body) {
  return [status, body](HttpRequest) -> asio::awaitable<HttpResponse> {
    co_return JsonResponse(status, body);
  };
}

/// A port that is bound without a listener, so that connections are refused.
struct ClosedPort {
  explicit ClosedPort(asio::io_context& io)
      : socket(io, {asio::ip::make_address("127.0.0.1"), 0}) {}

  IpEndpoint endpoint() const {
    return {"127.0.0.1", socket.local_endpoint().port()};
  }

  asio::ip::tcp::socket socket;
};

asio::awaitable<HttpResponse> NeverRespond(HttpRequest) {
  asio::steady_timer timer(co_await asio::this_coro::executor, seconds(60));
  co_await timer.async_wait(asio::use_awaitable);
  co_return HttpResponse();
}

}  // namespace

TEST_GROUP(StoreClient) {
  asio::io_context io;
  IpEndpoint endpoint = FreeEndpoint(io);
  int requests = 0;

  HttpServer Serve(HttpServer::Handler handler) {
    return HttpServer(io, {.endpoint = endpoint,
                           .handler = [this, handler](HttpRequest request) {
                             ++requests;
                             return handler(std::move(request));
                           }});
  }

  StoreClient MakeClient(std::vector<IpEndpoint> servers) {
    return StoreClient(
        io.get_executor(),
        {.servers = std::move(servers),
         .attempt_timeout = milliseconds(300),
         .backoff = {.initial = milliseconds(5), .max = milliseconds(20)}});
  }

  template <typename Result>
  Result Run(asio::awaitable<Result> call) {
    std::optional<Result> result;
    std::exception_ptr failure;
    bool ended = false;
    asio::co_spawn(io, std::move(call),
                   [&](std::exception_ptr error, Result value) {
                     failure = error;
                     result = std::move(value);
                     ended = true;
                   });
    io.restart();
    const auto end = std::chrono::steady_clock::now() + seconds(10);
    while (!ended && std::chrono::steady_clock::now() < end) {
      io.run_one_for(milliseconds(100));
    }
    CHECK(ended);
    if (failure) {
      std::rethrow_exception(failure);
    }
    return *std::move(result);
  }

  template <typename Result>
  void ExpectError(ErrorKind kind, asio::awaitable<Result> call) {
    try {
      Run(std::move(call));
    } catch (const Error& error) {
      STRCMP_EQUAL(std::string(ToString(kind)).c_str(),
                   std::string(ToString(error.kind())).c_str());
      return;
    }
    FAIL("no error");
  }
};

TEST(StoreClient, GetReturnsTheObject) {
  const auto server = Serve(AlwaysRespond(
      http::status::ok, R"({"key":"a/b","version":7,"value":1})"));
  StoreClient client = MakeClient({endpoint});
  const auto object = Run(client.Get("a/b"));
  LONGS_EQUAL(7, object->version);
  CHECK(object->value == 1);
  CHECK(client.reachable());
}

TEST(StoreClient, GetReturnsNulloptForAbsentObject) {
  const auto server = Serve(AlwaysRespond(http::status::not_found, "{}"));
  StoreClient client = MakeClient({endpoint});
  CHECK(!Run(client.Get("a")).has_value());
}

TEST(StoreClient, VersionMismatchReturnsTheCurrentVersion) {
  std::string if_match_value;
  const auto server =
      Serve([&](HttpRequest request) -> asio::awaitable<HttpResponse> {
        if_match_value = std::string(request[http::field::if_match]);
        co_return JsonResponse(http::status::precondition_failed,
                               R"({"version":9})");
      });
  StoreClient client = MakeClient({endpoint});
  const auto result = Run(client.Put("a", 1, 8));
  CHECK(result.status == PutStatus::kVersionMismatch);
  LONGS_EQUAL(9, result.version);
  STRCMP_EQUAL("8", if_match_value.c_str());
}

TEST(StoreClient, WriteWithoutResponseIsUnknownAndNotRetried) {
  const auto server = Serve(NeverRespond);
  StoreClient client = MakeClient({endpoint});
  ExpectError(ErrorKind::kOutcomeUnknown, client.Put("a", 1, 8));
  LONGS_EQUAL(1, requests);
  LONGS_EQUAL(1, client.counters().outcome_unknown);
}

TEST(StoreClient, WriteThatCannotBeSentFailsAsUnavailable) {
  const ClosedPort closed_port(io);
  StoreClient client = MakeClient({closed_port.endpoint()});
  ExpectError(ErrorKind::kPlatformUnavailable, client.Put("a", 1, 8));
  CHECK(!client.reachable());
}

TEST(StoreClient, ReadWithoutResponseIsRetried) {
  const auto server = Serve(NeverRespond);
  StoreClient client = MakeClient({endpoint});
  ExpectError(ErrorKind::kPlatformUnavailable, client.Get("a"));
  LONGS_EQUAL(3, requests);
}

TEST(StoreClient, RetryUsesTheNextAddress) {
  const ClosedPort closed_port(io);
  const auto server = Serve(AlwaysRespond(http::status::not_found, "{}"));
  StoreClient client = MakeClient({closed_port.endpoint(), endpoint});
  CHECK(!Run(client.Get("a")).has_value());
  LONGS_EQUAL(1, client.counters().retries);
}

TEST(StoreClient, OverloadedResponseIsRetried) {
  const auto server =
      Serve(AlwaysRespond(http::status::too_many_requests, "{}"));
  StoreClient client = MakeClient({endpoint});
  ExpectError(ErrorKind::kPlatformOverloaded, client.Put("a", 1, 8));
  LONGS_EQUAL(3, requests);
}

TEST(StoreClient, ServerErrorLeavesOutcomeOfWriteUnknown) {
  const auto server =
      Serve(AlwaysRespond(http::status::internal_server_error, "{}"));
  StoreClient client = MakeClient({endpoint});
  ExpectError(ErrorKind::kOutcomeUnknown, client.Put("a", 1, 8));
  LONGS_EQUAL(1, requests);
}

TEST(StoreClient, RejectsMalformedResponses) {
  for (const char* body :
       {"", "[]", "{\"version\":-1,\"key\":\"a\"}", "{\"key\":1}", "{"}) {
    endpoint = FreeEndpoint(io);
    const auto server = Serve(AlwaysRespond(http::status::ok, body));
    StoreClient client = MakeClient({endpoint});
    ExpectError(ErrorKind::kMalformedMessage, client.Get("a"));
  }
}

TEST(StoreClient, RejectsInvalidKeysBeforeSending) {
  StoreClient client = MakeClient({endpoint});
  ExpectError(ErrorKind::kMalformedMessage, client.Get("a b"));
  ExpectError(ErrorKind::kMalformedMessage, client.Get("a?x=1"));
}

TEST(StoreClient, WatchReturnsEvents) {
  std::string target;
  const auto server = Serve([&](HttpRequest request)
                                -> asio::awaitable<HttpResponse> {
    target = std::string(request.target());
    co_return JsonResponse(
        http::status::ok,
        R"({"version":9,"events":[{"key":"a","version":8,"deleted":true}]})");
  });
  StoreClient client = MakeClient({endpoint});
  const auto result = Run(client.Watch("a", 5, milliseconds(100)));
  LONGS_EQUAL(9, result.version);
  CHECK(result.events.at(0).deleted);
  STRCMP_EQUAL("/watch?prefix=a&after=5&wait_ms=100", target.c_str());
}

TEST(StoreClient, EnforcesItsRateLimit) {
  const auto server = Serve(AlwaysRespond(http::status::not_found, "{}"));
  StoreClient client(io.get_executor(),
                     {.servers = {endpoint},
                      .rate_limit = {.rate_per_second = 0.1, .burst = 2},
                      .max_rate_limit_wait = milliseconds(10)});
  Run(client.Get("a"));
  Run(client.Get("a"));
  ExpectError(ErrorKind::kPlatformOverloaded, client.Get("a"));
  LONGS_EQUAL(2, requests);
}
