#include "banyantrail/ctl/ctl_options.h"

#include <CppUTest/TestHarness.h>

#include <string>
#include <vector>

#include "banyantrail/core/errors.h"

using banyantrail::Error;
using banyantrail::IpEndpoint;
using banyantrail::ReleaseNumber;
using banyantrail::ctl::CtlOptions;
using banyantrail::ctl::OutputFormat;
using banyantrail::ctl::ParseCommandLine;

namespace {

CtlOptions Parse(std::vector<std::string> arguments) {
  arguments.insert(arguments.begin(), "banyantrailctl");
  std::vector<char*> pointers;
  pointers.reserve(arguments.size());
  for (std::string& argument : arguments) {
    pointers.push_back(argument.data());
  }
  return *ParseCommandLine(static_cast<int>(pointers.size()), pointers.data());
}

}  // namespace

TEST_GROUP(CtlOptions){};

TEST(CtlOptions, AcceptsFlagsBeforeAndAfterTheCommand) {
  const CtlOptions options =
      Parse({"--node", "127.0.0.1:7", "apply", "dir", "--prune", "--base", "4",
             "--output", "json"});
  STRCMP_EQUAL("apply", options.command.c_str());
  STRCMP_EQUAL("dir", options.operands.at(0).c_str());
  CHECK(options.node == (IpEndpoint{"127.0.0.1", 7}));
  CHECK(options.prune);
  CHECK(options.base == ReleaseNumber{4});
  CHECK(options.output == OutputFormat::kJson);
}

TEST(CtlOptions, RejectsInvalidCommandLines) {
  const std::vector<std::vector<std::string>> invalid = {
      {},
      {"fly"},
      {"validate"},
      {"validate", "a", "b"},
      {"status", "--output", "xml"},
      {"status", "--node", "localhost:1"},
      {"apply", "dir", "--change", "no spaces"},
      {"status", "--no-such-flag"}};
  for (const auto& arguments : invalid) {
    CHECK_THROWS(Error, Parse(arguments));
  }
}
