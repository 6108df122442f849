#pragma once

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "banyantrail/config/publish_outcome.h"
#include "banyantrail/config/release.h"
#include "banyantrail/ctl/release_diff.h"
#include "banyantrail/ctl/rule_status.h"

/// Formats results as text for people and as JSON for scripts.
namespace banyantrail::ctl {

/// One line per fault: place, message and remedy.
std::string FaultsText(const std::vector<Fault>& faults);

/// One line per conflict.
std::string ConflictsText(const std::vector<ChangeConflict>& conflicts);
nlohmann::json ConflictsJson(const std::vector<ChangeConflict>& conflicts);

/// One line per object, marked "+" (created), "~" (changed) or "-" (deleted),
/// and below a changed object one line per changed field.
std::string DiffText(const ReleaseDiff& diff);
nlohmann::json DiffJson(const ReleaseDiff& diff);

/// Per rule a line with the number of proxies in each state, followed by the
/// proxies, grouped by state and reason.
std::string RuleStatusText(const std::vector<RuleStatus>& statuses);
nlohmann::json RuleStatusJson(const std::vector<RuleStatus>& statuses);

}  // namespace banyantrail::ctl
