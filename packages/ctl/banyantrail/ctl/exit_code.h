#pragma once

namespace banyantrail::ctl {

/// What the process ends with, for scripts.
enum class ExitCode {
  kOk = 0,
  /// Faults in declarations, a conflict, a refusal, or nothing found.
  kRefused = 1,
  /// A wrong command line.
  kUsage = 2,
  /// The node or the platform cannot be reached; nothing was changed.
  kUnavailable = 3,
  /// A change may or may not have been accepted.
  kOutcomeUnknown = 4,
  /// `diff` found differences.
  kDifferences = 5,
};

}  // namespace banyantrail::ctl
