#include "banyantrail/distribution/domain_status.h"

#include <cstddef>
#include <cstdint>
#include <utility>

#include "banyantrail/config/json_object_reader.h"
#include "banyantrail/core/errors.h"

namespace banyantrail {
namespace {

using nlohmann::json;

constexpr std::size_t kMaxNodes = 4096;
constexpr std::size_t kMaxLabels = 64;
/// Milliseconds that still fit the clock's signed range.
constexpr std::uint64_t kMaxUnixMillis = std::uint64_t{1} << 48U;

std::uint64_t ToNumber(UnixMillis time) {
  return static_cast<std::uint64_t>(time.time_since_epoch().count());
}

UnixMillis ReadTime(JsonObjectReader& reader, std::string_view key) {
  const std::uint64_t millis =
      reader.RequiredInteger(key, {.max = kMaxUnixMillis});
  return UnixMillis(std::chrono::milliseconds(millis));
}

NodeId ReadNode(JsonObjectReader& reader, std::string_view key) {
  return NodeId(reader.RequiredString(key, kNameRule));
}

/// Reads each element of an array with `read`.
template <typename Element, typename Read>
std::vector<Element> ReadArray(JsonObjectReader& reader,
                               std::string_view key,
                               std::vector<Fault>& faults,
                               Read read) {
  std::vector<Element> elements;
  for (const json& item : reader.OptionalArray(key, kMaxNodes)) {
    const std::string place =
        reader.PlaceOf(key) + "[" + std::to_string(elements.size()) + "]";
    JsonObjectReader element(item, place, faults);
    elements.push_back(read(element));
    element.Finish();
  }
  return elements;
}

RevisionHolders ReadHolders(JsonObjectReader& reader) {
  RevisionHolders holders{.revision = reader.RequiredInteger("revision", {})};
  for (std::string& node :
       reader.OptionalStrings("nodes", kNameRule, kMaxNodes)) {
    holders.nodes.emplace_back(std::move(node));
  }
  return holders;
}

RefusingNode ReadRefusing(JsonObjectReader& reader) {
  return {.node = ReadNode(reader, "node"),
          .revision = reader.RequiredInteger("revision", {}),
          .reason = reader.RequiredString("reason", kFreeTextRule)};
}

SilentNode ReadSilent(JsonObjectReader& reader) {
  return {.node = ReadNode(reader, "node"), .since = ReadTime(reader, "since")};
}

std::map<NodeId, Labels> ReadLabels(JsonObjectReader& reader,
                                    std::vector<Fault>& faults) {
  std::map<NodeId, Labels> labels;
  const json object = reader.OptionalObject("labels", kMaxNodes);
  JsonObjectReader nodes(object, reader.PlaceOf("labels"), faults);
  for (const auto& [node, value] : object.items()) {
    labels[NodeId(node)] = nodes.OptionalStringMap(node, kLabelKeyRule,
                                                   kLabelValueRule, kMaxLabels);
  }
  return labels;
}

}  // namespace

json ToJson(const DomainStatus& status) {
  json revisions = json::array();
  for (const RevisionHolders& holders : status.revisions) {
    json nodes = json::array();
    for (const NodeId& node : holders.nodes) {
      nodes.push_back(node.str());
    }
    revisions.push_back({{"revision", holders.revision}, {"nodes", nodes}});
  }
  json refused = json::array();
  for (const RefusingNode& node : status.refused) {
    refused.push_back({{"node", node.node.str()},
                       {"revision", node.revision},
                       {"reason", node.reason}});
  }
  json silent = json::array();
  for (const SilentNode& node : status.silent) {
    silent.push_back(
        {{"node", node.node.str()}, {"since", ToNumber(node.since)}});
  }
  json labels = json::object();
  for (const auto& [node, values] : status.labels) {
    labels[node.str()] = values;
  }
  return {{"domain", status.domain.str()},
          {"relay", status.relay.str()},
          {"time", ToNumber(status.time)},
          {"revisions", revisions},
          {"refused", refused},
          {"silent", silent},
          {"labels", labels}};
}

DomainStatus DomainStatusFromJson(const json& json) {
  std::vector<Fault> faults;
  JsonObjectReader reader(json, "status", faults);
  DomainStatus status{
      .domain = DomainId(reader.RequiredString("domain", kNameRule)),
      .relay = ReadNode(reader, "relay"),
      .time = ReadTime(reader, "time"),
      .revisions =
          ReadArray<RevisionHolders>(reader, "revisions", faults, ReadHolders),
      .refused =
          ReadArray<RefusingNode>(reader, "refused", faults, ReadRefusing),
      .silent = ReadArray<SilentNode>(reader, "silent", faults, ReadSilent),
      .labels = ReadLabels(reader, faults)};
  reader.Finish();
  if (!faults.empty()) {
    throw Error({.kind = ErrorKind::kMalformedMessage,
                 .message = faults.front().place + " " + faults.front().message,
                 .remedy = faults.front().remedy});
  }
  return status;
}

}  // namespace banyantrail
