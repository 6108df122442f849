#include "banyantrail/traffic/idempotency_record.h"

#include <array>

#include "banyantrail/core/digest.h"

namespace banyantrail {

namespace {

/// In the order of the enumerators.
constexpr std::array<std::string_view, 3> kStateNames = {"claimed", "done",
                                                         "released"};

std::optional<IdempotencyState> ParseState(const nlohmann::json& value) {
  for (std::size_t i = 0; i < kStateNames.size(); ++i) {
    if (value == kStateNames.at(i)) {
      return static_cast<IdempotencyState>(i);
    }
  }
  return std::nullopt;
}

}  // namespace

std::string IdempotencyObjectKey(const ServiceName& service,
                                 std::string_view idempotency_key) {
  return "once/" +
         Sha256Hex(service.str() + "\n" + std::string(idempotency_key));
}

nlohmann::json ToJson(const IdempotencyRecord& record) {
  return {{"state", kStateNames.at(static_cast<std::size_t>(record.state))},
          {"attempt", record.attempt},
          {"status", record.status}};
}

std::optional<IdempotencyRecord> IdempotencyRecordFromJson(
    const nlohmann::json& value) {
  if (!value.is_object() || !value.contains("state") ||
      !value.contains("attempt") || !value.contains("status") ||
      !value["attempt"].is_string() || !value["status"].is_number_unsigned()) {
    return std::nullopt;
  }
  const std::optional<IdempotencyState> state = ParseState(value["state"]);
  if (!state.has_value()) {
    return std::nullopt;
  }
  return IdempotencyRecord{.state = *state,
                           .attempt = value["attempt"].get<std::string>(),
                           .status = value["status"].get<std::uint32_t>()};
}

}  // namespace banyantrail
