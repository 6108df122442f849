#pragma once

// Boost.Asio 1.74 uses std::exchange without including it.
#include <utility>

#include <boost/asio/awaitable.hpp>
#include <cstdint>
#include <optional>
#include <string>

#include "banyantrail/config/object_store.h"
#include "banyantrail/core/errors.h"
#include "banyantrail/traffic/idempotency_claim.h"

namespace banyantrail {

/// A claim confirmed by the ledger: the permission to run a request with an
/// idempotency key.
struct HeldClaim {
  std::string object_key;
  std::string attempt;
  std::uint64_t version = 0;

  friend bool operator==(const HeldClaim&, const HeldClaim&) = default;
};

/// Result of an attempt to claim a key: the claim, or the reason of its
/// refusal.
struct ClaimResult {
  /// Empty if the attempt must not be forwarded.
  std::optional<HeldClaim> claim;
  RefusalReason reason = RefusalReason::kLedgerInDoubt;
  /// For kAlreadyRan: the HTTP status of the recorded response.
  std::uint32_t recorded_status = 0;

  friend bool operator==(const ClaimResult&, const ClaimResult&) = default;
};

/// Runs IdempotencyClaim and IdempotencySettlement against the platform's
/// store. It is stateless; the store must outlive its coroutines.
template <AsyncObjectStore Store>
class IdempotencyLedger {
 public:
  explicit IdempotencyLedger(Store& store) : m_store(store) {}

  /// Claims the key for `attempt`. Must be called when the request arrives,
  /// before it is queued, and the request may be forwarded only with the claim.
  boost::asio::awaitable<ClaimResult> Claim(std::string object_key,
                                            std::string attempt) {
    IdempotencyClaim machine(attempt);
    for (;;) {
      switch (machine.step()) {
        case IdempotencyClaim::Step::kWrite:
          co_await WriteClaim(object_key, machine);
          break;
        case IdempotencyClaim::Step::kRead:
          co_await Read(object_key, machine);
          break;
        case IdempotencyClaim::Step::kForward:
          co_return GrantedResult(object_key, attempt, machine);
        case IdempotencyClaim::Step::kRefuse:
          co_return RefusedResult(machine);
      }
    }
  }

  /// Records that the request was run and the status of its response. Returns
  /// false if the ledger could not be reached; resent requests are then refused
  /// with "outcome unknown".
  boost::asio::awaitable<bool> RecordResult(HeldClaim claim,
                                            std::uint32_t status) {
    IdempotencyRecord record{.state = IdempotencyState::kDone,
                             .attempt = claim.attempt,
                             .status = status};
    co_return co_await Settle(std::move(claim), std::move(record));
  }

  /// Releases a claim whose request certainly was not run and will not be run
  /// under it from this call on. "Not run" holds whatever is returned; false
  /// only means that resent requests are refused with "outcome unknown".
  boost::asio::awaitable<bool> Release(HeldClaim claim) {
    IdempotencyRecord record{.state = IdempotencyState::kReleased,
                             .attempt = claim.attempt};
    co_return co_await Settle(std::move(claim), std::move(record));
  }

 private:
  // g++ 12 destroys aggregates constructed inside a co_return or co_await
  // expression twice, so they are constructed outside.
  static ClaimResult GrantedResult(const std::string& object_key,
                                   const std::string& attempt,
                                   const IdempotencyClaim& machine) {
    return {.claim = HeldClaim{.object_key = object_key,
                               .attempt = attempt,
                               .version = machine.claim_version()}};
  }

  static ClaimResult RefusedResult(const IdempotencyClaim& machine) {
    return {.reason = machine.reason(),
            .recorded_status = machine.recorded_status()};
  }

  boost::asio::awaitable<void> WriteClaim(const std::string& object_key,
                                          IdempotencyClaim& machine) {
    try {
      nlohmann::json value = ToJson(machine.claim_record());
      const PutResult result = co_await m_store.Put(
          object_key, std::move(value), machine.expected_version());
      if (result.status == PutStatus::kWritten) {
        machine.OnWritten(result.version);
      } else {
        machine.OnVersionMismatch(result.version);
      }
    } catch (const Error& error) {
      ReportWriteError(error, machine);
    }
  }

  boost::asio::awaitable<bool> Settle(HeldClaim claim,
                                      IdempotencyRecord record) {
    IdempotencySettlement machine(record, claim.version);
    for (;;) {
      switch (machine.step()) {
        case IdempotencySettlement::Step::kWrite:
          co_await WriteSettlement(claim.object_key, machine);
          break;
        case IdempotencySettlement::Step::kRead:
          co_await Read(claim.object_key, machine);
          break;
        case IdempotencySettlement::Step::kSettled:
          co_return true;
        case IdempotencySettlement::Step::kAbandoned:
          co_return false;
      }
    }
  }

  boost::asio::awaitable<void> WriteSettlement(const std::string& object_key,
                                               IdempotencySettlement& machine) {
    try {
      nlohmann::json value = ToJson(machine.record());
      const PutResult result = co_await m_store.Put(
          object_key, std::move(value), machine.expected_version());
      if (result.status == PutStatus::kWritten) {
        machine.OnWritten();
      } else {
        machine.OnVersionMismatch();
      }
    } catch (const Error& error) {
      ReportWriteError(error, machine);
    }
  }

  template <typename Machine>
  static void ReportWriteError(const Error& error, Machine& machine) {
    const bool no_effect = error.kind() == ErrorKind::kPlatformUnavailable ||
                           error.kind() == ErrorKind::kPlatformOverloaded;
    if (no_effect) {
      machine.OnUnavailable();
    } else {
      machine.OnWriteOutcomeUnknown();
    }
  }

  template <typename Machine>
  boost::asio::awaitable<void> Read(const std::string& object_key,
                                    Machine& machine) {
    try {
      const std::optional<StoredObject> object =
          co_await m_store.Get(object_key);
      machine.OnRead(ToVersioned(object));
    } catch (const Error&) {
      machine.OnUnavailable();
    }
  }

  /// A value that is not a valid record counts as the claim of an unknown
  /// attempt.
  static std::optional<VersionedIdempotencyRecord> ToVersioned(
      const std::optional<StoredObject>& object) {
    if (!object.has_value()) {
      return std::nullopt;
    }
    return VersionedIdempotencyRecord{
        .version = object->version,
        .record = IdempotencyRecordFromJson(object->value)
                      .value_or(IdempotencyRecord{})};
  }

  Store& m_store;
};

}  // namespace banyantrail
