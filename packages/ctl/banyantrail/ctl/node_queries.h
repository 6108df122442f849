#pragma once

#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "banyantrail/config/release.h"
#include "banyantrail/ctl/node_client.h"
#include "banyantrail/ctl/node_responses.h"
#include "banyantrail/ctl/rule_status.h"

/// Queries of a node's admin API. Besides the errors of NodeClient and of the
/// parsers, they throw Error{kNotFound} for a 404 response and
/// Error{kPlatformUnavailable} for any other status than 200.
namespace banyantrail::ctl {

/// Returns the body of a 200 response; otherwise throws an Error with the
/// message of the response.
nlohmann::json GetJson(NodeClient& client, const std::string& target);

/// Returns the release that the node has applied.
Release GetAppliedRelease(NodeClient& client);

/// Returns the newest accepted release in the platform's store.
Release GetNewestRelease(NodeClient& client);

/// Returns a release of the history; revision 0 is the empty release.
Release GetReleaseAt(NodeClient& client, ReleaseNumber revision);

/// Returns the objects of each of the revisions that can be read, and of
/// `known`.
std::map<ReleaseNumber, ObjectTexts> GetReadableReleases(
    NodeClient& client,
    const Release& known,
    const std::vector<ReleaseNumber>& revisions);

std::vector<FleetMember> GetMembers(NodeClient& client);

}  // namespace banyantrail::ctl
