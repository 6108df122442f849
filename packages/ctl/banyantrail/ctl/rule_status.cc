#include "banyantrail/ctl/rule_status.h"

#include <algorithm>
#include <optional>
#include <set>
#include <utility>

#include "banyantrail/config/compile.h"
#include "banyantrail/config/selector_match.h"
#include "banyantrail/core/errors.h"

namespace banyantrail::ctl {
namespace {

/// The most current information about one proxy.
struct ProxyReport {
  NodeId proxy;
  DomainId domain;
  bool is_fresh = false;
  milliseconds age{0};
  ReleaseNumber revision = 0;
  /// Used unless `is_fresh`.
  std::string unknown_reason;
  std::string since;
  std::optional<Labels> labels;
  std::string refusal;
};

/// A rule, its selector, and the keys of all objects that it depends on,
/// including its own.
struct Rule {
  std::string key;
  SelectorObject selector;
  std::vector<std::string> object_keys;
};

/// Whether `left` is preferred to `right`: a fresh report to one that is not,
/// then the higher revision among fresh ones, then the younger report.
bool IsPreferred(const ProxyReport& left, const ProxyReport& right) {
  if (left.is_fresh != right.is_fresh) {
    return left.is_fresh;
  }
  if (left.is_fresh && left.revision != right.revision) {
    return left.revision > right.revision;
  }
  return left.age < right.age;
}

class ReportCollector {
 public:
  explicit ReportCollector(RuleStatusOptions options) : m_options(options) {}

  void AddDomain(const ReportedDomain& domain) {
    for (const NodesAtRevision& entry : domain.status.revisions) {
      for (const NodeId& node : entry.nodes) {
        AddReportedNode(domain, node, entry.revision);
      }
    }
    for (const SilentNode& silent : domain.status.silent) {
      AddSilentNode(domain, silent);
    }
  }

  void AddMember(const MemberProxy& member) {
    m_reports.emplace(
        member.proxy.str(),
        ProxyReport{.proxy = member.proxy,
                    .domain = member.domain,
                    .unknown_reason = "no relay has reported it"});
  }

  const std::map<std::string, ProxyReport>& reports() const {
    return m_reports;
  }

 private:
  void AddReportedNode(const ReportedDomain& domain,
                       const NodeId& node,
                       ReleaseNumber revision) {
    ProxyReport report = MakeReport(domain, node);
    report.revision = revision;
    report.is_fresh =
        domain.age <= m_options.max_report_age && !IsSilent(domain, node);
    report.since = domain.status.time;
    report.unknown_reason = "the newest report of its failure domain is " +
                            std::to_string(domain.age.count()) + " ms old";
    AddReport(std::move(report));
  }

  void AddSilentNode(const ReportedDomain& domain, const SilentNode& silent) {
    ProxyReport report = MakeReport(domain, silent.node);
    report.since = silent.since;
    report.unknown_reason = "it stopped reporting";
    AddReport(std::move(report));
  }

  static bool IsSilent(const ReportedDomain& domain, const NodeId& node) {
    return std::ranges::any_of(domain.status.silent, [&](const auto& silent) {
      return silent.node == node;
    });
  }

  static ProxyReport MakeReport(const ReportedDomain& domain,
                                const NodeId& node) {
    ProxyReport report{
        .proxy = node, .domain = domain.status.domain, .age = domain.age};
    const auto labels = domain.status.labels.find(node.str());
    if (labels != domain.status.labels.end()) {
      report.labels = labels->second;
    }
    for (const RefusedRevision& refused : domain.status.refused) {
      if (refused.node == node) {
        report.refusal = "it refused revision " +
                         std::to_string(refused.revision) + ": " +
                         refused.reason;
      }
    }
    return report;
  }

  void AddReport(ProxyReport report) {
    const auto [known, is_new] = m_reports.emplace(report.proxy.str(), report);
    if (!is_new && IsPreferred(report, known->second)) {
      known->second = std::move(report);
    }
  }

