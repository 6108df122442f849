#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>

#include "banyantrail/core/ids.h"

namespace banyantrail {

/// What the ledger knows of an order.
enum class OnceState : std::uint8_t {
  /// An attempt has the right to run it, and may have done so.
  kClaimed,
  /// It ran; its status is recorded.
  kDone,
  /// The attempt that had claimed it surely did not run it.
  kReleased,
};

/// The ledger's record of one idempotency key.
struct OnceRecord {
  OnceState state = OnceState::kClaimed;
  /// The attempt that wrote the record. Unique over all nodes and their lives.
  std::string attempt;
  /// HTTP status of the answer, for kDone.
  std::uint32_t status = 0;

  friend bool operator==(const OnceRecord&, const OnceRecord&) = default;
};

/// A record with the version of the object that holds it.
struct VersionedOnceRecord {
  std::uint64_t version = 0;
  OnceRecord record;

  friend bool operator==(const VersionedOnceRecord&,
                         const VersionedOnceRecord&) = default;
};

/// Key in the platform's store of the record for an idempotency key.
std::string OnceObjectKey(const ServiceName& service,
                          std::string_view idempotency_key);

nlohmann::json ToJson(const OnceRecord& record);

/// Empty when the value is no record of this form. Such a value proves nothing,
/// so its key has to count as claimed.
std::optional<OnceRecord> OnceRecordFromJson(const nlohmann::json& value);

}  // namespace banyantrail
