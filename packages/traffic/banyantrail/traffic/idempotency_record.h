#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>

#include "banyantrail/core/ids.h"

namespace banyantrail {

/// State of a request with an idempotency key.
enum class IdempotencyState : std::uint8_t {
  /// An attempt may run the request, and may have done so.
  kClaimed,
  /// The request was run; the status of its response is recorded.
  kDone,
  /// The attempt that held the claim certainly did not run the request.
  kReleased,
};

/// Record of one idempotency key in the ledger.
struct IdempotencyRecord {
  IdempotencyState state = IdempotencyState::kClaimed;
  /// Id of the attempt that wrote the record, unique across nodes and their
  /// restarts.
  std::string attempt;
  /// HTTP status of the response, for kDone.
  std::uint32_t status = 0;

  friend bool operator==(const IdempotencyRecord&,
                         const IdempotencyRecord&) = default;
};

/// A record and the version of the stored object that holds it.
struct VersionedIdempotencyRecord {
  std::uint64_t version = 0;
  IdempotencyRecord record;

  friend bool operator==(const VersionedIdempotencyRecord&,
                         const VersionedIdempotencyRecord&) = default;
};

/// Key of the record of an idempotency key in the platform's store.
std::string IdempotencyObjectKey(const ServiceName& service,
                                 std::string_view idempotency_key);

nlohmann::json ToJson(const IdempotencyRecord& record);

/// Returns nothing if the value is not a valid record. The key must then be
/// treated as claimed, since nothing is known about it.
std::optional<IdempotencyRecord> IdempotencyRecordFromJson(
    const nlohmann::json& value);

}  // namespace banyantrail