  RuleStatusOptions m_options;
  std::map<std::string, ProxyReport> m_reports;
};

Rule MakeRule(const ConfigObject& object,
              const SelectorName& selector,
              std::vector<std::string> object_keys,
              const CompiledConfig& config) {
  // Always found: a compiled configuration has no dangling references.
  const auto found =
      std::ranges::find(config.selectors, selector, &SelectorObject::name);
  Rule rule{.key = ToString(KeyOf(object)),
            .selector = *found,
            .object_keys = std::move(object_keys)};
  rule.object_keys.push_back(rule.key);
  rule.object_keys.push_back("selector/" + selector.str());
  return rule;
}

/// Returns all rules of a configuration with the objects that they refer to.
std::vector<Rule> ListRules(const CompiledConfig& config) {
  std::vector<Rule> rules;
  for (const RoutingRuleObject& rule : config.routing_rules) {
    rules.push_back(MakeRule(
        rule, rule.selector,
        {"service/" + rule.service.str(), "rank/" + rule.rank.str()}, config));
  }
  for (const AlertRuleObject& rule : config.alert_rules) {
    rules.push_back(MakeRule(rule, rule.selector, {}, config));
  }
  return rules;
}

std::optional<std::string> FindObjectText(const ObjectTexts& objects,
                                          const std::string& key) {
  const auto found = objects.find(key);
  return found == objects.end() ? std::nullopt : std::optional(found->second);
}

/// Lists the objects of a rule that differ between the declared and the applied
/// release.
std::string DifferingObjects(const Rule& rule,
                             const ObjectTexts& declared,
                             const ObjectTexts& applied) {
  std::string names;
  for (const std::string& key : rule.object_keys) {
    if (FindObjectText(declared, key) != FindObjectText(applied, key)) {
      names += (names.empty() ? "" : ", ") + key;
    }
  }
  return names;
}

ProxyRuleStatus UnknownStatus(const ProxyReport& report, std::string why) {
  return {.proxy = report.proxy,
          .domain = report.domain,
          .state = RuleState::kUnknown,
          .why = std::move(why),
          .since = report.since};
}

ProxyRuleStatus KnownStatus(const ProxyReport& report,
                            RuleState state,
                            std::string why) {
  return {.proxy = report.proxy,
          .domain = report.domain,
          .state = state,
          .why = std::move(why)};
}

ProxyRuleStatus EvaluateRule(
    const Rule& rule,
    const ProxyReport& report,
    const ObjectTexts& declared,
    const std::map<ReleaseNumber, ObjectTexts>& releases) {
  if (!report.is_fresh) {
    return UnknownStatus(report, report.unknown_reason);
  }
  if (!report.labels) {
    return UnknownStatus(report, "its labels were not reported");
  }
  const SelectorMatchResult verdict =
      ExplainSelector(rule.selector, *report.labels);
  if (!verdict.matches) {
    return KnownStatus(report, RuleState::kNotChosen, verdict.reason);
  }
  if (report.revision == 0) {
    return KnownStatus(report, RuleState::kNotInForce,
                       "it has no configuration yet");
  }
  const std::string at = "at revision " + std::to_string(report.revision);
  const auto applied = releases.find(report.revision);
  if (applied == releases.end()) {
    return UnknownStatus(report, at + ", whose content cannot be read");
  }
  const std::string differing =
      DifferingObjects(rule, declared, applied->second);
  if (differing.empty()) {
    return KnownStatus(report, RuleState::kInForce, at + "; " + verdict.reason);
  }
  const std::string refusal =
      report.refusal.empty() ? "" : "; " + report.refusal;
  return KnownStatus(report, RuleState::kNotInForce,
                     at + ", which lacks the declared " + differing + refusal);
}

}  // namespace

std::string_view ToString(RuleState state) {
  switch (state) {
    case RuleState::kInForce:
      return "in_force";
    case RuleState::kNotInForce:
      return "not_in_force";
    case RuleState::kNotChosen:
      return "not_chosen";
    case RuleState::kUnknown:
      return "unknown";
  }
  return "unknown";
}

std::vector<RuleStatus> ComputeRuleStatus(
    const FleetStatus& fleet,
    const Release& declared,
    const std::map<ReleaseNumber, ObjectTexts>& releases,
    RuleStatusOptions options) {
  const CompileResult compiled =
      CompileRelease(declared, {.checks = ValueChecks::kAccepted});
  if (!compiled.config) {
    throw Error({.kind = ErrorKind::kInvalidDeclaration,
                 .message = "this version cannot compile the release: " +
                            compiled.faults.at(0).place + " " +
                            compiled.faults.at(0).message,
                 .remedy = "use the version of banyantrailctl that matches the "
                           "nodes"});
  }
  ReportCollector collector(options);
  for (const ReportedDomain& domain : fleet.domains) {
    collector.AddDomain(domain);
  }
  for (const MemberProxy& member : fleet.members) {
    collector.AddMember(member);
  }
  std::vector<RuleStatus> statuses;
  for (const Rule& rule : ListRules(*compiled.config)) {
    RuleStatus status{.rule = rule.key};
    for (const auto& [name, report] : collector.reports()) {
      status.proxies.push_back(
          EvaluateRule(rule, report, declared.objects, releases));
    }
    statuses.push_back(std::move(status));
  }
  return statuses;
}

std::vector<ReleaseNumber> ReportedRevisions(const FleetStatus& fleet) {
  std::set<ReleaseNumber> revisions;
  for (const ReportedDomain& domain : fleet.domains) {
    for (const NodesAtRevision& entry : domain.status.revisions) {
      revisions.insert(entry.revision);
    }
  }
  return {revisions.begin(), revisions.end()};
}

}  // namespace banyantrail::ctl
