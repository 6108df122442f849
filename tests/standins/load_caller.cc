// Sends requests to nodes as callers do: either open-loop load of several
// request classes, or pairs of a direct call and a call through a node to
// measure the latency that the node adds. Prints a report in JSON.

#include <tclap/CmdLine.h>

#include <fstream>
#include <iostream>
#include <iterator>
#include <nlohmann/json.hpp>

#include "standins/load_generator.h"
#include "standins/pair_measurement.h"

namespace {

namespace asio = boost::asio;
using banyantrail::standins::CallClient;
using banyantrail::standins::LatencyRecord;
using banyantrail::standins::LoadGenerator;
using banyantrail::standins::PairOptions;
using banyantrail::standins::PairResult;
using nlohmann::json;

constexpr double kMedian = 0.5;
constexpr double kP99 = 0.99;
constexpr int kUsageError = 2;
constexpr int kFailedCalls = 1;

std::string ReadFile(const std::string& path) {
  std::ifstream in(path);
  if (!in) {
    throw std::runtime_error("cannot read " + path);
  }
  return {std::istreambuf_iterator<char>(in), {}};
}

json Percentiles(const LatencyRecord& record) {
  return {{"count", record.count()},
          {"p50_us", record.Percentile(kMedian)},
          {"p99_us", record.Percentile(kP99)},
          {"max_us", record.Percentile(1)}};
}

int RunPairs(const PairOptions& options) {
  asio::io_context io;
  CallClient client(io.get_executor());
  PairResult result;
  asio::co_spawn(io, MeasurePairs(client, options),
                 [&result](const std::exception_ptr&, PairResult measured) {
                   result = std::move(measured);
                 });
  io.run();
  const json report = {
      {"direct", Percentiles(result.direct)},
      {"through_node", Percentiles(result.through_node)},
      {"failures", result.failures},
      {"added_p50_us", result.through_node.Percentile(kMedian) -
                           result.direct.Percentile(kMedian)},
      {"added_p99_us",
       result.through_node.Percentile(kP99) - result.direct.Percentile(kP99)}};
  std::cout << report.dump(2) << "\n";
  return result.failures == 0 ? 0 : kFailedCalls;
}

int RunPlan(const std::string& plan_file, const std::string& history_file) {
  asio::io_context io;
  LoadGenerator generator(
      io, {.plan = banyantrail::standins::ParseLoadPlan(ReadFile(plan_file)),
           .history_file = history_file});
  generator.Start();
  io.run();
  std::cout << generator.Report().dump(2) << "\n";
  return 0;
}

int Run(int argc, char** argv) {
  TCLAP::CmdLine command("Sends requests to nodes and reports the outcomes.",
                         ' ', "1");
  TCLAP::ValueArg<std::string> plan("", "plan", "load plan in JSON", false, "",
                                    "file", command);
  TCLAP::ValueArg<std::string> history("", "history",
                                       "append the history to this file", false,
                                       "", "file", command);
  TCLAP::SwitchArg pair("", "pair", "measure pairs of direct and proxied calls",
                        command);
  TCLAP::ValueArg<std::string> direct("", "direct", "backend server to call",
                                      false, "127.0.0.1:0", "IP:PORT", command);
  TCLAP::ValueArg<std::string> node("", "through", "caller listener of a node",
                                    false, "127.0.0.1:0", "IP:PORT", command);
  TCLAP::ValueArg<std::string> path("", "path",
                                    "path of the calls of each pair", false,
                                    "/", "path", command);
  constexpr std::uint32_t kDefaultCount = 1000;
  TCLAP::ValueArg<std::uint32_t> count("", "count", "number of pairs", false,
                                       kDefaultCount, "number", command);
  TCLAP::ValueArg<std::uint32_t> pause("", "pause-us", "pause after each pair",
                                       false, 0, "microseconds", command);
  command.parse(argc, argv);
  if (pair.getValue()) {
    return RunPairs({.direct = banyantrail::ParseIpEndpoint(direct.getValue()),
                     .node = banyantrail::ParseIpEndpoint(node.getValue()),
                     .target = path.getValue(),
                     .count = count.getValue(),
                     .pause = banyantrail::microseconds(pause.getValue())});
  }
  return RunPlan(plan.getValue(), history.getValue());
}

}  // namespace

int main(int argc, char** argv) {
  try {
    return Run(argc, argv);
  } catch (const std::exception& error) {
    std::cerr << "load_caller: " << error.what() << "\n";
    return kUsageError;
  }
}
