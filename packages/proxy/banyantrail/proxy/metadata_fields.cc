#include "banyantrail/proxy/metadata_fields.h"

#include <array>
#include <string>

#include "banyantrail/core/digest.h"
#include "banyantrail/proxy/header_rules.h"
#include "banyantrail/proxy/message_head.h"
#include "banyantrail/wire/mesh_headers.h"

namespace banyantrail {
namespace {

/// Time to the deadline of a request without a deadline header.
constexpr milliseconds kDefaultTimeLeft = seconds(30);

/// Priority of a request without a priority header.
constexpr std::uint8_t kLeastUrgentPriority = 255;

/// Sets one header for each field, for an owner node of mesh version 0.
void SetSeparateFields(http::fields& fields, const RequestMetadata& metadata) {
  SetField(fields, kDeadlineHeader, std::to_string(metadata.time_left.count()));
  SetField(fields, kDepthHeader, std::to_string(metadata.depth));
  SetField(fields, kPriorityHeader, std::to_string(metadata.priority));
  SetField(fields, kIdempotentHeader, metadata.is_idempotent ? "1" : "0");
  SetField(fields, kServiceHeader, metadata.service.str());
  SetField(fields, kRoutingRuleHeader, std::to_string(metadata.kind));
  SetField(fields, kBackendServerHeader, metadata.server.str());
  if (metadata.is_nested_call) {
    SetField(fields, kNestedCallHeader, "1");
  }
  if (metadata.target_left) {
    SetField(fields, kTargetLatencyHeader,
             std::to_string(metadata.target_left->count()));
  }
  if (!metadata.caller_service.empty()) {
    SetField(fields, kCallerServiceHeader, metadata.caller_service.str());
  }
  if (!metadata.body_hash.empty()) {
    SetField(fields, kBodyHashHeader, metadata.body_hash);
  }
}

RequestMetadata MetadataOfSeparateFields(const http::fields& fields) {
  const auto text = [&fields](std::string_view name) {
    return std::string(FieldValue(fields, name));
  };
  const auto time_left = NumberField(fields, kDeadlineHeader);
  const auto target_left = NumberField(fields, kTargetLatencyHeader);
  const auto priority = NumberField(fields, kPriorityHeader);
  const std::string rule = text(kRoutingRuleHeader);
  RequestMetadata metadata{
      .time_left = time_left ? milliseconds(*time_left) : kDefaultTimeLeft,
      .depth = NumberField(fields, kDepthHeader).value_or(0),
      .priority = priority ? static_cast<std::uint8_t>(*priority)
                           : kLeastUrgentPriority,
      .is_idempotent = text(kIdempotentHeader) == "1",
      .is_nested_call = text(kNestedCallHeader) == "1",
      .kind = rule.empty() ? 0 : Hash64(rule),
      .service = ServiceName(text(kServiceHeader)),
      .server = BackendServerId(text(kBackendServerHeader)),
      .caller_service = ServiceName(text(kCallerServiceHeader)),
      .body_hash = text(kBodyHashHeader)};
  if (target_left) {
    metadata.target_left = milliseconds(*target_left);
  }
  return metadata;
}

}  // namespace

void SetRequestMetadata(http::fields& fields,
                        const RequestMetadata& metadata,
                        std::uint32_t mesh_version) {
  if (mesh_version == 0) {
    SetSeparateFields(fields, metadata);
  } else {
    SetField(fields, kMetadataHeader, FormatRequestMetadata(metadata));
  }
}

RequestMetadata RequestMetadataOf(const http::fields& fields) {
  const auto metadata =
      ParseRequestMetadata(FieldValue(fields, kMetadataHeader));
  return metadata ? *metadata : MetadataOfSeparateFields(fields);
}

bool HasCompactMetadata(const http::fields& fields) {
  return !FieldValue(fields, kMetadataHeader).empty();
}

void StripRequestMetadata(http::fields& fields) {
  for (const std::string_view name :
       {kMetadataHeader, kDeadlineHeader, kTargetLatencyHeader,
        kNestedCallHeader, kRoutingRuleHeader, kPriorityHeader,
        kIdempotentHeader, kServiceHeader, kBackendServerHeader,
        kCallerServiceHeader, kBodyHashHeader}) {
    fields.erase(beast::string_view(name.data(), name.size()));
  }
}

std::string FormatResponseMetadata(const ResponseMetadata& metadata) {
  std::string text;
  if (metadata.load) {
    text = ToString(*metadata.load);
  }
  if (metadata.refusal) {
    text += ";" + std::string(ToString(*metadata.refusal));
  }
  return text;
}

ResponseMetadata ResponseMetadataOf(const http::fields& fields) {
  const std::string_view compact = FieldValue(fields, kMetadataHeader);
  if (compact.empty()) {
    ResponseMetadata metadata{
        .load = ParseReportedLoad(FieldValue(fields, kLoadHeader))};
    if (!FieldValue(fields, kOutcomeHeader).empty()) {
      metadata.refusal = ParseRefusalReason(FieldValue(fields, kReasonHeader))
                             .value_or(RefusalReason::kMalformedResponse);
    }
    return metadata;
  }
  const std::size_t separator = compact.find(';');
  ResponseMetadata metadata{
      .load = ParseReportedLoad(compact.substr(0, separator))};
  if (separator != std::string_view::npos) {
    metadata.refusal = ParseRefusalReason(compact.substr(separator + 1))
                           .value_or(RefusalReason::kMalformedResponse);
  }
  return metadata;
}

}  // namespace banyantrail
