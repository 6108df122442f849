#pragma once

#include "banyantrail/ctl/commands.h"

/// The commands that query a node, and `drain`.
namespace banyantrail::ctl {

ExitCode RunGet(CommandContext& context);
ExitCode RunStatus(CommandContext& context);
ExitCode RunExplain(CommandContext& context);
ExitCode RunHistory(CommandContext& context);
ExitCode RunMembers(CommandContext& context);
ExitCode RunDrain(CommandContext& context);

}  // namespace banyantrail::ctl
