#pragma once

#include <ostream>

#include "banyantrail/core/errors.h"
#include "banyantrail/ctl/ctl_options.h"
#include "banyantrail/ctl/exit_code.h"
#include "banyantrail/ctl/node_client.h"

namespace banyantrail::ctl {

/// What a command works with.
struct CommandContext {
  const CtlOptions& options;
  NodeClient& client;
  std::ostream& out;
  std::ostream& err;
};

/// Runs the command that the options name. Throws Error for what it cannot
/// read or reach.
ExitCode RunCommand(CommandContext& context);

/// What an error that reached main ends the process with.
ExitCode ExitCodeOf(const Error& error);

}  // namespace banyantrail::ctl
