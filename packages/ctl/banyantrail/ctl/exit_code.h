#pragma once

namespace banyantrail::ctl {

/// Exit status of the process; scripts depend on the values.
enum class ExitCode {
  kOk = 0,
  /// Faults in the declarations, a conflict, another refusal, or the requested
  /// item was not found.
  kRefused = 1,
  /// Invalid command line.
  kUsage = 2,
  /// The node or the platform is unreachable; nothing was changed.
  kUnavailable = 3,
  /// A change may or may not have been accepted.
  kOutcomeUnknown = 4,
  /// `diff` found differences.
  kDifferences = 5,
};

}  // namespace banyantrail::ctl
