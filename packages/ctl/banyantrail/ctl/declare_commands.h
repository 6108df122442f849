#pragma once

#include "banyantrail/ctl/commands.h"

/// The commands that work on directories of declarations.
namespace banyantrail::ctl {

ExitCode RunValidate(CommandContext& context);
ExitCode RunDiff(CommandContext& context);
ExitCode RunApply(CommandContext& context);

}  // namespace banyantrail::ctl
