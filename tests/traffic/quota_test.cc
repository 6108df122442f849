#include <CppUTest/TestHarness.h>

#include <map>
#include <memory>
#include <string>
#include <variant>
#include <vector>

#include "banyantrail/traffic/quota_bucket.h"
#include "banyantrail/traffic/quota_holder.h"
#include "banyantrail/traffic/quota_members.h"
#include "banyantrail/traffic/quota_share.h"
#include "banyantrail/traffic/quota_spender.h"
#include "banyantrail/traffic/team_quotas.h"
#include "banyantrail/wire/request_metadata.h"

using namespace banyantrail;

namespace {

constexpr QuotaLimit kLimit{.requests_per_s = 800, .burst = 800};
constexpr QuotaFleet kFleet{.domains = 3,
                            .nodes = 71,
                            .domain_nodes = 24,
                            .reachable_domain_nodes = 24};

const NodeId kOwnHolder("h0");
const NodeId kOtherHolder("h1");

}  // namespace

TEST_GROUP(QuotaShare){};

// Under the bound (rate x 5 s + burst) x 1.1 + 20, all that may be granted in
// one window must fit, for the largest team and for the smallest.
TEST(QuotaShare, PartsOfAllNodesFitIntoTheBound) {
  const QuotaBound bound;
  for (const double rate : {1.0, 5.0, 40.0, 800.0}) {
    const QuotaLimit limit{.requests_per_s = rate, .burst = rate};
    const QuotaShare holder = HolderShare(limit, kFleet, bound);
    const QuotaShare fixed = FixedShare(limit, kFleet, bound);
    // Tokens that were lent just before the window are spent in it.
    const double window = 5.2;
    const double lent = 3 * (window * holder.rate + holder.capacity);
    const double fixed_parts = 71 * (5 * fixed.rate + fixed.capacity);
    CHECK(lent + fixed_parts <= (5 * rate + rate) * 1.1 + 20);
  }
}

TEST(QuotaShare, HolderLendsOnlyForTheNodesThatItReaches) {
  const QuotaShare whole = HolderShare(kLimit, kFleet, {});
  QuotaFleet half = kFleet;
  half.reachable_domain_nodes = 12;
  DOUBLES_EQUAL(whole.rate / 2, HolderShare(kLimit, half, {}).rate, 1e-9);
}

TEST_GROUP(QuotaBucket) {
  ManualClock clock;
  QuotaBucket bucket{clock.Now()};

  void setup() override {
    bucket.SetShare({.rate = 10, .capacity = 5}, clock.Now());
  }
};

// A full bucket would let every restart of a holder exceed the limit.
TEST(QuotaBucket, StartsEmpty) {
  LONGS_EQUAL(0, bucket.Take(1, clock.Now()));
  CHECK(bucket.TimeUntil(1, clock.Now()) == milliseconds(100));
  clock.Advance(milliseconds(100));
  LONGS_EQUAL(1, bucket.Take(2, clock.Now()));
}

TEST(QuotaBucket, HoldsItsCapacityAtMost) {
  clock.Advance(seconds(60));
  LONGS_EQUAL(5, bucket.Take(100, clock.Now()));
}

TEST(QuotaBucket, LoweredCapacityTakesTokensAway) {
  clock.Advance(seconds(60));
  bucket.SetShare({.rate = 1, .capacity = 2}, clock.Now());
  LONGS_EQUAL(2, bucket.Take(100, clock.Now()));
}

TEST(QuotaBucket, RefillsFromItsStartOn) {
  QuotaBucket later{clock.Now() + seconds(1)};
  later.SetShare({.rate = 10, .capacity = 5}, clock.Now());
  clock.Advance(seconds(1));
  LONGS_EQUAL(0, later.Take(1, clock.Now()));
  clock.Advance(milliseconds(100));
  LONGS_EQUAL(1, later.Take(1, clock.Now()));
}

TEST_GROUP(QuotaHolder) {
  ManualClock clock;
  QuotaHolder holder{clock.Now()};

  void setup() override {
    holder.SetShare({.rate = 100, .capacity = 50}, clock.Now());
    clock.Advance(seconds(1));
  }

  QuotaGrant Ask(const std::string& from, std::uint32_t tokens,
                 std::uint32_t prefetch = 0) {
    return holder.Lend(
        {.from = NodeId(from), .tokens = tokens, .prefetch = prefetch},
        clock.Now());
  }
};

// Nodes that were refused together must not return together.
TEST(QuotaHolder, TellsEachNodeWhenItsTokenComes) {
  LONGS_EQUAL(50, Ask("a", 50).granted);
  CHECK(Ask("a", 1).retry_after == milliseconds(40));
  CHECK(Ask("b", 1).retry_after == milliseconds(80));
  CHECK(Ask("c", 1).retry_after == milliseconds(120));
  clock.Advance(milliseconds(40));
  LONGS_EQUAL(4, Ask("a", 1, 3).granted);
}

