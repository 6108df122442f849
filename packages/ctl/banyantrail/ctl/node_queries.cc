#include "banyantrail/ctl/node_queries.h"

#include "banyantrail/config/release_json.h"
#include "banyantrail/core/errors.h"

namespace banyantrail::ctl {
namespace {

using nlohmann::json;

constexpr unsigned kHttpOk = 200;
constexpr unsigned kHttpNotFound = 404;

std::string TextOr(const json& body, const char* key, std::string fallback) {
  if (!body.is_object() || !body.contains(key) || !body[key].is_string()) {
    return fallback;
  }
  return body[key].get<std::string>();
}

Error ResponseError(const std::string& target, const NodeResponse& response) {
  const bool is_not_found = response.http_status == kHttpNotFound;
  const std::string status = std::to_string(response.http_status);
  return Error(
      {.kind = is_not_found ? ErrorKind::kNotFound
                            : ErrorKind::kPlatformUnavailable,
       .message = target + ": " +
                  TextOr(response.body, "error",
                         "the node responded with status " + status),
       .remedy = TextOr(response.body, "remedy", "check the node's log")});
}

}  // namespace

json GetJson(NodeClient& client, const std::string& target) {
  const NodeResponse response = client.Get(target);
  if (response.http_status != kHttpOk) {
    throw ResponseError(target, response);
  }
  return response.body;
}

Release GetAppliedRelease(NodeClient& client) {
  return ParseRelease(GetJson(client, "/v1/release"));
}

Release GetNewestRelease(NodeClient& client) {
  return ParseRelease(GetJson(client, "/v1/head"));
}

Release GetReleaseAt(NodeClient& client, ReleaseNumber revision) {
  if (revision == 0) {
    return {};
  }
  return ParseRelease(
      GetJson(client, "/v1/releases/" + std::to_string(revision)));
}

std::map<ReleaseNumber, ObjectTexts> GetReadableReleases(
    NodeClient& client,
    const Release& known,
    const std::vector<ReleaseNumber>& revisions) {
  std::map<ReleaseNumber, ObjectTexts> releases;
  releases[known.revision.number] = known.objects;
  for (const ReleaseNumber revision : revisions) {
    if (releases.contains(revision)) {
      continue;
    }
    try {
      releases[revision] = GetReleaseAt(client, revision).objects;
    } catch (const Error&) {
      // ComputeRuleStatus reports proxies at a missing revision as unknown.
      continue;
    }
  }
  return releases;
}

std::vector<FleetMember> GetMembers(NodeClient& client) {
  return ParseMembers(GetJson(client, "/v1/members"));
}

}  // namespace banyantrail::ctl
