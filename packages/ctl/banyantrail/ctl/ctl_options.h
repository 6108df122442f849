#pragma once

#include <optional>
#include <string>
#include <vector>

#include "banyantrail/core/clock.h"
#include "banyantrail/core/ids.h"
#include "banyantrail/core/ip_endpoint.h"

namespace banyantrail::ctl {

enum class OutputFormat { kText, kJson };

/// The parsed command line.
struct CtlOptions {
  std::string command;
  /// Arguments of the command, such as a directory, an object key, a proxy, or
  /// a request id and log files.
  std::vector<std::string> operands;
  /// The admin listener of any node.
  IpEndpoint node;
  /// For each response of the node.
  milliseconds timeout{10'000};
  OutputFormat output = OutputFormat::kText;
  /// Whether `diff` and `apply` delete objects that the directory lacks.
  bool prune = false;
  /// A second directory, which `diff` compares with instead of a release.
  std::optional<std::string> against;
  /// The revision that the directory was derived from. If not set, `apply` uses
  /// the newest and `diff` the one that the node applies.
  std::optional<ReleaseNumber> base;
  std::string author;
  std::string message;
  /// The change id of an earlier `apply` whose outcome is unknown.
  std::optional<ChangeId> change;
  /// Number of changes that `history` shows.
  std::size_t limit = 20;
  /// See RuleStatusOptions.
  milliseconds max_report_age{15'000};
};

/// Parses the command line. Returns nullopt after printing the help or the
/// version. Throws Error{kInvalidSettings} for an invalid command line.
std::optional<CtlOptions> ParseCommandLine(int argc, char** argv);

}  // namespace banyantrail::ctl
