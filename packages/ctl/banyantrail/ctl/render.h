#pragma once

#include <cstdint>
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

/// "revision N" with the operator's version and the era, if there are any.
std::string RevisionText(ReleaseNumber revision,
                         const std::string& version,
                         std::uint64_t era);

/// A line that says what to do if the store shows something older than what is
/// in force at the queried node; otherwise empty.
std::string StoreBehindText(const FleetStatus& fleet);

/// The part of GET /v1/status on the store, for scripts; null if unknown.
nlohmann::json ShownJson(const FleetStatus& fleet);

/// Per rule a line with the number of proxies in each state, followed by the
/// proxies, grouped by state and reason.
std::string RuleStatusText(const std::vector<RuleStatus>& statuses);
nlohmann::json RuleStatusJson(const std::vector<RuleStatus>& statuses);

}  // namespace banyantrail::ctl