// One message for each token would be too dear for a tenth of a core.
TEST(QuotaHolder, ManyRefusedNodesReturnForSeveralTokens) {
  LONGS_EQUAL(50, Ask("a", 50).granted);
  Duration last{};
  for (int i = 0; i < 71; ++i) {
    last = Ask("n" + std::to_string(i), 1).retry_after;
    CHECK(last >= milliseconds(40));
  }
  CHECK(last == milliseconds(710));
}

TEST_GROUP(QuotaSpender) {
  ManualClock clock;
  QuotaSpender spender{{}, clock.Now()};
  std::uint64_t last_id = 0;

  void setup() override {
    clock.Advance(seconds(1));
    spender.SetHolders({kOwnHolder, kOtherHolder}, clock.Now());
  }

  QuotaChanges Offer() {
    return spender.Offer(
        {.id = ++last_id, .give_up = clock.Now() + milliseconds(50)},
        clock.Now());
  }

  QuotaChanges Reply(std::uint64_t sequence, std::uint32_t granted,
                     Duration retry_after = {}) {
    return spender.OnReply(sequence,
                           {.granted = granted, .retry_after = retry_after},
                           clock.Now());
  }

  QuotaChanges ExpireAfter(Duration time) {
    clock.Advance(time);
    return spender.Expire(clock.Now());
  }
};

TEST(QuotaSpender, SpendsTheFixedPartWithoutAsking) {
  spender.SetShare({.rate = 1, .capacity = 2}, clock.Now());
  clock.Advance(seconds(2));
  LONGS_EQUAL(1, Offer().granted.size());
  LONGS_EQUAL(1, Offer().granted.size());
  CHECK(Offer().ask.has_value());
}

TEST(QuotaSpender, AsksOnceForAllThatWait) {
  const QuotaChanges first = Offer();
  CHECK(first.ask->holder == kOwnHolder);
  LONGS_EQUAL(1, first.ask->tokens);
  CHECK_FALSE(Offer().ask.has_value());
  CHECK_FALSE(Offer().ask.has_value());
  const QuotaChanges reply = Reply(first.ask->sequence, 1);
  CHECK(reply.granted == std::vector<std::uint64_t>{1});
  LONGS_EQUAL(2, reply.ask->tokens);
}

// A flood must cause no messages, and its callers must not all return at once.
TEST(QuotaSpender, RemembersRefusalsUntilTheirRetryAfter) {
  const QuotaChanges first = Offer();
  const QuotaChanges second = Reply(first.ask->sequence, 0, milliseconds(200));
  CHECK(second.ask->holder == kOtherHolder);
  const QuotaChanges refused =
      Reply(second.ask->sequence, 0, milliseconds(300));
  LONGS_EQUAL(1, refused.refused.size());
  CHECK(refused.refused[0].retry_after == milliseconds(200));
  CHECK(refused.refused[0].cause == QuotaRefusalCause::kLimit);
  Duration last = refused.refused[0].retry_after;
  for (int i = 0; i < 5; ++i) {
    const QuotaChanges more = Offer();
    CHECK_FALSE(more.ask.has_value());
    CHECK(more.refused.at(0).retry_after > last);
    last = more.refused[0].retry_after;
  }
  clock.Advance(milliseconds(200));
  CHECK(Offer().ask->holder == kOwnHolder);
}

// A refusal that ends before the request gives up is waited for.
TEST(QuotaSpender, WaitsForATokenThatComesInTime) {
  const QuotaChanges first = Offer();
  const QuotaChanges second = Reply(first.ask->sequence, 0, milliseconds(20));
  CHECK(Reply(second.ask->sequence, 0, seconds(1)).refused.empty());
  CHECK(*spender.NextWakeup() == clock.Now() + milliseconds(20));
  const QuotaChanges again = ExpireAfter(milliseconds(20));
  CHECK(again.ask->holder == kOwnHolder);
  LONGS_EQUAL(1, Reply(again.ask->sequence, 1).granted.size());
}

TEST(QuotaSpender, LeavesASilentHolderAndAsksAgainLater) {
  Offer();
  const QuotaChanges next = ExpireAfter(milliseconds(25));
  CHECK(next.ask->holder == kOtherHolder);
  const QuotaChanges refused = ExpireAfter(milliseconds(25));
  LONGS_EQUAL(1, refused.refused.size());
  CHECK(refused.refused[0].cause == QuotaRefusalCause::kNoResponse);
  LONGS_EQUAL(2, spender.silences());
  CHECK_FALSE(Offer().ask.has_value());
  clock.Advance(milliseconds(500));
  CHECK(Offer().ask.has_value());
}

