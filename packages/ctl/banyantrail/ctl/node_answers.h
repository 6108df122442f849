#pragma once

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "banyantrail/core/ids.h"
#include "banyantrail/core/labels.h"
#include "banyantrail/ctl/rule_status.h"

/// Typed readings of the admin API's answers. All throw
/// Error{kMalformedMessage} for a wrong shape.
namespace banyantrail::ctl {

/// A line of GET /v1/members, as far as the tool uses it.
struct FleetMember {
  NodeId node;
  DomainId domain;
  std::string state;
  bool draining = false;
  Revision applied_revision = 0;
  Labels labels;
  std::size_t backend_servers = 0;

  friend bool operator==(const FleetMember&, const FleetMember&) = default;
};

FleetStatus ParseFleetStatus(const nlohmann::json& json);

std::vector<FleetMember> ParseMembers(const nlohmann::json& json);

}  // namespace banyantrail::ctl
