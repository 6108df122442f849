#include "banyantrail/traffic/idempotency_claim.h"

#include <utility>

namespace banyantrail {

IdempotencyClaim::IdempotencyClaim(std::string attempt,
                                   IdempotencyClaimOptions options)
    : m_options(options),
      m_attempt(std::move(attempt)),
      m_step(options.require_claim ? Step::kWrite : Step::kForward) {}

IdempotencyRecord IdempotencyClaim::claim_record() const {
  return {.state = IdempotencyState::kClaimed, .attempt = m_attempt};
}

void IdempotencyClaim::OnWritten(std::uint64_t version) {
  m_claim_version = version;
  m_step = Step::kForward;
}

void IdempotencyClaim::OnVersionMismatch(std::uint64_t version) {
  if (!m_initial_version.has_value()) {
    m_initial_version = version;
  }
  m_step = Step::kRead;
}

void IdempotencyClaim::OnWriteOutcomeUnknown() {
  m_may_have_written = true;
  m_step = Step::kRead;
}

void IdempotencyClaim::OnUnavailable() {
  Refuse(m_may_have_written ? RefusalReason::kLedgerInDoubt
                            : RefusalReason::kLedgerUnavailable);
}

void IdempotencyClaim::OnRead(
    const std::optional<VersionedIdempotencyRecord>& record) {
  if (!record.has_value()) {
    m_initial_version = m_initial_version.value_or(0);
    RetryWrite(0);
    return;
  }
  const bool is_own_claim = record->record.attempt == m_attempt;
  switch (record->record.state) {
    case IdempotencyState::kClaimed:
      if (is_own_claim) {
        OnWritten(record->version);
      } else {
        Refuse(RefusalReason::kAttemptInFlight);
      }
      break;
    case IdempotencyState::kDone:
      m_recorded_status = record->record.status;
      Refuse(RefusalReason::kAlreadyRan);
      break;
    case IdempotencyState::kReleased:
      OnReleased(record->version);
      break;
  }
}

void IdempotencyClaim::RetryWrite(std::uint64_t expected_version) {
  ++m_writes;
  if (m_writes >= m_options.max_writes) {
    Refuse(RefusalReason::kLedgerInDoubt);
    return;
  }
  m_expected_version = expected_version;
  m_step = Step::kWrite;
}

void IdempotencyClaim::Refuse(RefusalReason reason) {
  m_reason = reason;
  m_step = Step::kRefuse;
}

void IdempotencyClaim::OnReleased(std::uint64_t version) {
  if (m_initial_version != version) {
    Refuse(RefusalReason::kLedgerInDoubt);
    return;
  }
  RetryWrite(version);
}

IdempotencySettlement::IdempotencySettlement(IdempotencyRecord record,
                                             std::uint64_t claim_version)
    : m_record(std::move(record)), m_claim_version(claim_version) {}

void IdempotencySettlement::OnWritten() {
  m_step = Step::kSettled;
}

void IdempotencySettlement::OnVersionMismatch() {
  // Only this settlement replaces the claim's version, so one of its earlier
  // writes has taken effect.
  m_step = Step::kSettled;
}

void IdempotencySettlement::OnWriteOutcomeUnknown() {
  m_step = Step::kRead;
}

void IdempotencySettlement::OnUnavailable() {
  m_step = Step::kAbandoned;
}

void IdempotencySettlement::OnRead(
    const std::optional<VersionedIdempotencyRecord>& record) {
  const bool unchanged =
      record.has_value() && record->version == m_claim_version;
  if (!unchanged) {
    m_step = Step::kSettled;
    return;
  }
  ++m_writes;
  m_step = m_writes < kMaxLedgerWrites ? Step::kWrite : Step::kAbandoned;
}

}  // namespace banyantrail
