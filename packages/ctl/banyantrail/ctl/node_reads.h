#pragma once

#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "banyantrail/config/release.h"
#include "banyantrail/ctl/node_answers.h"
#include "banyantrail/ctl/node_client.h"
#include "banyantrail/ctl/rule_status.h"

/// Reads typed values from a node. All throw Error{kNetwork},
/// Error{kPlatformUnavailable} or Error{kNotFound}.
namespace banyantrail::ctl {

/// The body of a 200 answer; any other answer is an Error with its text.
nlohmann::json GetJson(NodeClient& client, const std::string& target);

/// What the node applied.
Release GetAppliedRelease(NodeClient& client);

/// The newest accepted release in the platform.
Release GetNewestRelease(NodeClient& client);

/// A release of the history; revision 0 is the empty one.
Release GetReleaseAt(NodeClient& client, Revision revision);

/// The objects of those revisions that can be read.
std::map<Revision, ObjectTexts> GetReadableReleases(
    NodeClient& client,
    const Release& known,
    const std::vector<Revision>& revisions);

FleetStatus GetFleetStatus(NodeClient& client);

std::vector<FleetMember> GetMembers(NodeClient& client);

}  // namespace banyantrail::ctl
