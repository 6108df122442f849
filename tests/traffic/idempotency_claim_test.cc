// Interleavings of attempts with the same idempotency key at several nodes,
// with a store that loses responses and applies writes late.

#include "banyantrail/traffic/idempotency_claim.h"

#include <algorithm>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include <rapidcheck.h>

#include "banyantrail/core/random.h"

#include <CppUTest/TestHarness.h>

using banyantrail::IdempotencyClaim;
using banyantrail::IdempotencyClaimOptions;
using banyantrail::IdempotencyRecord;
using banyantrail::IdempotencySettlement;
using banyantrail::IdempotencyState;
using banyantrail::MayReportNotRun;
using banyantrail::RefusalReason;
using banyantrail::VersionedIdempotencyRecord;

namespace {

constexpr std::size_t kMaxAttempts = 5;
constexpr std::uint32_t kStatusOfRun = 201;

/// Stored object of one key, with conditional writes.
struct StoredKey {
  std::optional<VersionedIdempotencyRecord> object;
  std::uint64_t newest_version = 0;

  std::uint64_t version() const { return object ? object->version : 0; }

  bool Write(const IdempotencyRecord& record, std::uint64_t expected) {
    if (version() != expected) {
      return false;
    }
    object = {.version = ++newest_version, .record = record};
    return true;
  }
};

struct DelayedWrite {
  IdempotencyRecord record;
  std::uint64_t expected = 0;
};

enum class Phase : std::uint8_t { kClaiming, kSettling, kEnded };

/// One attempt of the caller, at some node.
struct Attempt {
  std::string id;
  IdempotencyClaim claim;
  std::optional<IdempotencySettlement> settlement;
  Phase phase = Phase::kClaiming;
  bool ran = false;
  /// Time when the store first processed the attempt's claim; 0 before.
  std::uint64_t first_seen_at = 0;
};

/// Simulates the attempts and the store, one step of the schedule at a time.
class Simulation {
 public:
  explicit Simulation(IdempotencyClaimOptions options) : m_options(options) {}

  void Step(std::uint8_t choice) {
    ++m_now;
    const std::uint8_t kind = choice % 8;
    if (kind == 0 && m_attempts.size() < kMaxAttempts) {
      const std::string id = std::to_string(m_attempts.size());
      m_attempts.push_back(
          {.id = id, .claim = IdempotencyClaim(id, m_options)});
    } else if (kind == 1 && !m_delayed_writes.empty()) {
      const DelayedWrite write = m_delayed_writes.back();
      m_delayed_writes.pop_back();
      m_store.Write(write.record, write.expected);
    } else if (!m_attempts.empty()) {
      const std::size_t chosen = (choice / 8) % m_attempts.size();
      Advance(m_attempts[chosen], choice % 7);
    }
  }

  int runs() const { return m_runs; }
  bool all_responses_true() const { return m_all_responses_true; }

 private:
  /// What happens to the next action of an attempt. kNone is listed twice to
  /// make it more likely.
  enum Disturbance : std::uint8_t {
    kNone,
    kAlsoNone,
    kResponseLost,
    kDelayed,
    kNoEffect,
    kCrash,
    kNotRun
  };

  void Advance(Attempt& attempt, std::uint8_t disturbance) {
    if (disturbance == kCrash) {
      attempt.phase = Phase::kEnded;
    } else if (attempt.phase == Phase::kClaiming) {
      AdvanceClaim(attempt, disturbance);
    } else if (attempt.phase == Phase::kSettling) {
      AdvanceSettlement(attempt, disturbance);
    }
  }

