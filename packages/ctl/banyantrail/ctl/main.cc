// The command-line tool for operators.

#include <iostream>
#include <nlohmann/json.hpp>
#include <optional>

#include "banyantrail/core/errors.h"
#include "banyantrail/ctl/commands.h"
#include "banyantrail/ctl/ctl_options.h"

namespace {

using banyantrail::Error;
using banyantrail::ctl::CommandContext;
using banyantrail::ctl::CtlOptions;
using banyantrail::ctl::ExitCode;
using banyantrail::ctl::NodeClient;
using banyantrail::ctl::OutputFormat;

ExitCode Report(const Error& error, OutputFormat output) {
  if (output == OutputFormat::kJson) {
    std::cout << nlohmann::json{{"error", error.message()},
                                {"remedy", error.remedy()}}
                     .dump(2)
              << "\n";
  } else {
    std::cerr << "banyantrailctl: " << error.what() << "\n";
  }
  return banyantrail::ctl::ExitCodeOf(error);
}

ExitCode Run(const CtlOptions& options) {
  NodeClient client({.node = options.node, .timeout = options.timeout});
  CommandContext context{
      .options = options, .client = client, .out = std::cout, .err = std::cerr};
  try {
    return banyantrail::ctl::RunCommand(context);
  } catch (const Error& error) {
    return Report(error, options.output);
  }
}

ExitCode Main(int argc, char** argv) {
  try {
    const auto options = banyantrail::ctl::ParseCommandLine(argc, argv);
    return options ? Run(*options) : ExitCode::kOk;
  } catch (const Error& error) {
    return Report(error, OutputFormat::kText);
  } catch (const std::exception& error) {
    std::cerr << "banyantrailctl: " << error.what() << "\n";
    return ExitCode::kRefused;
  }
}

}  // namespace

int main(int argc, char** argv) {
  return static_cast<int>(Main(argc, argv));
}
