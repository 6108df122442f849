// Stand-in for a backend server, for tests and the demonstration, see
// docs/PROTOCOLS.md. It announces itself to the node on its VM.

#include <tclap/CmdLine.h>

#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <iostream>
#include <sstream>

#include "banyantrail/core/errors.h"
#include "banyantrail/net/tcp_listener.h"
#include "standins/announcer.h"
#include "standins/backend_server.h"

namespace {

namespace asio = boost::asio;
using banyantrail::IpEndpoint;
using banyantrail::Labels;
using banyantrail::milliseconds;
using banyantrail::ParseIpEndpoint;
using banyantrail::SystemClock;
using banyantrail::TcpListener;
using banyantrail::TimePoint;
using banyantrail::standins::Announcer;
using banyantrail::standins::BackendServer;

struct Settings {
  IpEndpoint listen;
  IpEndpoint admin;
  BackendServer::Options server;
  Labels labels;
  milliseconds drain_grace{0};
};

Labels ParseLabels(const std::string& text) {
  Labels labels;
  std::istringstream pairs(text);
  std::string pair;
  while (std::getline(pairs, pair, ',')) {
    const std::size_t equals = pair.find('=');
    if (equals == std::string::npos) {
      throw banyantrail::Error(
          {.kind = banyantrail::ErrorKind::kInvalidSettings,
           .message = "--labels: '" + pair + "' is not key=value",
           .remedy = "write --labels key=value,key=value"});
    }
    labels[pair.substr(0, equals)] = pair.substr(equals + 1);
  }
  return labels;
}

Settings ParseCommandLine(int argc, char** argv) {
  TCLAP::CmdLine command("Backend server stand-in.", ' ', "1");
  TCLAP::ValueArg<std::string> listen("", "listen", "address to listen on",
                                      true, "", "IP:PORT", command);
  TCLAP::ValueArg<std::string> admin("", "admin",
                                     "admin listener of the VM's node", true,
                                     "", "IP:PORT", command);
  TCLAP::ValueArg<std::string> id("", "id", "backend server id", true, "", "id",
                                  command);
  TCLAP::ValueArg<std::string> service("", "service", "service name", true, "",
                                       "name", command);
  TCLAP::ValueArg<std::uint32_t> slots("", "slots",
                                       "requests executed at the same time",
                                       true, 1, "number", command);
  TCLAP::ValueArg<std::uint32_t> service_ms("", "service-ms",
                                            "service time of a request", false,
                                            0, "milliseconds", command);
  TCLAP::ValueArg<std::uint32_t> cold_ms(
      "", "cold-start-ms", "time with longer service times after the start",
      false, 0, "milliseconds", command);
  constexpr std::uint32_t kDefaultDrainGraceMs = 2000;
  TCLAP::ValueArg<std::uint32_t> grace_ms(
      "", "drain-grace-ms", "time in a drain before new requests are shed",
      false, kDefaultDrainGraceMs, "milliseconds", command);
  TCLAP::ValueArg<std::string> labels("", "labels", "labels", false, "",
                                      "key=value,...", command);
  TCLAP::ValueArg<std::string> run_log("", "run-log",
                                       "append the run records to this file",
                                       false, "", "file", command);
  command.parse(argc, argv);
  return {.listen = ParseIpEndpoint(listen.getValue()),
          .admin = ParseIpEndpoint(admin.getValue()),
          .server = {.server_id = id.getValue(),
                     .service = service.getValue(),
                     .slots = slots.getValue(),
                     .service_time = milliseconds(service_ms.getValue()),
                     .cold_start = milliseconds(cold_ms.getValue()),
                     .run_log_file = run_log.getValue()},
          .labels = ParseLabels(labels.getValue()),
          .drain_grace = milliseconds(grace_ms.getValue())};
}

/// Announces the drain, accepts requests during the grace period, finishes
/// those in progress and withdraws the announcement.
asio::awaitable<void> Drain(BackendServer& server,
                            Announcer& announcer,
                            milliseconds grace) {
  constexpr milliseconds kPollInterval{20};
  server.StartDrain();
  const TimePoint shed_at = SystemClock().Now() + grace;
  co_await announcer.AnnounceDraining();
  asio::steady_timer timer(co_await asio::this_coro::executor);
  timer.expires_at(shed_at);
  co_await timer.async_wait(asio::use_awaitable);
  server.ShedNewRequests();
  while (server.busy_slots() > 0) {
    timer.expires_after(kPollInterval);
    co_await timer.async_wait(asio::use_awaitable);
  }
  co_await announcer.Withdraw();
  server.RecordServerLeft();
}

int Run(int argc, char** argv) {
  Settings settings = ParseCommandLine(argc, argv);
  asio::io_context io;
  BackendServer server(SystemClock().Now(), settings.server);
  TcpListener listener(io,
                       {.endpoint = settings.listen,
                        .max_connections = 4096,
                        .session = [&server](boost::beast::tcp_stream stream) {
                          return server.ServeConnection(std::move(stream));
                        }});
  Announcer announcer(io, {.node_admin = settings.admin,
                           .server_id = settings.server.server_id,
                           .service = settings.server.service,
                           .labels = settings.labels,
                           .address = settings.listen,
                           .slots = settings.server.slots});
  asio::co_spawn(io, announcer.Run(), asio::detached);
  asio::signal_set signals(io, SIGTERM, SIGINT);
  signals.async_wait([&](auto, int) {
    asio::co_spawn(io, Drain(server, announcer, settings.drain_grace),
                   [&io](const std::exception_ptr&) { io.stop(); });
  });
  io.run();
  return 0;
}

}  // namespace

int main(int argc, char** argv) {
  constexpr int kUsageError = 2;
  try {
    return Run(argc, argv);
  } catch (const std::exception& error) {
    std::cerr << "backend_server_stand_in: " << error.what() << "\n";
    return kUsageError;
  }
}