// A node with a tenth of a core may respond late; its tokens are not lost.
TEST(QuotaSpender, LateReplyBringsTokensAndEndsThePause) {
  const QuotaChanges first = Offer();
  ExpireAfter(milliseconds(50));
  clock.Advance(milliseconds(50));
  Reply(first.ask->sequence, 2);
  LONGS_EQUAL(1, Offer().granted.size());
  LONGS_EQUAL(1, Offer().granted.size());
  CHECK(Offer().ask->holder == kOwnHolder);
}

// The transport may deliver a reply twice.
TEST(QuotaSpender, DuplicateReplyBringsNoTokens) {
  const QuotaChanges first = Offer();
  LONGS_EQUAL(1, Reply(first.ask->sequence, 1).granted.size());
  Reply(first.ask->sequence, 1);
  LONGS_EQUAL(0, Offer().granted.size());
}

// Tokens that are kept would be spent in a later window than they were lent in.
TEST(QuotaSpender, UnspentTokensExpire) {
  const QuotaChanges first = Offer();
  Reply(first.ask->sequence, 3);
  clock.Advance(milliseconds(200));
  LONGS_EQUAL(0, Offer().granted.size());
}

TEST(QuotaSpender, TokenOfARequestThatDidNotRunIsSpentAgain) {
  const QuotaChanges first = Offer();
  Reply(first.ask->sequence, 1);
  spender.GiveBack(clock.Now());
  LONGS_EQUAL(1, Offer().granted.size());
  CHECK(Offer().ask.has_value());
}

TEST(QuotaSpender, WithoutAHolderOnlyTheFixedPartIsSpent) {
  spender.SetHolders({}, clock.Now());
  const QuotaChanges changes = Offer();
  LONGS_EQUAL(1, changes.refused.size());
  CHECK(changes.refused[0].cause == QuotaRefusalCause::kNoResponse);
  CHECK(changes.refused[0].retry_after > Duration::zero());
}

TEST(QuotaSpender, RequestIsRefusedWhenItGivesUp) {
  Offer();
  LONGS_EQUAL(1, ExpireAfter(milliseconds(50)).refused.size());
  CHECK_FALSE(spender.NextWakeup().has_value());
}

// Without a pause, a holder that has one token at a time is asked again and
// again, and the other domains are never asked.
TEST(QuotaSpender, LeavesAHolderThatGrantsTooFew) {
  Offer();
  Offer();
  const QuotaChanges first = Offer();
  const QuotaChanges second = Reply(1, 1);
  LONGS_EQUAL(2, second.ask->tokens);
  const QuotaChanges third = Reply(second.ask->sequence, 1, milliseconds(100));
  LONGS_EQUAL(1, third.granted.size());
  CHECK(third.ask->holder == kOtherHolder);
  CHECK_FALSE(first.ask.has_value());
}

// Loans between domains: a domain that is short asks the others.
TEST(QuotaSpender, AsksTheNextDomainWhenTheOwnIsShort) {
  const QuotaChanges first = Offer();
  const QuotaChanges second = Reply(first.ask->sequence, 0, milliseconds(100));
  CHECK(second.ask->holder == kOtherHolder);
  LONGS_EQUAL(1, Reply(second.ask->sequence, 1).granted.size());
}

TEST_GROUP(QuotaMembers) {
  ManualClock clock;
  QuotaMembers members{{.self = NodeId("a1"), .domain = DomainId("a")}};
  std::map<std::string, MemberState> states = {{"a1", MemberState::kAlive},
                                               {"a2", MemberState::kAlive},
                                               {"b1", MemberState::kAlive},
                                               {"b2", MemberState::kAlive}};

  std::string old_build;

  void Update(bool is_isolated = false) {
    QuotaMembers::SharedMembers records;
    for (const auto& [name, state] : states) {
      records.push_back(std::make_shared<const MemberRecord>(
          MemberRecord{.node = NodeId(name),
                       .domain = DomainId(name.substr(0, 1)),
                       .state = state,
                       .mesh_version = name == old_build ? 1 : kMeshVersion}));
    }
    members.Update(records, is_isolated, clock.Now());
  }
};

// The others would take the part of a domain that is only cut off, which
// still serves requests.
TEST(QuotaMembers, LostMembersKeepTheirPartUntilTheyLeave) {
  Update();
  states["b1"] = MemberState::kDead;
  states.erase("b2");
  Update();
  CHECK(members.fleet() == (QuotaFleet{.domains = 2,
                                       .nodes = 4,
                                       .domain_nodes = 2,
                                       .reachable_domain_nodes = 2}));
  states["b1"] = MemberState::kLeft;
  Update();
  LONGS_EQUAL(3, members.fleet().nodes);
  clock.Advance(std::chrono::hours(25));
  Update();
  LONGS_EQUAL(2, members.fleet().nodes);
  LONGS_EQUAL(1, members.fleet().domains);
}

