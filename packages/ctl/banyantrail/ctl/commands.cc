#include "banyantrail/ctl/commands.h"

#include <algorithm>
#include <array>
#include <string_view>

#include "banyantrail/ctl/declaration_commands.h"
#include "banyantrail/ctl/query_commands.h"
#include "banyantrail/ctl/request_trace.h"

namespace banyantrail::ctl {
namespace {

struct Command {
  std::string_view name;
  ExitCode (*run)(CommandContext& context);
};

constexpr std::array<Command, 10> kCommands{{{"validate", &RunValidate},
                                             {"diff", &RunDiff},
                                             {"apply", &RunApply},
                                             {"get", &RunGet},
                                             {"status", &RunStatus},
                                             {"explain", &RunExplain},
                                             {"history", &RunHistory},
                                             {"members", &RunMembers},
                                             {"drain", &RunDrain},
                                             {"trace", &RunTrace}}};

}  // namespace

ExitCode RunCommand(CommandContext& context) {
  const auto command =
      std::ranges::find(kCommands, context.options.command, &Command::name);
  if (command == kCommands.end()) {
    return ExitCode::kUsage;  // Unreachable: ParseCommandLine checks the name.
  }
  return command->run(context);
}

ExitCode ExitCodeOf(const Error& error) {
  switch (error.kind()) {
    case ErrorKind::kInvalidSettings:
      return ExitCode::kUsage;
    case ErrorKind::kNetwork:
    case ErrorKind::kOutcomeUnknown:  // Only for reads; `apply` reports the
                                      // outcome of its change itself.
    case ErrorKind::kPlatformUnavailable:
    case ErrorKind::kPlatformOverloaded:
      return ExitCode::kUnavailable;
    case ErrorKind::kInvalidDeclaration:
    case ErrorKind::kConflict:
    case ErrorKind::kMalformedMessage:
    case ErrorKind::kDigestMismatch:
    case ErrorKind::kNotFound:
      return ExitCode::kRefused;
  }
  return ExitCode::kRefused;
}

}  // namespace banyantrail::ctl
