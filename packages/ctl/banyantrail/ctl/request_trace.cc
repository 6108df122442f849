#include "banyantrail/ctl/request_trace.h"

#include <algorithm>
#include <array>
#include <fstream>
#include <iostream>
#include <nlohmann/json.hpp>
#include <tuple>

#include "banyantrail/core/errors.h"

namespace banyantrail::ctl {
namespace {

using nlohmann::json;

std::string TextOf(const json& value) {
  return value.is_string() ? value.get<std::string>() : value.dump();
}

std::string FieldOf(const json& line, const char* name) {
  const auto found = line.find(name);
  return found == line.end() ? std::string() : TextOf(*found);
}

std::uint64_t CountOf(const json& line, const char* name) {
  const auto found = line.find(name);
  const bool is_count = found != line.end() && found->is_number_unsigned();
  return is_count ? found->get<std::uint64_t>() : 0;
}

/// Whether a field is not listed in the details: it has its own column, is the
/// same in all lines, or does not concern the request.
bool IsExcludedFromDetails(const std::string& name) {
  constexpr std::array<std::string_view, 7> kExcluded = {
      "time", "node", "event", "request", "level", "part", "left_out"};
  return std::ranges::find(kExcluded, name) != kExcluded.end();
}

std::string DetailsOf(const json& line) {
  std::string details;
  for (const auto& [name, value] : line.items()) {
    if (IsExcludedFromDetails(name)) {
      continue;
    }
    details += (details.empty() ? "" : " ") + name + "=" + TextOf(value);
  }
  return details;
}

void ReadFile(const std::string& path,
              const std::string& request,
              RequestTrace& trace) {
  std::ifstream file(path);
  if (!file) {
    throw Error({.kind = ErrorKind::kInvalidSettings,
                 .message = "cannot read the log file " + path,
                 .remedy = "pass the path of a readable file"});
  }
  ReadLog(file, request, trace);
}

json ToJson(const RequestTrace& trace, const std::string& request) {
  json lines = json::array();
  for (const TraceLine& line : trace.lines) {
    lines.push_back({{"time", line.time},
                     {"node", line.node},
                     {"event", line.event},
                     {"details", line.details}});
  }
  return {{"request", request},
          {"lines", lines},
          {"left_out", trace.dropped_lines},
          {"unreadable", trace.malformed_lines}};
}

void PrintText(const RequestTrace& trace, std::ostream& out) {
  for (const TraceLine& line : trace.lines) {
    out << line.time << "  " << line.node << "  " << line.event << "  "
        << line.details << "\n";
  }
  if (trace.dropped_lines > 0) {
    out << "The nodes did not log " << trace.dropped_lines
        << " lines; some may concern this request.\n";
  }
  if (trace.malformed_lines > 0) {
    out << trace.malformed_lines
        << " lines are not JSON objects and were skipped.\n";
  }
}

}  // namespace

void ReadLog(std::istream& log,
             const std::string& request,
             RequestTrace& trace) {
  std::string text;
  while (std::getline(log, text)) {
    const json line = json::parse(text, nullptr, false);
    if (!line.is_object()) {
      trace.malformed_lines += text.empty() ? 0 : 1;
      continue;
    }
    trace.dropped_lines += CountOf(line, "left_out");
    if (FieldOf(line, "event") == "log_lines_lost") {
      trace.dropped_lines += CountOf(line, "count");
    }
    if (FieldOf(line, "request") == request) {
      trace.lines.push_back({.time = FieldOf(line, "time"),
                             .node = FieldOf(line, "node"),
                             .event = FieldOf(line, "event"),
                             .details = DetailsOf(line)});
    }
  }
}

void SortByTime(RequestTrace& trace) {
  std::ranges::stable_sort(trace.lines, {}, [](const TraceLine& line) {
    return std::tie(line.time, line.node);
  });
}

ExitCode RunTrace(CommandContext& context) {
  const std::vector<std::string>& operands = context.options.operands;
  const std::string& request = operands.front();
  RequestTrace trace;
  if (operands.size() == 1) {
    ReadLog(std::cin, request, trace);
  }
  for (std::size_t i = 1; i < operands.size(); ++i) {
    ReadFile(operands[i], request, trace);
  }
  SortByTime(trace);
  if (context.options.output == OutputFormat::kJson) {
    context.out << ToJson(trace, request).dump(2) << "\n";
  } else {
    PrintText(trace, context.out);
  }
  if (trace.lines.empty()) {
    context.err << "banyantrailctl: no log line about request " << request
                << "; check the logs of the node on the caller's VM\n";
    return ExitCode::kRefused;
  }
  return ExitCode::kOk;
}

}  // namespace banyantrail::ctl
