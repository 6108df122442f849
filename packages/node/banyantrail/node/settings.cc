#include "banyantrail/node/settings.h"

#include <fstream>
#include <nlohmann/json.hpp>
#include <sstream>
#include <utility>

#include "banyantrail/config/json_object_reader.h"
#include "banyantrail/core/errors.h"

namespace banyantrail {
namespace {

constexpr std::size_t kMaxEndpoints = 64;
constexpr std::size_t kMaxLabels = 64;
constexpr IntegerBounds kConnectionBounds{.min = 1, .max = 100'000};
constexpr IntegerBounds kMemoryBounds{.min = 0, .max = 10'000'000};
constexpr IntegerBounds kLinkBandwidthBounds{.min = 0, .max = 1'000'000};
constexpr IntegerBounds kHeaderBounds{.min = 1U << 10U, .max = 1U << 20U};
constexpr IntegerBounds kPipelinedRequestBounds{.min = 1, .max = 1024};
constexpr IntegerBounds kPipelinedByteBounds{.min = 1U << 10U,
                                             .max = 16U << 20U};

void ThrowFirstFault(const std::vector<Fault>& faults) {
  if (faults.empty()) {
    return;
  }
  const Fault& first = faults.front();
  throw Error({.kind = ErrorKind::kInvalidSettings,
               .message = first.place + ": " + first.message,
               .remedy = first.remedy});
}

/// Parses text with a function that may throw, and converts the error into a
/// fault of the given field.
template <typename Value, typename Parse>
Value ParseField(JsonObjectReader& reader,
                 std::string_view field,
                 const std::string& text,
                 Parse parse) {
  try {
    return parse(text);
  } catch (const Error& error) {
    reader.AddFault(field, error.message(), error.remedy());
    return Value{};
  }
}

IpEndpoint ReadEndpoint(JsonObjectReader& reader, std::string_view key) {
  const std::string text = reader.RequiredString(key, kFreeTextRule);
  return ParseField<IpEndpoint>(reader, key, text, ParseIpEndpoint);
}

std::vector<IpEndpoint> ReadEndpoints(JsonObjectReader& reader,
                                      std::string_view key) {
  std::vector<IpEndpoint> endpoints;
  for (const std::string& text :
       reader.OptionalStrings(key, kFreeTextRule, kMaxEndpoints)) {
    endpoints.push_back(
        ParseField<IpEndpoint>(reader, key, text, ParseIpEndpoint));
  }
  return endpoints;
}

DistributionMode ParseDistributionMode(const std::string& text) {
  if (text == "tree") {
    return DistributionMode::kTree;
  }
  if (text == "tree_whole_releases") {
    return DistributionMode::kTreeWholeReleases;
  }
  if (text == "gossip") {
    return DistributionMode::kGossip;
  }
  if (text == "platform_watch") {
    return DistributionMode::kPlatformWatch;
  }
  throw Error({.kind = ErrorKind::kInvalidSettings,
               .message = "unknown distribution mode '" + text + "'",
               .remedy = "use tree, tree_whole_releases, gossip or "
                         "platform_watch"});
}

ListenSettings ReadListen(const nlohmann::json& json,
                          const std::string& place,
                          std::vector<Fault>& faults) {
  JsonObjectReader reader(json, place, faults);
  ListenSettings listen{.caller = ReadEndpoint(reader, "caller"),
                        .mesh = ReadEndpoint(reader, "mesh"),
                        .peer = ReadEndpoint(reader, "peer"),
                        .admin = ReadEndpoint(reader, "admin")};
  reader.Finish();
  return listen;
}

std::uint32_t ReadLimit(JsonObjectReader& reader,
                        std::string_view key,
                        IntegerBounds bounds,
                        std::uint32_t fallback) {
  return static_cast<std::uint32_t>(
      reader.OptionalInteger(key, bounds, fallback));
}

LimitSettings ReadLimits(const nlohmann::json& json,
                         const std::string& place,
                         std::vector<Fault>& faults) {
  const LimitSettings defaults;
  JsonObjectReader reader(json, place, faults);
  LimitSettings limits{
      .max_header_bytes = ReadLimit(reader, "max_header_bytes", kHeaderBounds,
                                    defaults.max_header_bytes),
      .max_pipelined_requests =
          ReadLimit(reader, "max_pipelined_requests", kPipelinedRequestBounds,
                    defaults.max_pipelined_requests),
      .max_pipelined_bytes =
          ReadLimit(reader, "max_pipelined_bytes", kPipelinedByteBounds,
                    defaults.max_pipelined_bytes),
      .max_caller_connections =
          ReadLimit(reader, "max_caller_connections", kConnectionBounds,
                    defaults.max_caller_connections),
      .max_mesh_connections =
          ReadLimit(reader, "max_mesh_connections", kConnectionBounds,
                    defaults.max_mesh_connections),
      .max_admin_connections =
          ReadLimit(reader, "max_admin_connections", kConnectionBounds,
                    defaults.max_admin_connections),
      .memory_mb =
          ReadLimit(reader, "memory_mb", kMemoryBounds, defaults.memory_mb),
      .link_mbit_per_s =
          ReadLimit(reader, "link_mbit_per_s", kLinkBandwidthBounds,
                    defaults.link_mbit_per_s)};
  reader.Finish();
  return limits;
}

nlohmann::json ParseJson(std::string_view text, const std::string& place) {
  try {
    return nlohmann::json::parse(text);
  } catch (const nlohmann::json::parse_error& error) {
    throw Error({.kind = ErrorKind::kInvalidSettings,
                 .message = place + ": invalid JSON: " + error.what(),
                 .remedy = "fix the syntax at that position"});
  }
}

NodeSettings ReadSettings(const nlohmann::json& json,
                          const std::string& place,
                          std::vector<Fault>& faults) {
  JsonObjectReader reader(json, place, faults);
  NodeSettings settings;
  settings.node = NodeId(reader.RequiredString("node", kNameRule));
  settings.region = RegionId(reader.RequiredString("region", kNameRule));
  settings.domain = DomainId(reader.RequiredString("domain", kNameRule));
  settings.labels = reader.OptionalStringMap("labels", kLabelKeyRule,
                                             kLabelValueRule, kMaxLabels);
  settings.listen = ReadListen(reader.OptionalObject("listen", kMaxLabels),
                               place + ": listen", faults);
  settings.platform = ReadEndpoints(reader, "platform");
  settings.seeds = ReadEndpoints(reader, "seeds");
  settings.log_level = ParseField<LogLevel>(
      reader, "log_level",
      reader.OptionalString("log_level", kFreeTextRule, "info"), ParseLogLevel);
  settings.distribution_mode = ParseField<DistributionMode>(
      reader, "distribution",
      reader.OptionalString("distribution", kFreeTextRule, "tree"),
      ParseDistributionMode);
  settings.claim_idempotency_keys = reader.OptionalBool("once_only", true);
  settings.response_based_slow_start =
      reader.OptionalBool("response_based_slow_start", false);
  settings.limits = ReadLimits(reader.OptionalObject("limits", kMaxLabels),
                               place + ": limits", faults);
  reader.Finish();
  if (settings.platform.empty() && settings.seeds.empty()) {
    reader.AddFault("platform", "neither platform nor seeds are set",
                    "set at least one address of the platform");
  }
  return settings;
}

}  // namespace

NodeSettings ParseNodeSettings(std::string_view text,
                               const std::string& place) {
  std::vector<Fault> faults;
  NodeSettings settings = ReadSettings(ParseJson(text, place), place, faults);
  ThrowFirstFault(faults);
  return settings;
}

NodeSettings LoadNodeSettings(const std::string& path) {
  std::ifstream file(path);
  if (!file) {
    throw Error({.kind = ErrorKind::kInvalidSettings,
                 .message = "cannot read the settings file " + path,
                 .remedy = "pass the path of a readable file"});
  }
  std::ostringstream text;
  text << file.rdbuf();
  return ParseNodeSettings(text.str(), path);
}

}  // namespace banyantrail
