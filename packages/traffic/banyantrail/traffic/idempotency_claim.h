#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "banyantrail/traffic/idempotency_record.h"
#include "banyantrail/traffic/refusal_reason.h"

namespace banyantrail {

/// Maximum number of times that one record is written to the ledger.
inline constexpr std::uint32_t kMaxLedgerWrites = 3;

/// Settings of IdempotencyClaim.
struct IdempotencyClaimOptions {
  std::uint32_t max_writes = kMaxLedgerWrites;
  /// If false, requests are forwarded without a claim. Used to show that the
  /// tests detect double execution.
  bool require_claim = true;
};

/// State machine that decides whether an attempt may run the request of an
/// idempotency key. It may once the ledger, a set of records in the platform's
/// store, holds its claim, which is written with a conditional put.
///
/// The caller performs `step()`, reports the result, and repeats. Invariants:
/// - Nothing is forwarded before the ledger has confirmed the claim.
/// - A claim of another attempt is never overwritten, regardless of its age.
/// - A released key is claimed again only if it was already released when the
///   attempt first saw the record. An attempt that had started before the
///   caller was told "not run" therefore cannot run afterwards.
/// - If the outcome of a write is unknown, the record is read. The claim is
///   held if the record carries the id of this attempt.
class IdempotencyClaim {
 public:
  enum class Step : std::uint8_t {
    /// Write `claim_record()` if the record's version is `expected_version()`.
    kWrite,
    /// Read the record.
    kRead,
    /// The claim is held at `claim_version()`; forward the request.
    kForward,
    /// Refuse with `reason()`, and with `recorded_status()` if the request has
    /// already run.
    kRefuse,
  };

  explicit IdempotencyClaim(std::string attempt,
                            IdempotencyClaimOptions options = {});

  Step step() const { return m_step; }

  IdempotencyRecord claim_record() const;
  /// 0 if the record must not exist.
  std::uint64_t expected_version() const { return m_expected_version; }
  std::uint64_t claim_version() const { return m_claim_version; }
  RefusalReason reason() const { return m_reason; }
  std::uint32_t recorded_status() const { return m_recorded_status; }

  void OnWritten(std::uint64_t version);
  /// The write failed because the record has this version; 0 if it is absent.
  void OnVersionMismatch(std::uint64_t version);
  /// The write may or may not have taken effect.
  void OnWriteOutcomeUnknown();
  /// The write certainly had no effect, or a read failed.
  void OnUnavailable();
  /// `record` is empty if there is none.
  void OnRead(const std::optional<VersionedIdempotencyRecord>& record);

 private:
  void RetryWrite(std::uint64_t expected_version);
  void Refuse(RefusalReason reason);
  void OnReleased(std::uint64_t version);

  IdempotencyClaimOptions m_options;
  std::string m_attempt;
  Step m_step;
  std::uint64_t m_expected_version = 0;
  std::uint64_t m_claim_version = 0;
  std::uint32_t m_writes = 0;
  /// A write of this attempt may have taken effect.
  bool m_may_have_written = false;
  /// Version of the record when it was first seen; 0 if absent, empty before.
  std::optional<std::uint64_t> m_initial_version;
  RefusalReason m_reason = RefusalReason::kLedgerInDoubt;
  std::uint32_t m_recorded_status = 0;
};

/// State machine that ends a claim: it records the status of the response, or
/// that the claim is released. Once a release has been started the claim must
/// not be used to forward anything, whatever the result of the write, because a
/// write that seemed to fail may still take effect.
class IdempotencySettlement {
 public:
  enum class Step : std::uint8_t {
    /// Write `record()` if the record's version is `expected_version()`.
    kWrite,
    kRead,
    /// The ledger has the record, or a later attempt has replaced it.
    kSettled,
    /// The ledger may still hold the claim; resent requests are then refused
    /// with "outcome unknown".
    kAbandoned,
  };

  IdempotencySettlement(IdempotencyRecord record, std::uint64_t claim_version);

  Step step() const { return m_step; }
  const IdempotencyRecord& record() const { return m_record; }
  std::uint64_t expected_version() const { return m_claim_version; }

  void OnWritten();
  void OnVersionMismatch();
  void OnWriteOutcomeUnknown();
  void OnUnavailable();
  void OnRead(const std::optional<VersionedIdempotencyRecord>& record);

 private:
  IdempotencyRecord m_record;
  std::uint64_t m_claim_version;
  Step m_step = Step::kWrite;
  std::uint32_t m_writes = 0;
};

/// Whether a refusal of a request with an idempotency key may state that the
/// request was not run. Without a confirmed claim this is unknown, as an
/// earlier attempt with the same key may have run.
inline bool MayReportNotRun(RefusalReason reason, bool holds_claim) {
  return holds_claim && ProvesNotRun(reason);
}

}  // namespace banyantrail
