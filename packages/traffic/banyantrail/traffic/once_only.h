#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "banyantrail/traffic/once_record.h"
#include "banyantrail/traffic/refusal_reason.h"

namespace banyantrail {

/// How often a ledger write with a lost answer is looked into and repeated.
inline constexpr std::uint32_t kMaxLedgerWrites = 3;

/// Settings of OnceClaim.
struct OnceClaimOptions {
  std::uint32_t max_writes = kMaxLedgerWrites;
  /// Off: forwards without a claim. For tests of the tests.
  bool claim = true;
};

/// Decides whether one attempt may run the order of an idempotency key. It may
/// once the ledger holds its claim, written on the condition that no other
/// attempt had one.
///
/// Do what `step()` says, report the answer, repeat. The machine keeps these
/// rules:
/// - nothing is forwarded before the ledger has confirmed the claim;
/// - a claim of another attempt is never broken, however old it is;
/// - a released order is claimed again only if it stood released at the
///   attempt's first look, so that an attempt which was under way before the
///   caller heard "not run" does not run after it;
/// - a lost answer is resolved by reading: a record that carries this attempt
///   is this attempt's claim.
class OnceClaim {
 public:
  enum class Step : std::uint8_t {
    /// Write `claim()` on condition of `expected_version()`.
    kWrite,
    /// Read the record.
    kRead,
    /// The order is this attempt's to run, under `claim_version()`.
    kForward,
    /// Answer with `reason()`, and with `recorded_status()` if it ran.
    kRefuse,
  };

  explicit OnceClaim(std::string attempt, OnceClaimOptions options = {});

  Step step() const { return m_step; }

  OnceRecord claim() const;
  /// 0 when the record must not exist.
  std::uint64_t expected_version() const { return m_expected_version; }
  std::uint64_t claim_version() const { return m_claim_version; }
  RefusalReason reason() const { return m_reason; }
  std::uint32_t recorded_status() const { return m_recorded_status; }

  void OnWritten(std::uint64_t version);
  /// The record's version was another one, given here; 0 when absent.
  void OnVersionMismatch(std::uint64_t version);
  /// The write may or may not have taken effect.
  void OnWriteUnknown();
  /// The write surely had no effect, or a read got no answer.
  void OnUnavailable();
  /// `record` is empty when absent.
  void OnRead(const std::optional<VersionedOnceRecord>& record);

 private:
  void WriteAgain(std::uint64_t expected_version);
  void Refuse(RefusalReason reason);
  void OnReleased(std::uint64_t version);

  OnceClaimOptions m_options;
  std::string m_attempt;
  Step m_step;
  std::uint64_t m_expected_version = 0;
  std::uint64_t m_claim_version = 0;
  std::uint32_t m_writes = 0;
  /// A write of this attempt may have taken effect.
  bool m_in_doubt = false;
  /// The version that the first look found; empty before it.
  std::optional<std::uint64_t> m_first_version;
  RefusalReason m_reason = RefusalReason::kLedgerInDoubt;
  std::uint32_t m_recorded_status = 0;
};

/// Writes the end of a claim: done with a status, or released. After a release
/// has been started the claim must not be used to forward anything, whatever
/// becomes of the write, because a lost write may still take effect.
class OnceSettlement {
 public:
  enum class Step : std::uint8_t {
    /// Write `record()` on condition of `expected_version()`.
    kWrite,
    kRead,
    /// The ledger has the record, or a later attempt has built on it.
    kSettled,
    /// The ledger may still hold the claim; resends get "outcome unknown".
    kGaveUp,
  };

  OnceSettlement(OnceRecord record, std::uint64_t claim_version);

  Step step() const { return m_step; }
  const OnceRecord& record() const { return m_record; }
  std::uint64_t expected_version() const { return m_claim_version; }

  void OnWritten();
  void OnVersionMismatch();
  void OnWriteUnknown();
  void OnUnavailable();
  void OnRead(const std::optional<VersionedOnceRecord>& record);

 private:
  OnceRecord m_record;
  std::uint64_t m_claim_version;
  Step m_step = Step::kWrite;
  std::uint32_t m_writes = 0;
};

/// Whether an answer that the system makes itself may say "not run" of an order
/// with an idempotency key. Before the ledger has confirmed the claim nobody
/// knows whether an earlier attempt under the key ran.
inline bool MaySayNotRun(RefusalReason reason, bool holds_claim) {
  return holds_claim && ProvesNotRun(reason);
}

}  // namespace banyantrail
