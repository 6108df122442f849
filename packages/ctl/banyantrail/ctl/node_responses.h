#pragma once

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "banyantrail/core/ids.h"
#include "banyantrail/core/labels.h"
#include "banyantrail/ctl/rule_status.h"

/// Parsers for responses of the admin API. They throw Error{kMalformedMessage}
/// when a required field is missing or a field is invalid.
namespace banyantrail::ctl {

/// The fields of a member in GET /v1/members that the tool uses.
struct FleetMember {
  NodeId node;
  DomainId domain;
  std::string state;
  bool draining = false;
  ReleaseNumber applied_revision = 0;
  Labels labels;
  std::size_t backend_servers = 0;

  friend bool operator==(const FleetMember&, const FleetMember&) = default;
};

FleetStatus ParseFleetStatus(const nlohmann::json& json);

std::vector<FleetMember> ParseMembers(const nlohmann::json& json);

}  // namespace banyantrail::ctl
