#include "banyantrail/net/http_server.h"

#include <CppUTest/TestHarness.h>

#include <string>

#include "net/http_exchange.h"

namespace asio = boost::asio;
using banyantrail::HttpServer;
using banyantrail::IpEndpoint;
using banyantrail::test::Echo;
using banyantrail::test::FloodResult;
using banyantrail::test::FreeEndpoint;
using banyantrail::test::kMaxFloodBytes;
using banyantrail::test::SendFlood;
using banyantrail::test::SendRawRequest;

TEST_GROUP(HttpServer) {
  asio::io_context io;
  IpEndpoint endpoint = FreeEndpoint(io);

  void RunIo() {
    io.run_for(banyantrail::seconds(2));
  }

  std::string ReadStatusLine(std::string bytes) {
    HttpServer server(io, {.endpoint = endpoint,
                           .handler = Echo,
                           .max_header_bytes = 1024,
                           .max_body_bytes = 1024});
    std::string status_line;
    asio::co_spawn(io, SendRawRequest(endpoint, std::move(bytes), status_line),
                   [&](std::exception_ptr) { io.stop(); });
    RunIo();
    return status_line;
  }
};

TEST(HttpServer, RefusesHeaderAboveItsLimit) {
  STRCMP_EQUAL("HTTP/1.1 431 Request Header Fields Too Large",
               ReadStatusLine("GET / HTTP/1.1\r\nA: " + std::string(2000, 'a') +
                              "\r\n\r\n")
                   .c_str());
}

TEST(HttpServer, RefusesContentLengthWithChunkedEncoding) {
  STRCMP_EQUAL("HTTP/1.1 400 Bad Request",
               ReadStatusLine("POST / HTTP/1.1\r\nContent-Length: 3\r\n"
                              "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n")
                   .c_str());
}

TEST(HttpServer, RefusesBodyAboveItsLimit) {
  STRCMP_EQUAL("HTTP/1.1 413 Payload Too Large",
               ReadStatusLine("POST / HTTP/1.1\r\nContent-Length: 4000\r\n\r\n")
                   .c_str());
}

// Anyone on the VM may send to the listeners of a node.
TEST(HttpServer, EndlessChunkHeaderIsCutOff) {
  HttpServer server(io, {.endpoint = endpoint, .handler = Echo});
  banyantrail::beast::tcp_stream caller(io);
  caller.socket().connect(banyantrail::ToTcpEndpoint(endpoint));
  FloodResult flood;
  asio::co_spawn(io,
                 SendFlood(caller,
                           "POST / HTTP/1.1\r\n"
                           "Transfer-Encoding: chunked\r\n\r\n",
                           flood),
                 asio::detached);
  RunIo();
  CHECK(flood.ended);
  CHECK(flood.sent_bytes < kMaxFloodBytes);
}

TEST(HttpServer, PortInUseThrowsError) {
  HttpServer first(io, {.endpoint = endpoint, .handler = Echo});
  CHECK_THROWS(banyantrail::Error,
               HttpServer(io, {.endpoint = endpoint, .handler = Echo}));
}
