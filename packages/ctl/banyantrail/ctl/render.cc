#include "banyantrail/ctl/render.h"

#include <array>
#include <map>
#include <string_view>
#include <utility>

namespace banyantrail::ctl {
namespace {

using nlohmann::json;

constexpr std::array<RuleState, 4> kDisplayOrder{
    RuleState::kInForce, RuleState::kNotInForce, RuleState::kUnknown,
    RuleState::kNotChosen};

std::string_view DisplayName(RuleState state) {
  switch (state) {
    case RuleState::kInForce:
      return "in force";
    case RuleState::kNotInForce:
      return "not in force";
    case RuleState::kNotChosen:
      return "not chosen";
    case RuleState::kUnknown:
      return "unknown";
  }
  return "unknown";
}

std::string_view ToString(ChangeKind kind) {
  switch (kind) {
    case ChangeKind::kCreated:
      return "created";
    case ChangeKind::kChanged:
      return "changed";
    case ChangeKind::kDeleted:
      return "deleted";
  }
  return "changed";
}

std::string_view Marker(ChangeKind kind) {
  switch (kind) {
    case ChangeKind::kCreated:
      return "+ ";
    case ChangeKind::kChanged:
      return "~ ";
    case ChangeKind::kDeleted:
      return "- ";
  }
  return "~ ";
}

std::string FieldsText(const std::vector<FieldChange>& fields) {
  std::string text;
  for (const FieldChange& field : fields) {
    text += "    " + field.field + ": " + field.before + " -> " + field.after +
            "\n";
  }
  return text;
}

json FieldJson(const FieldChange& field) {
  return {{"field", field.field},
          {"before", field.before.empty() ? json() : json::parse(field.before)},
          {"after", field.after.empty() ? json() : json::parse(field.after)}};
}

json ChangeJson(const ObjectChange& change) {
  json fields = json::array();
  for (const FieldChange& field : change.fields) {
    fields.push_back(FieldJson(field));
  }
  return {{"object", change.key},
          {"change", ToString(change.kind)},
          {"fields", fields}};
}

std::string Reason(const ProxyRuleStatus& entry) {
  if (!entry.since.empty()) {
    return "since " + entry.since + ": " + entry.why;
  }
  return entry.why;
}

/// Groups the proxies in one state by the reason for it.
std::map<std::string, std::vector<std::string>> GroupByReason(
    const RuleStatus& status,
    RuleState state) {
  std::map<std::string, std::vector<std::string>> groups;
  for (const ProxyRuleStatus& entry : status.proxies) {
    if (entry.state == state) {
      groups[Reason(entry)].push_back(entry.proxy.str());
    }
  }
  return groups;
}

std::string JoinWithCommas(const std::vector<std::string>& words) {
  std::string text;
  for (const std::string& word : words) {
    text += (text.empty() ? "" : ", ") + word;
  }
  return text;
}

std::string StateText(const RuleStatus& status, RuleState state) {
  std::string text;
  for (const auto& [reason, proxies] : GroupByReason(status, state)) {
    text += "  " + std::string(DisplayName(state)) + " on " +
            std::to_string(proxies.size()) + " (" + reason +
            "): " + JoinWithCommas(proxies) + "\n";
  }
  return text;
}

std::string SummaryText(const RuleStatus& status) {
  std::map<RuleState, std::size_t> counts;
  for (const ProxyRuleStatus& entry : status.proxies) {
    ++counts[entry.state];
  }
  std::string text = status.rule + ":";
  for (const RuleState state : kDisplayOrder) {
    text += (state == kDisplayOrder.front() ? " " : ", ") +
            std::string(DisplayName(state)) + " " +
            std::to_string(counts[state]);
  }
  return text + "\n";
}

json ProxyRuleStatusJson(const ProxyRuleStatus& entry) {
  json out = {{"proxy", entry.proxy.str()},
              {"domain", entry.domain.str()},
              {"state", ToString(entry.state)},
              {"why", entry.why}};
  if (!entry.since.empty()) {
    out["since"] = entry.since;
  }
  return out;
}

}  // namespace

std::string FaultsText(const std::vector<Fault>& faults) {
  std::string text;
  for (const Fault& fault : faults) {
    text += fault.place + " " + fault.message + "; " + fault.remedy + "\n";
  }
  return text;
}

std::string ConflictsText(const std::vector<ChangeConflict>& conflicts) {
  std::string text;
  for (const ChangeConflict& conflict : conflicts) {
    text += conflict.object + " " + conflict.detail + "\n";
  }
  return text;
}

json ConflictsJson(const std::vector<ChangeConflict>& conflicts) {
  json array = json::array();
  for (const ChangeConflict& conflict : conflicts) {
    array.push_back({{"object", conflict.object}, {"detail", conflict.detail}});
  }
  return array;
}

std::string DiffText(const ReleaseDiff& diff) {
  std::string text;
  for (const ObjectChange& change : diff.changes) {
    text += std::string(Marker(change.kind)) + change.key + "\n";
    text += FieldsText(change.fields);
  }
  if (!diff.kept.empty()) {
    text += std::to_string(diff.kept.size()) +
            " objects are not in the directory and are kept; --prune deletes "
            "them: " +
            JoinWithCommas(diff.kept) + "\n";
  }
  return text;
}

json DiffJson(const ReleaseDiff& diff) {
  json changes = json::array();
  for (const ObjectChange& change : diff.changes) {
    changes.push_back(ChangeJson(change));
  }
  return {{"changes", changes}, {"kept", diff.kept}};
}

std::string RevisionText(ReleaseNumber revision,
                         const std::string& version,
                         std::uint64_t era) {
  std::string text = "revision " + std::to_string(revision);
  if (!version.empty()) {
    text += ", version " + version;
  }
  if (era > 0) {
    text += ", era " + std::to_string(era);
  }
  return text;
}

std::string StoreBehindText(const FleetStatus& fleet) {
  if (!fleet.store_is_behind) {
    return "";
  }
  const ShownConfiguration shown = fleet.store.value_or(ShownConfiguration{});
  const std::string in_force = fleet.version.empty()
                                   ? RevisionText(fleet.revision, "", fleet.era)
                                   : "version " + fleet.version;
  return "the store shows " +
         (shown.revision == 0
              ? "no configuration"
              : RevisionText(shown.revision, shown.version, shown.era)) +
         ", but " + RevisionText(fleet.revision, fleet.version, fleet.era) +
         " is in force at the queried node: the store has come back from an "
         "older copy, or an older version was written. Write the newest "
         "version "
         "again; until then " +
         in_force + " stays in force\n";
}

json ShownJson(const FleetStatus& fleet) {
  if (!fleet.store) {
    return nullptr;
  }
  return {{"revision", fleet.store->revision},
          {"version", fleet.store->version},
          {"era", fleet.store->era}};
}

std::string RuleStatusText(const std::vector<RuleStatus>& statuses) {
  std::string text;
  for (const RuleStatus& status : statuses) {
    text += SummaryText(status);
    for (const RuleState state : kDisplayOrder) {
      text += StateText(status, state);
    }
  }
  return text;
}

json RuleStatusJson(const std::vector<RuleStatus>& statuses) {
  json rules = json::array();
  for (const RuleStatus& status : statuses) {
    json proxies = json::array();
    for (const ProxyRuleStatus& entry : status.proxies) {
      proxies.push_back(ProxyRuleStatusJson(entry));
    }
    rules.push_back({{"rule", status.rule}, {"proxies", proxies}});
  }
  return rules;
}

}  // namespace banyantrail::ctl
