#pragma once

#include <ostream>

#include "banyantrail/core/errors.h"
#include "banyantrail/ctl/ctl_options.h"
#include "banyantrail/ctl/exit_code.h"
#include "banyantrail/ctl/node_client.h"

namespace banyantrail::ctl {

/// The input and output of a command.
struct CommandContext {
  const CtlOptions& options;
  NodeClient& client;
  std::ostream& out;
  std::ostream& err;
};

/// Runs the command named in the options. Throws Error when a file or the node
/// cannot be read.
ExitCode RunCommand(CommandContext& context);

/// Maps an error that ends the process to its exit code.
ExitCode ExitCodeOf(const Error& error);

}  // namespace banyantrail::ctl
