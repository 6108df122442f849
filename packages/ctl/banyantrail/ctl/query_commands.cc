#include "banyantrail/ctl/query_commands.h"

#include <algorithm>
#include <string>
#include <utility>
#include <vector>

#include "banyantrail/config/compile.h"
#include "banyantrail/config/explain.h"
#include "banyantrail/ctl/node_queries.h"
#include "banyantrail/ctl/node_responses.h"
#include "banyantrail/ctl/render.h"

namespace banyantrail::ctl {
namespace {

using nlohmann::json;

constexpr int kIndent = 2;
constexpr unsigned kHttpAccepted = 202;

bool IsJson(const CommandContext& context) {
  return context.options.output == OutputFormat::kJson;
}

void PrintJson(CommandContext& context, const json& value) {
  context.out << value.dump(kIndent) << "\n";
}

Error NotFoundError(const std::string& what, std::string remedy) {
  return Error({.kind = ErrorKind::kNotFound,
                .message = what + " not found",
                .remedy = std::move(remedy)});
}

/// Returns the objects of a kind, or of all kinds if `kind` is empty.
json ObjectsOfKind(const Release& release, const std::string& kind) {
  json objects = json::array();
  for (const auto& [key, text] : release.objects) {
    if (kind.empty() || key.starts_with(kind + "/")) {
      objects.push_back(json::parse(text));
    }
  }
  return objects;
}

/// Returns the release with the declared rules: the newest one, or the one that
/// the node applied if the platform is unreachable.
Release GetDeclaredRelease(CommandContext& context, const FleetStatus& fleet) {
  if (fleet.platform_reachable) {
    return GetNewestRelease(context.client);
  }
  return GetAppliedRelease(context.client);
}

void AddMembers(CommandContext& context, FleetStatus& fleet) {
  for (const FleetMember& member : GetMembers(context.client)) {
    if (member.state == "alive" || member.state == "suspect") {
      fleet.members.push_back({.proxy = member.node, .domain = member.domain});
    }
  }
}

void FilterByRule(std::vector<RuleStatus>& statuses, const std::string& rule) {
  std::erase_if(statuses,
                [&](const RuleStatus& status) { return status.rule != rule; });
  if (statuses.empty()) {
    throw NotFoundError("rule " + rule,
                        "pass a rule such as "
                        "routing_rule/orders");
  }
}

std::string StatusHeader(const Release& declared, const FleetStatus& fleet) {
  const bool is_applied = declared.revision.number == fleet.revision;
  std::string text =
      RevisionText(declared.revision.number, is_applied ? fleet.version : "",
                   is_applied ? fleet.era : 0);
  if (!fleet.platform_reachable) {
    text +=
        ", as applied by the queried node; the platform is unreachable, so the "
        "relays' reports cannot be read";
  }
  return text + "\n";
}

/// Computes what GET /v1/explain returns on the given proxy.
json ExplainProxy(CommandContext& context, const std::string& proxy) {
  const std::vector<FleetMember> members = GetMembers(context.client);
  const auto member =
      std::ranges::find(members, NodeId(proxy), &FleetMember::node);
  if (member == members.end()) {
    throw NotFoundError("proxy " + proxy,
                        "pass a node listed by `banyantrailctl members`");
  }
  const Release release = GetAppliedRelease(context.client);
  const CompileResult compiled =
      CompileRelease(release, {.checks = ValueChecks::kAccepted});
  json rules = json::array();
  if (compiled.config) {
    for (const RuleExplanation& entry :
         ExplainRules(*compiled.config, member->labels)) {
      rules.push_back(ToJson(entry));
    }
  }
  return {{"node", proxy},
          {"labels", member->labels},
          {"revision", release.revision.number},
          {"rules", rules}};
}

std::string LabelsText(const json& labels) {
  std::string text;
  for (const auto& [key, value] : labels.items()) {
    text += (text.empty() ? "" : ", ") + key + "=" + value.get<std::string>();
  }
  return text.empty() ? "no labels" : text;
}

std::string ExplainText(const json& explanation) {
  std::string text =
      "proxy " + explanation.at("node").get<std::string>() + " (" +
      LabelsText(explanation.at("labels")) + ") at revision " +
      std::to_string(explanation.at("revision").get<ReleaseNumber>()) + "\n";
  for (const json& rule : explanation.at("rules")) {
    text += rule.at("applies").get<bool>() ? "  applies  " : "  does not ";
    text += rule.at("kind").get<std::string>() + "/" +
            rule.at("rule").get<std::string>() + " by selector/" +
            rule.at("selector").get<std::string>() + ": " +
            rule.at("why").get<std::string>() + "\n";
  }
  return text;
}

/// One line for each team with a rate limit, as the queried node knows it.
std::string TeamsText(const json& teams) {
  std::string text;
  for (const json& team : teams) {
    const json& refused = team.at("refused");
    text += "  team " + team.at("team").get<std::string>() + ": limit " +
            team.at("requests_per_s").dump() + "/s, burst " +
            team.at("burst").dump() + "; at this node " +
            team.at("granted_per_s").dump() + "/s granted over 5 s, " +
            team.at("granted").dump() + " since the start, " +
            team.at("given_back").dump() + " given back, refused " +
            refused.at("limit").dump() + " by the limit and " +
            refused.at("no_response").dump() + " without a response\n";
  }
  return text;
}

json TeamsOf(const json& response) {
  // Nodes of an earlier version do not report teams.
  return response.value("teams", json::array());
}

json RefusedOf(const json& response) {
  // Nodes of an earlier version do not report it.
  return response.value("refused", json());
}

/// A warning if the queried node has refused a revision; otherwise empty.
std::string RefusedText(const json& refused, ReleaseNumber applied) {
  if (refused.is_null()) {
    return "";
  }
  return "revision " + refused.at("revision").dump() +
         " is refused by the queried node, which keeps revision " +
         std::to_string(applied) +
         " in force: " + refused.at("reason").get<std::string>() + "\n";
}

std::string HistoryText(const json& history) {
  std::string text;
  for (const json& entry : history) {
    text += std::to_string(entry.at("revision").get<ReleaseNumber>()) + "  " +
            entry.at("time").get<std::string>() + "  " +
            entry.at("author").get<std::string>() + "  " +
            entry.at("change").get<std::string>() + "  " +
            entry.at("summary").get<std::string>() + "\n";
  }
  return text;
}

std::string MemberText(const FleetMember& member) {
  return member.node.str() + "  " + member.domain.str() + "  " + member.state +
         (member.draining ? ", draining" : "") + "  revision " +
         std::to_string(member.applied_revision) + "  " +
         std::to_string(member.backend_servers) + " backend servers\n";
}

}  // namespace

ExitCode RunGet(CommandContext& context) {
  const std::string filter =
      context.options.operands.empty() ? "" : context.options.operands[0];
  const Release release = GetAppliedRelease(context.client);
  const auto found = release.objects.find(filter);
  if (found != release.objects.end()) {
    PrintJson(context, json::parse(found->second));
    return ExitCode::kOk;
  }
  const json objects = ObjectsOfKind(release, filter);
  if (objects.empty() && !filter.empty()) {
    throw NotFoundError(
        filter + " at revision " + std::to_string(release.revision.number),
        "pass an object such as service/orders, or a kind");
  }
  if (IsJson(context) || !filter.empty()) {
    PrintJson(context, objects);
    return ExitCode::kOk;
  }
  for (const auto& [key, text] : release.objects) {
    context.out << key << "\n";
  }
  return ExitCode::kOk;
}

ExitCode RunStatus(CommandContext& context) {
  const json response = GetJson(context.client, "/v1/status");
  FleetStatus fleet = ParseFleetStatus(response);
  AddMembers(context, fleet);
  const Release declared = GetDeclaredRelease(context, fleet);
  const auto releases =
      GetReadableReleases(context.client, declared, ReportedRevisions(fleet));
  std::vector<RuleStatus> statuses =
      ComputeRuleStatus(fleet, declared, releases,
                        {.max_report_age = context.options.max_report_age});
  if (!context.options.operands.empty()) {
    FilterByRule(statuses, context.options.operands[0]);
  }
  if (IsJson(context)) {
    PrintJson(context, {{"revision", declared.revision.number},
                        {"platform_reachable", fleet.platform_reachable},
                        {"rules", RuleStatusJson(statuses)},
                        {"applied",
                         {{"revision", fleet.revision},
                          {"version", fleet.version},
                          {"era", fleet.era}}},
                        {"store", ShownJson(fleet)},
                        {"store_is_behind", fleet.store_is_behind},
                        {"refused", RefusedOf(response)},
                        {"teams", TeamsOf(response)}});
  } else {
    context.out << StatusHeader(declared, fleet) << StoreBehindText(fleet)
                << RefusedText(RefusedOf(response), fleet.revision)
                << RuleStatusText(statuses) << TeamsText(TeamsOf(response));
  }
  return ExitCode::kOk;
}

ExitCode RunExplain(CommandContext& context) {
  const json explanation =
      context.options.operands.empty()
          ? GetJson(context.client, "/v1/explain")
          : ExplainProxy(context, context.options.operands[0]);
  if (IsJson(context)) {
    PrintJson(context, explanation);
  } else {
    context.out << ExplainText(explanation) << TeamsText(TeamsOf(explanation));
  }
  return ExitCode::kOk;
}

ExitCode RunHistory(CommandContext& context) {
  const json response =
      GetJson(context.client,
              "/v1/history?limit=" + std::to_string(context.options.limit));
  if (IsJson(context)) {
    PrintJson(context, response);
  } else {
    context.out << HistoryText(response.at("history"));
  }
  return ExitCode::kOk;
}

ExitCode RunMembers(CommandContext& context) {
  const json response = GetJson(context.client, "/v1/members");
  if (IsJson(context)) {
    PrintJson(context, response);
    return ExitCode::kOk;
  }
  for (const FleetMember& member : ParseMembers(response)) {
    context.out << MemberText(member);
  }
  return ExitCode::kOk;
}

ExitCode RunDrain(CommandContext& context) {
  const NodeResponse response = context.client.Post("/v1/drain", "");
  if (response.http_status != kHttpAccepted) {
    throw Error(
        {.kind = ErrorKind::kPlatformUnavailable,
         .message = "the node responded to the drain request with status " +
                    std::to_string(response.http_status),
         .remedy = "check the node's log"});
  }
  if (IsJson(context)) {
    PrintJson(context, response.body);
  } else {
    context.out << "the node at " << ToString(context.options.node)
                << " is draining\n";
  }
  return ExitCode::kOk;
}

}  // namespace banyantrail::ctl