  void AdvanceClaim(Attempt& attempt, std::uint8_t disturbance) {
    IdempotencyClaim& claim = attempt.claim;
    switch (claim.step()) {
      case IdempotencyClaim::Step::kWrite:
        WriteClaim(attempt, disturbance);
        break;
      case IdempotencyClaim::Step::kRead:
        Read(claim, disturbance);
        break;
      case IdempotencyClaim::Step::kForward:
        Forward(attempt, disturbance);
        break;
      case IdempotencyClaim::Step::kRefuse:
        m_all_responses_true &= !MayReportNotRun(claim.reason(), false);
        if (claim.reason() == RefusalReason::kAlreadyRan) {
          m_all_responses_true &=
              m_runs > 0 && claim.recorded_status() == kStatusOfRun;
        }
        attempt.phase = Phase::kEnded;
        break;
    }
  }

  void WriteClaim(Attempt& attempt, std::uint8_t disturbance) {
    IdempotencyClaim& claim = attempt.claim;
    const std::uint64_t expected = claim.expected_version();
    if (disturbance == kNoEffect) {
      claim.OnUnavailable();
      return;
    }
    if (disturbance == kDelayed) {
      m_delayed_writes.push_back(
          {.record = claim.claim_record(), .expected = expected});
      claim.OnWriteOutcomeUnknown();
      return;
    }
    attempt.first_seen_at =
        attempt.first_seen_at == 0 ? m_now : attempt.first_seen_at;
    const bool written = m_store.Write(claim.claim_record(), expected);
    if (disturbance == kResponseLost) {
      claim.OnWriteOutcomeUnknown();
    } else if (written) {
      claim.OnWritten(m_store.version());
    } else {
      claim.OnVersionMismatch(m_store.version());
    }
  }

  template <typename Machine>
  void Read(Machine& machine, std::uint8_t disturbance) {
    if (disturbance == kNoEffect) {
      machine.OnUnavailable();
    } else {
      machine.OnRead(m_store.object);
    }
  }

  /// The backend server runs the request, or provably does not.
  void Forward(Attempt& attempt, std::uint8_t disturbance) {
    const std::uint64_t version = attempt.claim.claim_version();
    if (disturbance == kNotRun) {
      // The caller is told "not run" only after the release has been started.
      m_not_run_times.push_back(m_now);
      attempt.settlement.emplace(
          IdempotencyRecord{.state = IdempotencyState::kReleased,
                            .attempt = attempt.id},
          version);
      attempt.phase = Phase::kSettling;
      m_all_responses_true &= m_runs == 0;
      return;
    }
    ++m_runs;
    // An attempt that started before a "not run" response must not run.
    for (const std::uint64_t not_run_time : m_not_run_times) {
      m_all_responses_true &= attempt.first_seen_at > not_run_time;
    }
    if (disturbance == kResponseLost) {
      attempt.phase = Phase::kEnded;
      return;
    }
    attempt.settlement.emplace(
        IdempotencyRecord{.state = IdempotencyState::kDone,
                          .attempt = attempt.id,
                          .status = kStatusOfRun},
        version);
    attempt.phase = Phase::kSettling;
  }

  void AdvanceSettlement(Attempt& attempt, std::uint8_t disturbance) {
    IdempotencySettlement& settlement = *attempt.settlement;
    switch (settlement.step()) {
      case IdempotencySettlement::Step::kWrite:
        WriteSettlement(settlement, disturbance);
        break;
      case IdempotencySettlement::Step::kRead:
        Read(settlement, disturbance);
        break;
      case IdempotencySettlement::Step::kSettled:
        m_all_responses_true &=
            m_store.version() != settlement.expected_version();
        attempt.phase = Phase::kEnded;
        break;
      case IdempotencySettlement::Step::kAbandoned:
        attempt.phase = Phase::kEnded;
        break;
    }
  }

  void WriteSettlement(IdempotencySettlement& settlement,
                       std::uint8_t disturbance) {
    const std::uint64_t expected = settlement.expected_version();
    if (disturbance == kNoEffect) {
      settlement.OnUnavailable();
      return;
    }
    if (disturbance == kDelayed) {
      m_delayed_writes.push_back(
          {.record = settlement.record(), .expected = expected});
      settlement.OnWriteOutcomeUnknown();
      return;
    }
    const bool written = m_store.Write(settlement.record(), expected);
    if (disturbance == kResponseLost) {
      settlement.OnWriteOutcomeUnknown();
    } else if (written) {
      settlement.OnWritten();
    } else {
      settlement.OnVersionMismatch();
    }
  }

