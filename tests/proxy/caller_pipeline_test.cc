// Requests that a caller sends ahead of responses on one connection.

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "proxy/request_path.h"

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using banyantrail::milliseconds;
using banyantrail::seconds;
using banyantrail::beast::tcp_stream;
using banyantrail::test::ReadBackendRequest;
using banyantrail::test::RequestPath;
using banyantrail::test::WriteText;

namespace {

using Targets = std::vector<std::string>;

std::string Get(const std::string& target, const std::string& fields = {}) {
  return "GET " + target + " HTTP/1.1\r\nHost: mesh\r\n" + fields + "\r\n";
}

std::string Post(const std::string& target) {
  return "POST " + target +
         " HTTP/1.1\r\nHost: mesh\r\nContent-Length: 2\r\n\r\nhi";
}

/// A backend server that responds with the target of the request. Requests
/// whose target contains "slow" wait until they are released, and those that
/// contain "held" for ever.
class GatedBackend {
 public:
  RequestPath::BackendHandler handler() {
    return [this](tcp_stream& stream) { return Serve(stream); };
  }

  Targets received;
  /// Targets of requests whose connection was closed before the response.
  Targets cancelled;
  bool is_released = false;
  std::size_t padding = 0;

 private:
  asio::awaitable<void> Serve(tcp_stream& stream) {
    while (true) {
      const auto request = co_await ReadBackendRequest(stream);
      const std::string target(request.target());
      received.push_back(target);
      const bool is_held = target.find("held") != std::string::npos;
      const bool must_wait =
          is_held || target.find("slow") != std::string::npos;
      if (must_wait && !co_await Released(stream, is_held)) {
        cancelled.push_back(target);
        co_return;
      }
      if (target.find("broken") != std::string::npos) {
        co_await WriteText(stream,
                           "HTTP/1.1 200 OK\r\nContent-Length: 200000\r\n\r\n" +
                               std::string(100'000, 'x'));
        stream.close();
        co_return;
      }
      http::response<http::string_body> response(http::status::ok, 11);
      response.body() = target + std::string(padding, '.');
      response.prepare_payload();
      co_await http::async_write(stream, response, asio::use_awaitable);
    }
  }

  /// Returns false if the connection was closed before the release.
  asio::awaitable<bool> Released(tcp_stream& stream, bool is_held) {
    asio::steady_timer timer(stream.get_executor());
    while (is_held || !is_released) {
      const auto error = banyantrail::PeekNonBlocking(stream.socket());
      if (error && error != asio::error::would_block) {
        co_return false;
      }
      timer.expires_after(milliseconds(2));
      co_await timer.async_wait(asio::use_awaitable);
    }
    co_return true;
  }
};

struct Answer {
  unsigned status = 0;
  std::string body;
  bool keep_alive = false;
};

/// A caller's connection, which collects what it receives.
class Connection {
 public:
  explicit Connection(RequestPath& path, bool reads = true)
      : m_socket(path.io) {
    m_socket.connect(banyantrail::ToTcpEndpoint(path.caller_address()));
    if (reads) {
      Receive();
    }
  }

  void Send(const std::string& text) {
    asio::write(m_socket, asio::buffer(text));
  }

  /// Closes the connection without reading what has arrived.
  void Leave() { m_socket.close(); }

  bool is_closed() const { return m_is_closed; }

  /// The complete responses received so far.
  std::vector<Answer> Answers() const {
    std::vector<Answer> answers;
    std::string_view rest = m_received;
    while (!rest.empty()) {
      http::response_parser<http::string_body> parser;
      parser.eager(true);
      boost::system::error_code error;
      rest.remove_prefix(
          parser.put(asio::buffer(rest.data(), rest.size()), error));
      if (error || !parser.is_done()) {
        break;
      }
      answers.push_back({.status = parser.get().result_int(),
                         .body = parser.get().body(),
                         .keep_alive = parser.get().keep_alive()});
    }
    return answers;
  }

  Targets Bodies() const {
    Targets bodies;
    for (const Answer& answer : Answers()) {
      bodies.push_back(answer.body);
    }
    return bodies;
  }

 private:
  void Receive() {
    m_socket.async_read_some(
        asio::buffer(m_part),
        [this](const boost::system::error_code& error, std::size_t size) {
          m_received.append(m_part.data(), size);
          m_is_closed = static_cast<bool>(error);
          if (!error) {
            Receive();
          }
        });
  }

  asio::ip::tcp::socket m_socket;
  std::array<char, 4096> m_part{};
  std::string m_received;
  bool m_is_closed = false;
};

}  // namespace

TEST_GROUP(CallerPipeline) {
  GatedBackend backend;
  RequestPath path{backend.handler()};

  void setup() override {
    path.slots = 16;
    path.more_rules.push_back({.name = banyantrail::RuleName("commits"),
                               .selector = banyantrail::SelectorName("all"),
                               .path_prefix = "/commits",
                               .service = banyantrail::ServiceName("orders"),
                               .rank = banyantrail::RankName("urgent"),
                               .idempotent = false,
                               .deadline = milliseconds(3000)});
    path.SetState(banyantrail::BackendServerState::kServing);
    path.SetRule(seconds(3), true);
  }

  bool Received(std::size_t count) {
    return path.RunUntil([&] { return backend.received.size() >= count; },
                         seconds(2));
  }

  bool Answered(const Connection& caller, std::size_t count) {
    return path.RunUntil([&] { return caller.Answers().size() >= count; },
                         seconds(5));
  }

  void RunFor(banyantrail::Duration time) {
    path.RunUntil([] { return false; }, time);
  }
};

// Guards against head-of-line blocking: each request waited until the one
// before it was answered.
TEST(CallerPipeline, RequestsRunBesideASlowFirstOne) {
  Connection caller(path);
  caller.Send(Get("/orders/slow") + Get("/orders/2") + Get("/orders/3"));
  CHECK(Received(3));
  RunFor(milliseconds(50));
  LONGS_EQUAL(0, caller.Answers().size());
  backend.is_released = true;
  CHECK(Answered(caller, 3));
  CHECK(caller.Bodies() == Targets({"/orders/slow", "/orders/2", "/orders/3"}));
  // The connection is idle again and takes further requests.
  caller.Send(Get("/orders/4"));
  CHECK(Answered(caller, 4));
  LONGS_EQUAL(0, path.entry_requests());
}

TEST(CallerPipeline, RequestsThatArriveLaterStartBesideTheFirst) {
  Connection caller(path);
  caller.Send(Get("/orders/slow"));
  CHECK(Received(1));
  const std::string second = Get("/orders/2");
  caller.Send(second.substr(0, 10));
  RunFor(milliseconds(20));
  caller.Send(second.substr(10));
  CHECK(Received(2));
  backend.is_released = true;
  CHECK(Answered(caller, 2));
  CHECK(caller.Bodies() == Targets({"/orders/slow", "/orders/2"}));
}

// The caller sends everything behind a closing response again. An order among
// it would run twice, if it had started.
TEST(CallerPipeline, OrdersWaitAndHoldBackThoseBehindThem) {
  Connection caller(path);
  caller.Send(Get("/orders/slow") + Post("/commits/2") + Get("/orders/3"));
  CHECK(Received(1));
  RunFor(milliseconds(100));
  LONGS_EQUAL(1, backend.received.size());
  backend.is_released = true;
  CHECK(Answered(caller, 3));
  CHECK(caller.Bodies() ==
        Targets({"/orders/slow", "/commits/2", "/orders/3"}));
}

TEST(CallerPipeline, NothingStartsBesideAnOrder) {
  Connection caller(path);
  caller.Send(Post("/commits/slow") + Get("/orders/2"));
  CHECK(Received(1));
  RunFor(milliseconds(100));
  LONGS_EQUAL(1, backend.received.size());
  backend.is_released = true;
  CHECK(Answered(caller, 2));
}

TEST(CallerPipeline, MalformedRequestIsRefusedInItsTurn) {
  Connection caller(path);
  caller.Send(Get("/orders/slow") + Get("/orders/2") + "nonsense\r\n\r\n");
  CHECK(Received(2));
  backend.is_released = true;
  CHECK(Answered(caller, 3));
  const std::vector<Answer> answers = caller.Answers();
  LONGS_EQUAL(200, answers[1].status);
  LONGS_EQUAL(400, answers[2].status);
  CHECK(path.RunUntil([&] { return caller.is_closed(); }));
}

TEST(CallerPipeline, RefusalsKeepTheOrder) {
  Connection caller(path);
  path.SetRule(milliseconds(300), true);
  caller.Send(Get("/orders/slow") + Get("/orders/slow2") + Get("/orders/3"));
  CHECK(Answered(caller, 3));
  const std::vector<Answer> answers = caller.Answers();
  LONGS_EQUAL(504, answers[0].status);
  LONGS_EQUAL(504, answers[1].status);
  STRCMP_EQUAL("/orders/3", answers[2].body.c_str());
}

// A response that breaks off ends the connection. What runs behind it is
// cancelled, and an order behind it must not run.
TEST(CallerPipeline, ClosingResponseCancelsThoseBehindIt) {
  Connection caller(path);
  caller.Send(Get("/orders/slow") + Get("/orders/broken") +
              Get("/orders/held") + Post("/commits/4"));
  CHECK(Received(3));
  backend.is_released = true;
  CHECK(path.RunUntil([&] { return caller.is_closed(); }));
  CHECK(caller.Bodies() == Targets({"/orders/slow"}));
  CHECK(path.RunUntil([&] { return backend.cancelled.size() == 1; },
                      milliseconds(500)));
  RunFor(milliseconds(50));
  LONGS_EQUAL(0, std::ranges::count(backend.received, "/commits/4"));
  LONGS_EQUAL(0, path.entry_requests());
}

TEST(CallerPipeline, RequestWithConnectionCloseIsTheLast) {
  Connection caller(path);
  caller.Send(Get("/orders/slow") + Get("/orders/2", "Connection: close\r\n") +
              Get("/orders/3"));
  CHECK(Received(2));
  backend.is_released = true;
  CHECK(path.RunUntil([&] { return caller.is_closed(); }));
  CHECK(caller.Bodies() == Targets({"/orders/slow", "/orders/2"}));
  LONGS_EQUAL(2, backend.received.size());
}

// A caller that left must not hold the slots of backend servers.
TEST(CallerPipeline, CallerThatLeavesCancelsAllItsRequests) {
  Connection caller(path);
  caller.Send(Get("/orders/slow1") + Get("/orders/slow2") +
              Get("/orders/slow3"));
  CHECK(Received(3));
  caller.Leave();
  CHECK(path.RunUntil([&] { return backend.cancelled.size() == 3; },
                      milliseconds(500)));
  CHECK(path.RunUntil([&] { return path.entry_requests() == 0; }));
}

// The end of the connection is behind bytes that are not read while an order
// waits.
TEST(CallerPipeline, CallerThatLeavesBehindUnreadRequestsIsNoticed) {
  Connection caller(path);
  std::string text = Get("/orders/slow1") + Get("/orders/slow2");
  for (int i = 0; i < 200; ++i) {
    text += Post("/commits/3");
  }
  caller.Send(text);
  CHECK(Received(2));
  caller.Leave();
  CHECK(path.RunUntil([&] { return backend.cancelled.size() == 2; },
                      milliseconds(500)));
  CHECK(path.RunUntil([&] { return path.entry_requests() == 0; }));
  LONGS_EQUAL(2, backend.received.size());
}

// A graceful shutdown must answer what was forwarded, although its first
// response already said that the connection closes.
TEST(CallerPipeline, ShutdownAnswersWhatWasForwarded) {
  Connection caller(path);
  caller.Send(Get("/orders/slow1") + Get("/orders/slow2"));
  CHECK(Received(2));
  path.StartShutdown();
  caller.Send(Get("/orders/3"));
  RunFor(milliseconds(50));
  backend.is_released = true;
  CHECK(path.RunUntil([&] { return caller.is_closed(); }));
  const std::vector<Answer> answers = caller.Answers();
  LONGS_EQUAL(2, answers.size());
  CHECK(answers[0].keep_alive);
  CHECK_FALSE(answers[1].keep_alive);
  LONGS_EQUAL(2, backend.received.size());
}

TEST(CallerPipeline, EndOfTheShutdownAnswersWhatStillRuns) {
  Connection caller(path);
  caller.Send(Get("/orders/slow1") + Get("/orders/slow2"));
  CHECK(Received(2));
  path.StartShutdown();
  path.EndRequests();
  CHECK(path.RunUntil([&] { return caller.is_closed(); }));
  LONGS_EQUAL(2, caller.Answers().size());
}

// Guards against a caller that sends requests and takes no responses: it must
// hold no more than the window and what the sockets hold.
TEST(CallerPipeline, CallerThatNeverReadsIsNotReadOn) {
  constexpr std::size_t kMaxInSockets = 100;
  backend.padding = 200'000;
  Connection caller(path, false);
  std::string text;
  for (int i = 0; i < 1000; ++i) {
    text += Get("/orders/1");
  }
  caller.Send(text);
  path.RunUntil(
      [&] {
        CHECK(path.entry_requests() <= 8);
        return false;
      },
      milliseconds(1000));
  CHECK(backend.received.size() > 8);
  CHECK(backend.received.size() < kMaxInSockets);
  caller.Leave();
  CHECK(path.RunUntil([&] { return path.entry_requests() == 0; }));
}

TEST(CallerPipeline, WindowLimitsTheRequestsThatRun) {
  Connection caller(path);
  std::string text;
  for (int i = 0; i < 1000; ++i) {
    text += Get("/orders/slow");
  }
  caller.Send(text);
  CHECK(Received(4));
  RunFor(milliseconds(200));
  LONGS_EQUAL(8, path.entry_requests());
  caller.Leave();
  CHECK(path.RunUntil([&] { return path.entry_requests() == 0; }));
}

// With a declared limit of one request, a connection is served as before.
TEST(CallerPipeline, DeclaredLimitTakesPrecedenceOverTheSettings) {
  path.caller_limits.push_back({.max_header_bytes = 4096,
                                .max_body_bytes = 4096,
                                .header_timeout = milliseconds(200),
                                .idle_timeout = seconds(60),
                                .max_pipelined_requests = 1});
  path.SetRule(seconds(3), true);
  Connection caller(path);
  caller.Send(Get("/orders/slow") + Get("/orders/2"));
  CHECK(Received(1));
  RunFor(milliseconds(100));
  LONGS_EQUAL(1, backend.received.size());
  backend.is_released = true;
  CHECK(Answered(caller, 2));
}

// Responses above the window's bytes wait on their upstream connections.
TEST(CallerPipeline, LargeResponsesLeaveInTheirTurn) {
  backend.padding = 200'000;
  Connection caller(path);
  caller.Send(Get("/orders/slow") + Get("/orders/2") + Get("/orders/3"));
  CHECK(Received(3));
  backend.is_released = true;
  CHECK(Answered(caller, 3));
  for (const Answer& answer : caller.Answers()) {
    CHECK(answer.body.size() > 200'000);
  }
}
