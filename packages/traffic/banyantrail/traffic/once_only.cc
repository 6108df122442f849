#include "banyantrail/traffic/once_only.h"

#include <utility>

namespace banyantrail {

OnceClaim::OnceClaim(std::string attempt, OnceClaimOptions options)
    : m_options(options),
      m_attempt(std::move(attempt)),
      m_step(options.claim ? Step::kWrite : Step::kForward) {}

OnceRecord OnceClaim::claim() const {
  return {.state = OnceState::kClaimed, .attempt = m_attempt};
}

void OnceClaim::OnWritten(std::uint64_t version) {
  m_claim_version = version;
  m_step = Step::kForward;
}

void OnceClaim::OnVersionMismatch(std::uint64_t version) {
  if (!m_first_version.has_value()) {
    m_first_version = version;
  }
  m_step = Step::kRead;
}

void OnceClaim::OnWriteUnknown() {
  m_in_doubt = true;
  m_step = Step::kRead;
}

void OnceClaim::OnUnavailable() {
  Refuse(m_in_doubt ? RefusalReason::kLedgerInDoubt
                    : RefusalReason::kLedgerUnavailable);
}

void OnceClaim::OnRead(const std::optional<VersionedOnceRecord>& record) {
  if (!record.has_value()) {
    m_first_version = m_first_version.value_or(0);
    WriteAgain(0);
    return;
  }
  const bool is_own = record->record.attempt == m_attempt;
  switch (record->record.state) {
    case OnceState::kClaimed:
      if (is_own) {
        OnWritten(record->version);
      } else {
        Refuse(RefusalReason::kAttemptInFlight);
      }
      break;
    case OnceState::kDone:
      m_recorded_status = record->record.status;
      Refuse(RefusalReason::kAlreadyRan);
      break;
    case OnceState::kReleased:
      OnReleased(record->version);
      break;
  }
}

void OnceClaim::WriteAgain(std::uint64_t expected_version) {
  ++m_writes;
  if (m_writes >= m_options.max_writes) {
    Refuse(RefusalReason::kLedgerInDoubt);
    return;
  }
  m_expected_version = expected_version;
  m_step = Step::kWrite;
}

void OnceClaim::Refuse(RefusalReason reason) {
  m_reason = reason;
  m_step = Step::kRefuse;
}

void OnceClaim::OnReleased(std::uint64_t version) {
  if (m_first_version != version) {
    Refuse(RefusalReason::kLedgerInDoubt);
    return;
  }
  WriteAgain(version);
}

OnceSettlement::OnceSettlement(OnceRecord record, std::uint64_t claim_version)
    : m_record(std::move(record)), m_claim_version(claim_version) {}

void OnceSettlement::OnWritten() {
  m_step = Step::kSettled;
}

void OnceSettlement::OnVersionMismatch() {
  // Only this settlement replaces the claim's version, so one of its earlier
  // writes has taken effect.
  m_step = Step::kSettled;
}

void OnceSettlement::OnWriteUnknown() {
  m_step = Step::kRead;
}

void OnceSettlement::OnUnavailable() {
  m_step = Step::kGaveUp;
}

void OnceSettlement::OnRead(const std::optional<VersionedOnceRecord>& record) {
  const bool unchanged =
      record.has_value() && record->version == m_claim_version;
  if (!unchanged) {
    m_step = Step::kSettled;
    return;
  }
  ++m_writes;
  m_step = m_writes < kMaxLedgerWrites ? Step::kWrite : Step::kGaveUp;
}

}  // namespace banyantrail
