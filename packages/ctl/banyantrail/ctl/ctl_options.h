#pragma once

#include <optional>
#include <string>
#include <vector>

#include "banyantrail/core/clock.h"
#include "banyantrail/core/ids.h"
#include "banyantrail/core/ip_endpoint.h"

namespace banyantrail::ctl {

enum class OutputFormat { kText, kJson };

/// The command line.
struct CtlOptions {
  std::string command;
  /// What follows the command: a directory, an object key or a proxy.
  std::vector<std::string> operands;
  /// The admin listener of any node.
  IpEndpoint node;
  milliseconds timeout{10'000};
  OutputFormat output = OutputFormat::kText;
  bool prune = false;
  /// A second directory to compare with, instead of a node's release.
  std::optional<std::string> against;
  /// The revision that the directory was derived from; the newest if not set.
  std::optional<Revision> base;
  std::string author;
  std::string message;
  /// The change id of an earlier apply whose outcome stayed unknown.
  std::optional<ChangeId> change;
  std::size_t limit = 20;
  milliseconds max_report_age{15'000};
};

/// Parses the command line. Prints the help or the version itself and then
/// returns nothing. Throws Error{kInvalidSettings} for a wrong command line.
std::optional<CtlOptions> ParseCommandLine(int argc, char** argv);

}  // namespace banyantrail::ctl
