// Interleavings of attempts with the same idempotency key at several nodes,
// with a store that loses responses and applies writes late.

#include "banyantrail/traffic/once_only.h"

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

using banyantrail::MaySayNotRun;
using banyantrail::OnceClaim;
using banyantrail::OnceClaimOptions;
using banyantrail::OnceRecord;
using banyantrail::OnceSettlement;
using banyantrail::OnceState;
using banyantrail::RefusalReason;
using banyantrail::VersionedOnceRecord;

namespace {

constexpr std::size_t kMaxAttempts = 5;
constexpr std::uint32_t kStatusOfRun = 201;

/// Stored object of one key, with conditional writes.
struct StoredKey {
  std::optional<VersionedOnceRecord> object;
  std::uint64_t newest_version = 0;

  std::uint64_t version() const { return object ? object->version : 0; }

  bool Write(const OnceRecord& record, std::uint64_t expected) {
    if (version() != expected) {
      return false;
    }
    object = {.version = ++newest_version, .record = record};
    return true;
  }
};

struct LateWrite {
  OnceRecord record;
  std::uint64_t expected = 0;
};

enum class Phase : std::uint8_t { kClaiming, kSettling, kEnded };

/// One attempt of the caller, at some node.
struct Attempt {
  std::string id;
  OnceClaim claim;
  std::optional<OnceSettlement> settlement;
  Phase phase = Phase::kClaiming;
  bool ran = false;
  /// Time when the store first processed the attempt's claim; 0 before.
  std::uint64_t first_look = 0;
};

/// Simulates the attempts and the store, one step of the schedule at a time.
class World {
 public:
  explicit World(OnceClaimOptions options) : m_options(options) {}

  void Step(std::uint8_t choice) {
    ++m_now;
    const std::uint8_t kind = choice % 8;
    if (kind == 0 && m_attempts.size() < kMaxAttempts) {
      const std::string id = std::to_string(m_attempts.size());
      m_attempts.push_back({.id = id, .claim = OnceClaim(id, m_options)});
    } else if (kind == 1 && !m_late.empty()) {
      const LateWrite write = m_late.back();
      m_late.pop_back();
      m_store.Write(write.record, write.expected);
    } else if (!m_attempts.empty()) {
      const std::size_t chosen = (choice / 8) % m_attempts.size();
      Advance(m_attempts[chosen], choice % 7);
    }
  }

  int runs() const { return m_runs; }
  bool every_answer_true() const { return m_every_answer_true; }

 private:
  /// What happens to the next action of an attempt.
  enum Fate : std::uint8_t {
    kGood,
    kGoodToo,
    kAnswerLost,
    kLate,
    kNoEffect,
    kCrash,
    kNotRun
  };

  void Advance(Attempt& attempt, std::uint8_t fate) {
    if (fate == kCrash) {
      attempt.phase = Phase::kEnded;
    } else if (attempt.phase == Phase::kClaiming) {
      AdvanceClaim(attempt, fate);
    } else if (attempt.phase == Phase::kSettling) {
      AdvanceSettlement(attempt, fate);
    }
  }

  void AdvanceClaim(Attempt& attempt, std::uint8_t fate) {
    OnceClaim& claim = attempt.claim;
    switch (claim.step()) {
      case OnceClaim::Step::kWrite:
        WriteClaim(attempt, fate);
        break;
      case OnceClaim::Step::kRead:
        Read(claim, fate);
        break;
      case OnceClaim::Step::kForward:
        Forward(attempt, fate);
        break;
      case OnceClaim::Step::kRefuse:
        m_every_answer_true &= !MaySayNotRun(claim.reason(), false);
        if (claim.reason() == RefusalReason::kAlreadyRan) {
          m_every_answer_true &=
              m_runs > 0 && claim.recorded_status() == kStatusOfRun;
        }
        attempt.phase = Phase::kEnded;
        break;
    }
  }

  void WriteClaim(Attempt& attempt, std::uint8_t fate) {
    OnceClaim& claim = attempt.claim;
    const std::uint64_t expected = claim.expected_version();
    if (fate == kNoEffect) {
      claim.OnUnavailable();
      return;
    }
    if (fate == kLate) {
      m_late.push_back({.record = claim.claim(), .expected = expected});
      claim.OnWriteUnknown();
      return;
    }
    attempt.first_look = attempt.first_look == 0 ? m_now : attempt.first_look;
    const bool written = m_store.Write(claim.claim(), expected);
    if (fate == kAnswerLost) {
      claim.OnWriteUnknown();
    } else if (written) {
      claim.OnWritten(m_store.version());
    } else {
      claim.OnVersionMismatch(m_store.version());
    }
  }

  template <typename Machine>
  void Read(Machine& machine, std::uint8_t fate) {
    if (fate == kNoEffect) {
      machine.OnUnavailable();
    } else {
      machine.OnRead(m_store.object);
    }
  }