  IdempotencyClaimOptions m_options;
  StoredKey m_store;
  std::vector<Attempt> m_attempts;
  std::vector<DelayedWrite> m_delayed_writes;
  std::vector<std::uint64_t> m_not_run_times;
  std::uint64_t m_now = 0;
  int m_runs = 0;
  bool m_all_responses_true = true;
};

struct ScheduleStats {
  int max_runs = 0;
  bool all_responses_true = true;
  int schedules_with_a_run = 0;
};

/// Runs `count` random schedules of up to 80 steps.
ScheduleStats RunSchedules(int count, const IdempotencyClaimOptions& options) {
  ScheduleStats stats;
  banyantrail::Rng rng(20261204);
  for (int i = 0; i < count; ++i) {
    Simulation simulation(options);
    for (int step = 0; step < 80; ++step) {
      simulation.Step(static_cast<std::uint8_t>(rng()));
    }
    stats.max_runs = std::max(stats.max_runs, simulation.runs());
    stats.all_responses_true &= simulation.all_responses_true();
    stats.schedules_with_a_run += simulation.runs() > 0 ? 1 : 0;
  }
  return stats;
}

}  // namespace

TEST_GROUP(IdempotencyClaim){};

TEST(IdempotencyClaim, RunsAtMostOnceAndRespondsTruthfullyUnderAnySchedule) {
  CHECK(rc::check([](const std::vector<std::uint8_t>& schedule) {
    Simulation simulation({});
    for (const std::uint8_t choice : schedule) {
      simulation.Step(choice);
    }
    RC_ASSERT(simulation.runs() <= 1);
    RC_ASSERT(simulation.all_responses_true());
  }));
}

TEST(IdempotencyClaim, InvariantsHoldOverManyLongSchedules) {
  const ScheduleStats stats = RunSchedules(100'000, {});
  LONGS_EQUAL(1, stats.max_runs);
  CHECK(stats.all_responses_true);
  CHECK(stats.schedules_with_a_run > 10'000);
}

TEST(IdempotencyClaim, WithoutTheClaimRequestsRunTwice) {
  const ScheduleStats stats = RunSchedules(1000, {.require_claim = false});
  CHECK(stats.max_runs > 1);
  CHECK(!stats.all_responses_true);
}

TEST(IdempotencyClaim, AClaimOfAnotherAttemptIsNeverOverwritten) {
  IdempotencyClaim claim("a");
  claim.OnVersionMismatch(7);
  claim.OnRead(
      VersionedIdempotencyRecord{.version = 7, .record = {.attempt = "b"}});
  CHECK(claim.step() == IdempotencyClaim::Step::kRefuse);
  CHECK(claim.reason() == RefusalReason::kAttemptInFlight);
}

TEST(IdempotencyClaim, AnUnknownWriteOutcomeIsResolvedByReading) {
  IdempotencyClaim claim("a");
  claim.OnWriteOutcomeUnknown();
  claim.OnRead(
      VersionedIdempotencyRecord{.version = 3, .record = {.attempt = "a"}});
  CHECK(claim.step() == IdempotencyClaim::Step::kForward);
  LONGS_EQUAL(3, claim.claim_version());
}

TEST(IdempotencyClaim, AnOutageOfTheLedgerDoesNotProveNotRun) {
  IdempotencyClaim claim("a");
  claim.OnUnavailable();
  CHECK(claim.reason() == RefusalReason::kLedgerUnavailable);
  CHECK(!MayReportNotRun(claim.reason(), false));
  CHECK(!MayReportNotRun(RefusalReason::kQueueFull, false));
  CHECK(MayReportNotRun(RefusalReason::kQueueFull, true));
}
