// Stand-in for the platform's object API, see docs/PROTOCOLS.md. It stores
// objects in memory.

#include <tclap/CmdLine.h>

#include <boost/asio/signal_set.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>
#include <csignal>
#include <iostream>

#include "banyantrail/core/errors.h"
#include "banyantrail/net/tcp_listener.h"
#include "standins/platform_service.h"

namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using banyantrail::HttpResponse;
using banyantrail::TcpListener;
using banyantrail::standins::PlatformService;

/// Larger than the 1 MB limit of a value, so that the service can respond 413.
constexpr std::uint64_t kMaxBodyBytes = 4U << 20U;

asio::awaitable<void> ServeConnection(PlatformService& service,
                                      boost::beast::tcp_stream stream) {
  boost::beast::flat_buffer buffer;
  bool keep_alive = true;
  while (keep_alive) {
    http::request_parser<http::string_body> parser;
    parser.body_limit(kMaxBodyBytes);
    co_await http::async_read(stream, buffer, parser, asio::use_awaitable);
    keep_alive = parser.get().keep_alive();
    std::optional<HttpResponse> response =
        co_await service.Handle(parser.release());
    if (!response) {
      co_return;
    }
    response->keep_alive(keep_alive);
    response->prepare_payload();
    co_await http::async_write(stream, *response, asio::use_awaitable);
  }
}

int Run(int argc, char** argv) {
  TCLAP::CmdLine command("Stand-in for the platform's object API.", ' ', "1");
  TCLAP::ValueArg<std::string> listen("", "listen", "address to listen on",
                                      true, "", "IP:PORT", command);
  TCLAP::ValueArg<double> writes("", "writes-per-second",
                                 "maximum rate of writes", false, 400, "number",
                                 command);
  TCLAP::ValueArg<double> reads("", "reads-per-second", "maximum rate of reads",
                                false, 2000, "number", command);
  command.parse(argc, argv);

  asio::io_context io;
  PlatformService service(io.get_executor(),
                          {.writes_per_second = writes.getValue(),
                           .reads_per_second = reads.getValue()});
  TcpListener listener(
      io, {.endpoint = banyantrail::ParseIpEndpoint(listen.getValue()),
           .max_connections = 4096,
           .session = [&service](boost::beast::tcp_stream stream) {
             return ServeConnection(service, std::move(stream));
           }});
  asio::signal_set signals(io, SIGTERM, SIGINT);
  signals.async_wait([&io](auto, int) { io.stop(); });
  io.run();
  return 0;
}

}  // namespace

int main(int argc, char** argv) {
  constexpr int kUsageError = 2;
  try {
    return Run(argc, argv);
  } catch (const std::exception& error) {
    std::cerr << "platform_stand_in: " << error.what() << "\n";
    return kUsageError;
  }
}
