#pragma once

#include "banyantrail/ctl/commands.h"

/// The commands that read a directory of declarations.
namespace banyantrail::ctl {

ExitCode RunValidate(CommandContext& context);
ExitCode RunDiff(CommandContext& context);
ExitCode RunApply(CommandContext& context);

}  // namespace banyantrail::ctl
