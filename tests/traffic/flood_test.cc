// Checks the service targets of each rank under overload, in simulated time,
// for the fleets of both users.

#include "bench/load_spike_simulation.h"

#include <algorithm>
#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

using banyantrail::AdmissionOptions;
using banyantrail::bench::Fleet;
using banyantrail::bench::LiushuFleet;
using banyantrail::bench::LoadSpike;
using banyantrail::bench::LoadSpikeResult;
using banyantrail::bench::PistaClaraFleet;
using banyantrail::bench::Simulate;

namespace {

constexpr double kTopRankTarget = 0.99;
constexpr double kCapacityTarget = 0.90;
constexpr std::uint8_t kTopRank = 0;

struct Verdict {
  /// 99 % of the top rank's requests are served in time while lower ranks are
  /// overloaded.
  bool top_rank_served = true;
  /// Lower ranks keep their shares while the top rank is overloaded.
  bool shares_kept = true;
  /// Slots are not idle while requests wait.
  bool capacity_used = true;
};

void UpdateVerdict(const Fleet& fleet,
                   const LoadSpikeResult& result,
                   Verdict& verdict) {
  verdict.capacity_used &= result.capacity_used > kCapacityTarget;
  if (result.spike.priority != kTopRank) {
    verdict.top_rank_served &= result.ranks[0].GoodRatio() >= kTopRankTarget;
    return;
  }
  for (std::size_t i = 1; i < fleet.ranks.size(); ++i) {
    const double share = fleet.ranks[i].share_percent / 100.0;
    verdict.shares_kept &= result.ranks[i].slot_time_share >= share;
  }
}

Verdict RunFloods(const Fleet& fleet, const AdmissionOptions& policy) {
  Verdict verdict;
  for (const double factor : {3.0, 10.0}) {
    const std::vector<LoadSpike> spikes = {{.priority = 2, .factor = factor},
                                           {.priority = 1, .factor = factor},
                                           {.priority = 0, .factor = factor}};
    const auto results = Simulate({.fleet = fleet,
                                   .spikes = spikes,
                                   .admission = policy,
                                   .seed = 20261204});
    for (const LoadSpikeResult& result : results) {
      UpdateVerdict(fleet, result, verdict);
    }
  }
  return verdict;
}

void CheckAllTargets(const Fleet& fleet) {
  const Verdict verdict = RunFloods(fleet, {});
  CHECK(verdict.top_rank_served);
  CHECK(verdict.shares_kept);
  CHECK(verdict.capacity_used);
}

}  // namespace

TEST_GROUP(Flood){};

TEST(Flood, LiushuMeetsTheTargetsUnderSuccessiveFloods) {
  CheckAllTargets(LiushuFleet());
}

TEST(Flood, PistaClaraMeetsTheTargetsUnderSuccessiveFloods) {
  CheckAllTargets(PistaClaraFleet());
}

TEST(Flood, WithoutRanksTheTopRankMissesItsTarget) {
  const Verdict verdict = RunFloods(LiushuFleet(), {.order_by_rank = false});
  CHECK(!verdict.top_rank_served);
}

TEST(Flood, WithoutGuaranteesLowerRanksLoseTheirShare) {
  const Verdict verdict = RunFloods(LiushuFleet(), {.guarantee_shares = false});
  CHECK(!verdict.shares_kept);
}
