#include "banyantrail/ctl/node_responses.h"

#include <utility>

#include "banyantrail/config/json_object_reader.h"

namespace banyantrail::ctl {
namespace {

using nlohmann::json;

constexpr std::size_t kMaxMembers = 100'000;
constexpr std::size_t kMaxSummaries = 10'000;
constexpr std::size_t kMaxLabels = 64;
constexpr std::uint64_t kMaxAgeMs = std::uint64_t{1} << 48U;
constexpr const char* kRemedy =
    "use the version of banyantrailctl that matches the nodes";

bool IsPlatformState(std::string_view text) {
  return text == "reachable" || text == "unreachable";
}

constexpr TextRule kPlatformStateRule{IsPlatformState,
                                      "reachable or unreachable"};

ReportedDomain ReadDomain(json summary, std::vector<Fault>& faults) {
  JsonObjectReader reader(summary, "status of a failure domain", faults);
  const milliseconds age(reader.RequiredInteger("age_ms", {.max = kMaxAgeMs}));
  ThrowIfInvalid(faults, kRemedy);
  summary.erase("age_ms");
  return {.status = ParseDomainStatus(summary), .age = age};
}

FleetMember ReadMember(JsonObjectReader reader) {
  // Unknown fields are ignored: a newer node may send more than this version
  // knows.
  FleetMember member;
  member.node = NodeId(reader.RequiredString("node", kNameRule));
  member.domain = DomainId(reader.RequiredString("domain", kNameRule));
  member.state = reader.RequiredString("state", kNameRule);
  member.draining = reader.OptionalBool("draining", false);
  member.applied_revision = reader.OptionalInteger("applied_revision", {}, 0);
  member.labels = reader.OptionalStringMap("labels", kLabelKeyRule,
                                           kLabelValueRule, kMaxLabels);
  member.backend_servers =
      reader.OptionalArray("backend_servers", kMaxMembers).size();
  return member;
}

/// Nodes of builds from before eras do not report it.
std::optional<ShownConfiguration> ReadShown(const json& status,
                                            std::vector<Fault>& faults) {
  const auto found = status.find("store");
  if (found == status.end() || found->is_null()) {
    return std::nullopt;
  }
  JsonObjectReader reader(*found, "store", faults);
  return ShownConfiguration{
      .revision =
          reader.RequiredInteger("revision", {.max_accepted = UINT64_MAX}),
      .version = reader.OptionalString("version", kLineRule, ""),
      .era = reader.OptionalInteger("era", {.max_accepted = UINT64_MAX}, 0)};
}

}  // namespace

FleetStatus ParseFleetStatus(const json& value) {
  std::vector<Fault> faults;
  JsonObjectReader reader(value, "status", faults);
  FleetStatus fleet;
  fleet.revision = reader.RequiredInteger("revision", {});
  fleet.version = reader.OptionalString("version", kLineRule, "");
  fleet.era = reader.OptionalInteger("era", {}, 0);
  fleet.store_is_behind = reader.OptionalBool("store_is_behind", false);
  fleet.platform_reachable =
      reader.RequiredString("platform", kPlatformStateRule) == "reachable";
  for (json& summary : reader.OptionalArray("domains", kMaxSummaries)) {
    fleet.domains.push_back(ReadDomain(std::move(summary), faults));
  }
  fleet.store = ReadShown(value, faults);
  ThrowIfInvalid(faults, kRemedy);
  return fleet;
}

std::vector<FleetMember> ParseMembers(const json& value) {
  std::vector<Fault> faults;
  JsonObjectReader reader(value, "members", faults);
  std::vector<FleetMember> members;
  for (const json& element : reader.OptionalArray("members", kMaxMembers)) {
    members.push_back(ReadMember(JsonObjectReader(element, "members", faults)));
  }
  ThrowIfInvalid(faults, kRemedy);
  return members;
}

}  // namespace banyantrail::ctl
