#include "traffic/quota_alternatives.h"

#include <CppUTest/TestHarness.h>

#include <cstdio>

using banyantrail::Duration;
using banyantrail::QuotaLimit;
using banyantrail::seconds;
using banyantrail::testing::AlternativeOutcome;
using banyantrail::testing::AlternativeRun;
using banyantrail::testing::LoadPattern;
using banyantrail::testing::RunGossipedAllowances;
using banyantrail::testing::RunStorePortions;

namespace {

constexpr std::size_t kNodes = 71;

double Bound(const QuotaLimit& limit) {
  return (5.0 * limit.requests_per_s + limit.burst) * 1.1 + 20;
}

LoadPattern Evenly(double rate) {
  return [rate](std::size_t, Duration) {
    return rate / static_cast<double>(kNodes);
  };
}

LoadPattern AtOneNode(double rate) {
  return [rate](std::size_t node, Duration) { return node == 7 ? rate : 0; };
}

/// At three nodes, which change every 3 s.
LoadPattern Moving(double rate) {
  return [rate](std::size_t node, Duration time) {
    const auto turn = static_cast<std::size_t>(time / seconds(3));
    const bool is_used =
        node == 2 * turn || node == 2 * turn + 3 || node == 2 * turn + 6;
    return is_used ? rate / 3 : 0;
  };
}

void Print(const char* way,
           const char* load,
           const QuotaLimit& limit,
           const AlternativeOutcome& outcome) {
  std::printf(
      "  %-20s %-22s limit %4.0f/s: refused %6.2f %%, in 5 s %5zu of %5.0f, "
      "messages %5.0f/s, store calls %5.0f/s\n",
      way, load, limit.requests_per_s, 100 * outcome.refused_share,
      outcome.max_in_window, Bound(limit), outcome.messages_per_s,
      outcome.store_calls_per_s);
}

}  // namespace

TEST_GROUP(QuotaAlternatives){};

// The figures for docs/design/TEAM-QUOTA.md. The conditions are the reasons
// against these ways: callers that move are refused until the gossip has
// followed them, and portions cost store calls for each node.
TEST(QuotaAlternatives, RefuseMovingCallersOrBurdenTheStore) {
  for (const double usual : {530.0, 25.0, 3.0}) {
    const double rate = 1.6 * usual;
    const QuotaLimit limit{.requests_per_s = rate, .burst = rate};
    const struct {
      const char* name;
      LoadPattern load;
    } loads[] = {{"evenly spread", Evenly(usual)},
                 {"one node", AtOneNode(usual)},
                 {"moving", Moving(usual)},
                 {"7.5 times", Evenly(7.5 * usual)},
                 {"7.5 times, moving", Moving(7.5 * usual)}};
    for (const auto& load : loads) {
      const AlternativeRun run{.limit = limit, .load = load.load};
      Print("gossiped allowances", load.name, limit,
            RunGossipedAllowances(run));
      Print("portions in store", load.name, limit, RunStorePortions(run));
    }
    CHECK(RunGossipedAllowances({.limit = limit, .load = Moving(usual)})
              .refused_share > 1.0 / 200);
    const AlternativeRun outage{.limit = limit,
                                .load = Evenly(usual),
                                .outage_start = seconds(10),
                                .outage_end = seconds(15)};
    const AlternativeOutcome portions = RunStorePortions(outage);
    Print("portions in store", "store out for 5 s", limit, portions);
    CHECK(portions.refused_share > 1.0 / 200);
  }
}