TEST(QuotaMembers, HolderIsALiveNode) {
  Update();
  const NodeId holder = members.HoldersOf(TeamName("surveyors")).front();
  states[holder.str()] = MemberState::kDead;
  Update();
  CHECK(members.HoldersOf(TeamName("surveyors")).front() != holder);
  LONGS_EQUAL(1, members.fleet().reachable_domain_nodes);
}

// A node of an earlier build closes the connection on a message that it does
// not know, and the sender would take it for unreachable.
TEST(QuotaMembers, NodeOfAnEarlierBuildIsNoHolder) {
  Update();
  old_build = members.HoldersOf(TeamName("surveyors")).front().str();
  Update();
  CHECK(members.HoldersOf(TeamName("surveyors")).front().str() != old_build);
  LONGS_EQUAL(2, members.fleet().domain_nodes);
}

// A domain lends to the others what they are short of.
TEST(QuotaMembers, HoldersOfOtherDomainsComeLast) {
  Update();
  const auto holders = members.HoldersOf(TeamName("surveyors"));
  LONGS_EQUAL(2, holders.size());
  STRCMP_EQUAL("a", holders[0].str().substr(0, 1).c_str());
  STRCMP_EQUAL("b", holders[1].str().substr(0, 1).c_str());
}

// An isolated node keeps the records of its domain, whose other nodes elect a
// holder of their own.
TEST(QuotaMembers, IsolatedNodeLendsItsOwnPart) {
  Update(true);
  CHECK(members.HoldersOf(TeamName("surveyors")).front() == NodeId("a1"));
  LONGS_EQUAL(1, members.fleet().reachable_domain_nodes);
}

TEST_GROUP(TeamQuotas) {
  ManualClock clock;
  TeamQuotas quotas{{.self = NodeId("a1"), .domain = DomainId("a")}};
  RoutedTeam team{
      .name = TeamName("surveyors"), .requests_per_s = 100, .burst = 100};

  void setup() override {
    clock.Advance(seconds(100));
    quotas.SetTeams({team}, clock.Now());
  }

  void Join(bool is_complete = true) {
    const auto self = std::make_shared<const MemberRecord>(
        MemberRecord{.node = NodeId("a1"),
                     .domain = DomainId("a"),
                     .mesh_version = kMeshVersion});
    quotas.SetMembers({self}, {.is_complete = is_complete}, clock.Now());
  }

  QuotaEffects Offer(const TeamName& name) {
    return quotas.Offer(name,
                        {.id = 1, .give_up = clock.Now() + milliseconds(50)},
                        clock.Now());
  }
};

TEST(TeamQuotas, HolderAnswersItselfWithoutAMessage) {
  Join();
  clock.Advance(seconds(2));
  const QuotaEffects effects = Offer(team.name);
  LONGS_EQUAL(1, effects.granted.size());
  CHECK(effects.messages.empty());
  LONGS_EQUAL(1, quotas.Status(clock.Now()).at(0).granted);
}

// A node that does not know the members yet would lend the parts of others.
TEST(TeamQuotas, NodeThatDoesNotKnowTheMembersLendsNothing) {
  Join(false);
  clock.Advance(seconds(10));
  LONGS_EQUAL(0, Offer(team.name).granted.size());
}

TEST(TeamQuotas, NewHolderWaitsForThePrecedingOneToStop) {
  Join();
  clock.Advance(milliseconds(1000));
  const QuotaRequestMessage ask{.sequence = 7, .team = team.name, .tokens = 1};
  const auto granted = [&] {
    const QuotaEffects effects =
        quotas.OnRequest(NodeId("a2"), ask, clock.Now());
    return std::get<QuotaReplyMessage>(effects.messages.at(0).body).granted;
  };
  LONGS_EQUAL(0, granted());
  clock.Advance(milliseconds(100));
  LONGS_EQUAL(1, granted());
}

TEST(TeamQuotas, TeamWithoutALimitIsGranted) {
  LONGS_EQUAL(1, Offer(TeamName("others")).granted.size());
  LONGS_EQUAL(1, quotas.Status(clock.Now()).size());
}

// A request that waits when the limit is removed must not wait for ever.
TEST(TeamQuotas, RemovedLimitReleasesThoseThatWait) {
  Join();
  clock.Advance(seconds(1));
  while (!quotas.NextWakeup()) {
    Offer(team.name);
  }
  LONGS_EQUAL(1, quotas.SetTeams({}, clock.Now()).granted.size());
  CHECK_FALSE(quotas.NextWakeup().has_value());
}