  /// The backend server runs the request, or provably does not.
  void Forward(Attempt& attempt, std::uint8_t fate) {
    const std::uint64_t version = attempt.claim.claim_version();
    if (fate == kNotRun) {
      // The caller is told "not run" only after the release has been started.
      m_not_run_answers.push_back(m_now);
      attempt.settlement.emplace(
          OnceRecord{.state = OnceState::kReleased, .attempt = attempt.id},
          version);
      attempt.phase = Phase::kSettling;
      m_every_answer_true &= m_runs == 0;
      return;
    }
    ++m_runs;
    // An attempt that started before a "not run" response must not run.
    for (const std::uint64_t answered : m_not_run_answers) {
      m_every_answer_true &= attempt.first_look > answered;
    }
    if (fate == kAnswerLost) {
      attempt.phase = Phase::kEnded;
      return;
    }
    attempt.settlement.emplace(OnceRecord{.state = OnceState::kDone,
                                          .attempt = attempt.id,
                                          .status = kStatusOfRun},
                               version);
    attempt.phase = Phase::kSettling;
  }

  void AdvanceSettlement(Attempt& attempt, std::uint8_t fate) {
    OnceSettlement& settlement = *attempt.settlement;
    switch (settlement.step()) {
      case OnceSettlement::Step::kWrite:
        WriteSettlement(settlement, fate);
        break;
      case OnceSettlement::Step::kRead:
        Read(settlement, fate);
        break;
      case OnceSettlement::Step::kSettled:
        m_every_answer_true &=
            m_store.version() != settlement.expected_version();
        attempt.phase = Phase::kEnded;
        break;
      case OnceSettlement::Step::kGaveUp:
        attempt.phase = Phase::kEnded;
        break;
    }
  }

  void WriteSettlement(OnceSettlement& settlement, std::uint8_t fate) {
    const std::uint64_t expected = settlement.expected_version();
    if (fate == kNoEffect) {
      settlement.OnUnavailable();
      return;
    }
    if (fate == kLate) {
      m_late.push_back({.record = settlement.record(), .expected = expected});
      settlement.OnWriteUnknown();
      return;
    }
    const bool written = m_store.Write(settlement.record(), expected);
    if (fate == kAnswerLost) {
      settlement.OnWriteUnknown();
    } else if (written) {
      settlement.OnWritten();
    } else {
      settlement.OnVersionMismatch();
    }
  }

  OnceClaimOptions m_options;
  StoredKey m_store;
  std::vector<Attempt> m_attempts;
  std::vector<LateWrite> m_late;
  std::vector<std::uint64_t> m_not_run_answers;
  std::uint64_t m_now = 0;
  int m_runs = 0;
  bool m_every_answer_true = true;
};

struct Tally {
  int most_runs = 0;
  bool every_answer_true = true;
  int schedules_with_a_run = 0;
};

/// Runs `count` random schedules of up to 80 steps.
Tally RunSchedules(int count, const OnceClaimOptions& options) {
  Tally tally;
  banyantrail::Rng rng(20261204);
  for (int i = 0; i < count; ++i) {
    World world(options);
    for (int step = 0; step < 80; ++step) {
      world.Step(static_cast<std::uint8_t>(rng()));
    }
    tally.most_runs = std::max(tally.most_runs, world.runs());
    tally.every_answer_true &= world.every_answer_true();
    tally.schedules_with_a_run += world.runs() > 0 ? 1 : 0;
  }
  return tally;
}

}  // namespace

TEST_GROUP(OnceOnly){};

TEST(OnceOnly, RunsAtMostOnceAndAnswersTruthfullyUnderAnySchedule) {
  CHECK(rc::check([](const std::vector<std::uint8_t>& schedule) {
    World world({});
    for (const std::uint8_t choice : schedule) {
      world.Step(choice);
    }
    RC_ASSERT(world.runs() <= 1);
    RC_ASSERT(world.every_answer_true());
  }));
}

TEST(OnceOnly, HoldsOverManyLongSchedulesInWhichOrdersDoRun) {
  const Tally tally = RunSchedules(100'000, {});
  LONGS_EQUAL(1, tally.most_runs);
  CHECK(tally.every_answer_true);
  CHECK(tally.schedules_with_a_run > 10'000);
}

TEST(OnceOnly, WithoutTheClaimOrdersRunTwice) {
  const Tally tally = RunSchedules(1000, {.claim = false});
  CHECK(tally.most_runs > 1);
  CHECK(!tally.every_answer_true);
}

TEST(OnceOnly, AClaimOfAnotherAttemptIsNeverBroken) {
  OnceClaim claim("a");
  claim.OnVersionMismatch(7);
  claim.OnRead(VersionedOnceRecord{.version = 7, .record = {.attempt = "b"}});
  CHECK(claim.step() == OnceClaim::Step::kRefuse);
  CHECK(claim.reason() == RefusalReason::kAttemptInFlight);
}

TEST(OnceOnly, ALostAnswerIsResolvedByReading) {
  OnceClaim claim("a");
  claim.OnWriteUnknown();
  claim.OnRead(VersionedOnceRecord{.version = 3, .record = {.attempt = "a"}});
  CHECK(claim.step() == OnceClaim::Step::kForward);
  LONGS_EQUAL(3, claim.claim_version());
}

TEST(OnceOnly, AnOutageOfTheLedgerIsNoProofOfNotRun) {
  OnceClaim claim("a");
  claim.OnUnavailable();
  CHECK(claim.reason() == RefusalReason::kLedgerUnavailable);
  CHECK(!MaySayNotRun(claim.reason(), false));
  CHECK(!MaySayNotRun(RefusalReason::kQueueFull, false));
  CHECK(MaySayNotRun(RefusalReason::kQueueFull, true));
}
