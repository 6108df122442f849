#include "banyantrail/ctl/ctl_options.h"

#include <tclap/CmdLine.h>

#include <algorithm>
#include <array>
#include <cstdlib>
#include <string_view>

#include "banyantrail/config/text_rules.h"
#include "banyantrail/core/errors.h"

namespace banyantrail::ctl {
namespace {

constexpr const char* kDescription =
    "banyantrailctl declares the configuration of a banyantrail fleet and "
    "shows on which proxies it is in force.\n"
    "\n"
    "Commands:\n"
    "  validate DIR       check all declarations of a directory\n"
    "  diff DIR           what apply would change; --against DIR2 works "
    "without a node\n"
    "  apply DIR          change the configuration to the declarations of a "
    "directory\n"
    "  get [KIND[/NAME]]  the objects that the node has applied\n"
    "  status [RULE]      on which proxies each rule is in force, on which "
    "not, and why\n"
    "  explain [PROXY]    which rules apply to a proxy, and which selector "
    "chose them\n"
    "  history            the accepted changes, newest first\n"
    "  members            the node's view of the fleet\n"
    "  drain              start the graceful shutdown of the node\n"
    "  trace ID [FILE...] the lines about a request in the nodes' log files, "
    "or "
    "in standard input\n"
    "\n"
    "Exit status: 0 success; 1 refused, faults, a conflict, or not found; 2 "
    "invalid command line; 3 node or platform unreachable, nothing changed; 4 "
    "the outcome of a "
    "change is unknown; 5 diff found differences.";

constexpr std::string_view kDefaultNode = "127.0.0.1:9090";

struct CommandSyntax {
  std::string_view name;
  std::size_t min_operands;
  std::size_t max_operands;
};

/// `trace` takes the id of a request and the log files of a whole fleet.
constexpr std::size_t kMaxTraceOperands = 10'000;

constexpr std::array<CommandSyntax, 10> kCommands{
    {{"validate", 1, 1},
     {"diff", 1, 1},
     {"apply", 1, 1},
     {"get", 0, 1},
     {"status", 0, 1},
     {"explain", 0, 1},
     {"history", 0, 0},
     {"members", 0, 0},
     {"drain", 0, 0},
     {"trace", 1, kMaxTraceOperands}}};

Error UsageError(std::string message) {
  return Error({.kind = ErrorKind::kInvalidSettings,
                .message = std::move(message),
                .remedy = "see banyantrailctl --help"});
}

/// The command line's arguments, as TCLAP declares them.
struct Arguments {
  TCLAP::CmdLine command_line{kDescription, ' ', BANYANTRAIL_VERSION};
  TCLAP::ValueArg<std::string> node{"n",
                                    "node",
                                    "Admin listener of any node; default: the "
                                    "environment variable BANYANTRAIL_NODE, "
                                    "or " +
                                        std::string(kDefaultNode),
                                    false,
                                    "",
                                    "IP:PORT",
                                    command_line};
  TCLAP::ValueArg<std::string> output{
      "o",         "output",    "Output format: text or json", false, "text",
      "text|json", command_line};
  TCLAP::SwitchArg prune{"", "prune",
                         "diff, apply: delete objects that the directory lacks",
                         command_line};
  TCLAP::ValueArg<std::string> against{
      "",
      "against",
      "diff: compare with another directory; needs no node",
      false,
      "",
      "DIR",
      command_line};
  TCLAP::ValueArg<ReleaseNumber> base{
      "",
      "base",
      "diff, apply: the revision that the directory was derived from; default: "
      "the newest for apply, the one that the node applied for diff",
      false,
      0,
      "REVISION",
      command_line};
  TCLAP::ValueArg<std::string> author{
      "",          "author", "apply: author of the change; default: $USER",
      false,       "",       "NAME",
      command_line};
  TCLAP::ValueArg<std::string> message{
      "m",    "message",   "apply: description of the change", false, "",
      "TEXT", command_line};
  TCLAP::ValueArg<std::string> change{
      "",
      "change",
      "apply: the change id of an earlier apply whose outcome is unknown",
      false,
      "",
      "ID",
      command_line};
  TCLAP::ValueArg<std::size_t> limit{
      "",  "limit",     "history: maximum number of changes", false, 20,
      "N", command_line};
  TCLAP::ValueArg<std::uint64_t> timeout{
      "",          "timeout-ms", "Timeout for each response of the node",
      false,       10'000,       "MILLISECONDS",
      command_line};
  TCLAP::ValueArg<std::uint64_t> max_report_age{
      "",
      "max-report-age-ms",
      "status: proxies in an older report of a failure domain are unknown",
      false,
      15'000,
      "MILLISECONDS",
      command_line};
  TCLAP::UnlabeledValueArg<std::string> command{
      "command", "The command to run", true, "", "COMMAND", command_line};
  TCLAP::UnlabeledMultiArg<std::string> operands{
      "operand", "The arguments of the command", false, "OPERAND",
      command_line};
};

void CheckCommand(const CtlOptions& options) {
  const auto found =
      std::ranges::find(kCommands, options.command, &CommandSyntax::name);
  if (found == kCommands.end()) {
    throw UsageError("unknown command " + options.command);
  }
  // TCLAP parses an unknown flag as an operand.
  for (const std::string& operand : options.operands) {
    if (operand.starts_with('-')) {
      throw UsageError("unknown flag " + operand);
    }
  }
  if (options.operands.size() < found->min_operands) {
    throw UsageError(options.command + (options.command == "trace"
                                            ? " requires a request id"
                                            : " requires a directory"));
  }
  if (options.operands.size() > found->max_operands) {
    throw UsageError("unexpected argument of " + options.command + ": " +
                     options.operands.back());
  }
}

OutputFormat ParseOutput(const std::string& text) {
  if (text == "text") {
    return OutputFormat::kText;
  }
  if (text == "json") {
    return OutputFormat::kJson;
  }
  throw UsageError("invalid --output " + text + ", expected text or json");
}

std::string EnvironmentOr(const char* name, std::string fallback) {
  const char* value = std::getenv(name);
  return value == nullptr ? std::move(fallback) : value;
}

IpEndpoint ParseNode(const Arguments& arguments) {
  if (arguments.node.isSet()) {
    return ParseIpEndpoint(arguments.node.getValue());
  }
  return ParseIpEndpoint(
      EnvironmentOr("BANYANTRAIL_NODE", std::string(kDefaultNode)));
}

std::string CheckedText(std::string_view flag,
                        const TextRule& rule,
                        std::string text) {
  if (!rule.accepts(text)) {
    throw UsageError("invalid " + std::string(flag) + ", expected " +
                     std::string(rule.allowed));
  }
  return text;
}

CtlOptions ToOptions(const Arguments& arguments) {
  CtlOptions options{
      .command = arguments.command.getValue(),
      .operands = arguments.operands.getValue(),
      .node = ParseNode(arguments),
      .timeout = milliseconds(arguments.timeout.getValue()),
      .output = ParseOutput(arguments.output.getValue()),
      .prune = arguments.prune.getValue(),
      .author = arguments.author.isSet() ? arguments.author.getValue()
                                         : EnvironmentOr("USER", ""),
      .message = arguments.message.getValue(),
      .limit = arguments.limit.getValue(),
      .max_report_age = milliseconds(arguments.max_report_age.getValue())};
  if (arguments.against.isSet()) {
    options.against = arguments.against.getValue();
  }
  if (arguments.base.isSet()) {
    options.base = arguments.base.getValue();
  }
  if (arguments.change.isSet()) {
    options.change = ChangeId(
        CheckedText("--change", kNameRule, arguments.change.getValue()));
  }
  CheckedText("--author", kLineRule, options.author);
  CheckedText("--message", kLineRule, options.message);
  CheckCommand(options);
  return options;
}

}  // namespace

std::optional<CtlOptions> ParseCommandLine(int argc, char** argv) {
  Arguments arguments;
  arguments.command_line.setExceptionHandling(false);
  try {
    arguments.command_line.parse(argc, argv);
  } catch (const TCLAP::ExitException&) {
    return std::nullopt;  // TCLAP has printed the help or the version.
  } catch (const TCLAP::ArgException& error) {
    // argId() is blank when the error does not concern a single argument.
    const std::string text = error.argId() + " " + error.error();
    throw UsageError(text.substr(text.find_first_not_of(' ')));
  }
  return ToOptions(arguments);
}

}  // namespace banyantrail::ctl
