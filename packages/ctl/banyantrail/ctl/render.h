#pragma once

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "banyantrail/config/publish_outcome.h"
#include "banyantrail/config/release.h"
#include "banyantrail/ctl/release_diff.h"
#include "banyantrail/ctl/rule_status.h"

/// Turns results into text for people and JSON for scripts.
namespace banyantrail::ctl {

/// One line for each fault: place, message, remedy.
std::string FaultsText(const std::vector<Fault>& faults);

/// One line for each conflict.
std::string ConflictsText(const std::vector<ChangeConflict>& conflicts);
nlohmann::json ConflictsJson(const std::vector<ChangeConflict>& conflicts);

/// "+" created, "~" changed with its fields, "-" deleted.
std::string DiffText(const ReleaseDiff& diff);
nlohmann::json DiffJson(const ReleaseDiff& diff);

/// For each rule: where it is in force, where not and why, where unknown.
/// Proxies with the same answer share a line.
std::string RuleStatusText(const std::vector<RuleStatus>& statuses);
nlohmann::json RuleStatusJson(const std::vector<RuleStatus>& statuses);

}  // namespace banyantrail::ctl
