#include "banyantrail/config/domain_status.h"

#include <utility>

#include "banyantrail/config/json_object_reader.h"

namespace banyantrail {
namespace {

using nlohmann::json;

using Faults = std::vector<Fault>;

/// Maximum number of nodes in one failure domain.
constexpr std::size_t kMaxNodes = 10'000;
constexpr std::size_t kMaxLabels = 64;

bool IsNodeId(std::string_view text) {
  return !text.empty() && kLineRule.accepts(text);
}

constexpr TextRule kNodeIdRule{IsNodeId, "a node id of one line"};

NodesAtRevision ReadNodesAtRevision(JsonObjectReader reader) {
  NodesAtRevision entry;
  entry.revision = reader.RequiredInteger("revision", {});
  for (std::string& node :
       reader.OptionalStrings("nodes", kNodeIdRule, kMaxNodes)) {
    entry.nodes.emplace_back(std::move(node));
  }
  reader.Finish();
  return entry;
}

RefusedRevision ReadRefusedRevision(JsonObjectReader reader) {
  RefusedRevision entry;
  entry.node = NodeId(reader.RequiredString("node", kNodeIdRule));
  entry.revision = reader.RequiredInteger("revision", {});
  entry.reason = reader.RequiredString("reason", kFreeTextRule);
  reader.Finish();
  return entry;
}

SilentNode ReadSilentNode(JsonObjectReader reader) {
  SilentNode entry;
  entry.node = NodeId(reader.RequiredString("node", kNodeIdRule));
  entry.since = reader.RequiredString("since", kLineRule);
  reader.Finish();
  return entry;
}

std::map<std::string, Labels> ReadLabels(JsonObjectReader& reader,
                                         Faults& faults) {
  std::map<std::string, Labels> labels;
  const json nodes = reader.OptionalObject("labels", kMaxNodes);
  JsonObjectReader by_node(nodes, reader.PlaceOf("labels"), faults);
  for (const auto& [node, value] : nodes.items()) {
    labels[node] = by_node.OptionalStringMap(node, kLabelKeyRule,
                                             kLabelValueRule, kMaxLabels);
  }
  return labels;
}

template <typename T>
std::vector<T> ReadEntries(JsonObjectReader& reader,
                           const char* key,
                           T (*read)(JsonObjectReader),
                           Faults& faults) {
  std::vector<T> entries;
  for (const json& element : reader.OptionalArray(key, kMaxNodes)) {
    entries.push_back(
        read(JsonObjectReader(element, reader.PlaceOf(key), faults)));
  }
  return entries;
}

json ToJson(const NodesAtRevision& entry) {
  json nodes = json::array();
  for (const NodeId& node : entry.nodes) {
    nodes.push_back(node.str());
  }
  return {{"revision", entry.revision}, {"nodes", nodes}};
}

json ToJson(const RefusedRevision& entry) {
  return {{"node", entry.node.str()},
          {"revision", entry.revision},
          {"reason", entry.reason}};
}

json ToJson(const SilentNode& entry) {
  return {{"node", entry.node.str()}, {"since", entry.since}};
}

template <typename T>
json ArrayOf(const std::vector<T>& entries) {
  json array = json::array();
  for (const T& entry : entries) {
    array.push_back(ToJson(entry));
  }
  return array;
}

}  // namespace

json ToJson(const DomainStatus& status) {
  return {{"domain", status.domain.str()},
          {"relay", status.relay.str()},
          {"time", status.time},
          {"revisions", ArrayOf(status.revisions)},
          {"refused", ArrayOf(status.refused)},
          {"silent", ArrayOf(status.silent)},
          {"labels", status.labels}};
}

DomainStatus ParseDomainStatus(const json& value) {
  Faults faults;
  JsonObjectReader reader(value, "domain status", faults);
  DomainStatus status;
  status.domain = DomainId(reader.RequiredString("domain", kNameRule));
  status.relay = NodeId(reader.RequiredString("relay", kNodeIdRule));
  status.time = reader.RequiredString("time", kLineRule);
  status.revisions =
      ReadEntries(reader, "revisions", &ReadNodesAtRevision, faults);
  status.refused = ReadEntries(reader, "refused", &ReadRefusedRevision, faults);
  status.silent = ReadEntries(reader, "silent", &ReadSilentNode, faults);
  status.labels = ReadLabels(reader, faults);
  reader.Finish();
  ThrowIfInvalid(faults, "run the same version on all nodes");
  return status;
}

}  // namespace banyantrail
