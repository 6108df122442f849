#include "banyantrail/net/http_server.h"

#include <CppUTest/TestHarness.h>

#include <string>

#include "net/http_exchange.h"

namespace asio = boost::asio;
using banyantrail::HttpServer;
using banyantrail::IpEndpoint;
using banyantrail::test::Echo;
using banyantrail::test::FreeEndpoint;
using banyantrail::test::RunRaw;

TEST_GROUP(HttpServer) {
  asio::io_context io;
  IpEndpoint endpoint = FreeEndpoint(io);

  void RunIo() {
    io.run_for(banyantrail::seconds(2));
  }

  std::string RawAnswer(std::string bytes) {
    HttpServer server(io, {.endpoint = endpoint,
                           .handler = Echo,
                           .max_header_bytes = 1024,
                           .max_body_bytes = 1024});
    std::string answer;
    asio::co_spawn(io, RunRaw(endpoint, std::move(bytes), answer),
                   [&](std::exception_ptr) { io.stop(); });
    RunIo();
    return answer;
  }
};

TEST(HttpServer, ServerRefusesLargeHeaderAndBody) {
  STRCMP_EQUAL(
      "HTTP/1.1 431 Request Header Fields Too Large",
      RawAnswer("GET / HTTP/1.1\r\nA: " + std::string(2000, 'a') + "\r\n\r\n")
          .c_str());
}

TEST(HttpServer, ServerRefusesLengthTogetherWithChunkedFraming) {
  STRCMP_EQUAL("HTTP/1.1 400 Bad Request",
               RawAnswer("POST / HTTP/1.1\r\nContent-Length: 3\r\n"
                         "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n")
                   .c_str());
}

TEST(HttpServer, ServerRefusesBodyAboveItsLimit) {
  STRCMP_EQUAL(
      "HTTP/1.1 413 Payload Too Large",
      RawAnswer("POST / HTTP/1.1\r\nContent-Length: 4000\r\n\r\n").c_str());
}

TEST(HttpServer, PortInUseIsATypedError) {
  HttpServer first(io, {.endpoint = endpoint, .handler = Echo});
  CHECK_THROWS(banyantrail::Error,
               HttpServer(io, {.endpoint = endpoint, .handler = Echo}));
}
