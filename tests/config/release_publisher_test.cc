#include "banyantrail/config/release_publisher.h"

#include <CppUTest/TestHarness.h>

#include <rapidcheck.h>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <deque>
#include <string>
#include <vector>

#include "config/fake_object_store.h"
#include "config/sample_release.h"

using banyantrail::ChangeId;
using banyantrail::ChangeProposal;
using banyantrail::Error;
using banyantrail::HistoryEntry;
using banyantrail::kMaxRecentChanges;
using banyantrail::LoadHead;
using banyantrail::LoadHeadAt;
using banyantrail::LoadHistory;
using banyantrail::LoadRelease;
using banyantrail::ObjectDigest;
using banyantrail::ObjectTexts;
using banyantrail::PublishOptions;
using banyantrail::PublishOutcome;
using banyantrail::PublishStatus;
using banyantrail::Release;
using banyantrail::ReleaseHead;
using banyantrail::ServiceName;
using banyantrail::ServiceObject;
using banyantrail::testing::FakeObjectStore;
using banyantrail::testing::Put;

namespace asio = boost::asio;

namespace {

/// Runs a coroutine to completion and returns its result.
template <typename T>
T Run(asio::awaitable<T> work) {
  asio::io_context context;
  std::optional<T> result;
  std::exception_ptr failure;
  asio::co_spawn(context, std::move(work),
                 [&](std::exception_ptr error, T value) {
                   failure = error;
                   result = std::move(value);
                 });
  context.run();
  if (failure) {
    std::rethrow_exception(failure);
  }
  return std::move(*result);
}

ChangeProposal CreateService(const std::string& name,
                             const std::string& tier = "a") {
  ChangeProposal proposal{.change = ChangeId("create-" + name + "-" + tier)};
  Put(ServiceObject{.name = ServiceName(name), .labels = {{"tier", tier}}},
      proposal.upserts);
  proposal.expected["service/" + name] = std::nullopt;
  return proposal;
}

PublishOutcome PublishOne(FakeObjectStore& store,
                          const ChangeProposal& proposal) {
  return Run(Publish(store, proposal, PublishOptions{.time = "T"}));
}

/// Publishes all proposals concurrently.
std::vector<PublishOutcome> PublishAll(
    FakeObjectStore& store,
    const std::deque<ChangeProposal>& proposals) {
  asio::io_context context;
  std::vector<PublishOutcome> outcomes(proposals.size());
  for (std::size_t i = 0; i < proposals.size(); ++i) {
    asio::co_spawn(context, Publish(store, proposals[i], PublishOptions{}),
                   [&outcomes, i](std::exception_ptr, PublishOutcome outcome) {
                     outcomes[i] = std::move(outcome);
                   });
  }
  context.run();
  return outcomes;
}

std::vector<HistoryEntry> History(FakeObjectStore& store) {
  store.SetOptions({});
  return Run(LoadHistory(store, 1000));
}

Release Newest(FakeObjectStore& store) {
  const auto head = Run(LoadHead(store));
  return head ? Run(LoadRelease(store, head->head)) : Release{};
}

std::size_t CountOf(const std::vector<HistoryEntry>& history,
                    const ChangeId& change) {
  return std::ranges::count(history, change, &HistoryEntry::change);
}

void CheckDense(const std::vector<HistoryEntry>& history) {
  for (std::size_t i = 0; i < history.size(); ++i) {
    RC_ASSERT(history[i].revision == history.size() - i);
  }
}

FakeObjectStore::Options ArbitraryFaults() {
  return {.seed = *rc::gen::arbitrary<std::uint64_t>(),
          .lost_answers = *rc::gen::inRange<std::size_t>(0, 30),
          .late_effects = *rc::gen::inRange<std::size_t>(0, 30),
          .outages = *rc::gen::inRange<std::size_t>(0, 10)};
}

}  // namespace

TEST_GROUP(ReleasePublisher) {
  FakeObjectStore store{FakeObjectStore::Options{}};
};

TEST(ReleasePublisher, AcceptsFirstChangeAndReadsItBack) {
  const PublishOutcome outcome = PublishOne(store, CreateService("a"));
  CHECK(outcome.status == PublishStatus::kAccepted);
  LONGS_EQUAL(1, outcome.revision);
  CHECK(Newest(store) == outcome.release);
}

TEST(ReleasePublisher, KeepsOldHeadsAndHistory) {
  PublishOne(store, CreateService("a"));
  PublishOne(store, CreateService("b"));
  const auto history = Run(LoadHistory(store, 10));
  LONGS_EQUAL(2, history.size());
  CHECK(history[1].change == ChangeId("create-a-a"));
  const auto old_head = Run(LoadHeadAt(store, 1));
  LONGS_EQUAL(1, Run(LoadRelease(store, *old_head)).objects.size());
}

TEST(ReleasePublisher, SameChangeIdIsAcceptedOnce) {
  PublishOne(store, CreateService("a"));
  PublishOne(store, CreateService("b"));
  const PublishOutcome again = PublishOne(store, CreateService("a"));
  CHECK(again.status == PublishStatus::kAccepted);
  LONGS_EQUAL(1, again.revision);
  LONGS_EQUAL(2, Run(LoadHead(store))->head.revision);
}

TEST(ReleasePublisher, ResentChangeDoesNotUndoALaterOne) {
  PublishOne(store, CreateService("a"));
  ChangeProposal remove{
      .change = ChangeId("remove"),
      .deletes = {"service/a"},
      .expected = {
          {"service/a", ObjectDigest(Newest(store).objects.at("service/a"))}}};
  PublishOne(store, remove);
  PublishOne(store, CreateService("a"));
  CHECK(Newest(store).objects.empty());
}

TEST(ReleasePublisher, ConflictChangesNothing) {
  PublishOne(store, CreateService("a", "gold"));
  const std::size_t writes = store.writes();
  const PublishOutcome outcome = PublishOne(store, CreateService("a", "tin"));
  CHECK(outcome.status == PublishStatus::kConflict);
  STRCMP_EQUAL("service/a", outcome.conflicts.at(0).object.c_str());
  LONGS_EQUAL(writes, store.writes());
}

TEST(ReleasePublisher, DeleteOfReferencedObjectIsFaulty) {
  ChangeProposal proposal{.change = ChangeId("first")};
  proposal.upserts = banyantrail::testing::SampleObjects();
  for (const auto& [key, text] : proposal.upserts) {
    proposal.expected[key] = std::nullopt;
  }
  CHECK(PublishOne(store, proposal).status == PublishStatus::kAccepted);
  ChangeProposal remove{
      .change = ChangeId("remove"),
      .deletes = {"rank/orders"},
      .expected = {
          {"rank/orders", ObjectDigest(proposal.upserts.at("rank/orders"))}}};
  const PublishOutcome outcome = PublishOne(store, remove);
  CHECK(outcome.status == PublishStatus::kInvalid);
  STRCMP_EQUAL("routing_rule/orders: rank", outcome.faults.at(0).place.c_str());
  LONGS_EQUAL(1, Run(LoadHead(store))->head.revision);
}

TEST(ReleasePublisher, OutageIsPromptlyNotRun) {
  store.SetOptions({.outages = 100});
  CHECK(PublishOne(store, CreateService("a")).status == PublishStatus::kNotRun);
  CHECK(store.objects().empty());
}

TEST(ReleasePublisher, LostAnswerIsSettledByReadingBack) {
  store.SetOptions({.lost_answers = 100});
  const PublishOutcome outcome = PublishOne(store, CreateService("a"));
  CHECK(outcome.status == PublishStatus::kAccepted);
  LONGS_EQUAL(1, Run(LoadHead(store))->head.revision);
}

TEST(ReleasePublisher, WriteThatMayStillTakeEffectIsNeverCalledNotRun) {
  // The write of the head takes effect late, and the store becomes unavailable
  // before the next attempt.
  store.SetOptions({.late_effects = 100,
                    .faulty_key = std::string(banyantrail::kHeadKey),
                    .writes_before_outage = 2});
  CHECK(PublishOne(store, CreateService("a")).status ==
        PublishStatus::kOutcomeUnknown);
  CHECK(store.objects().contains(std::string(banyantrail::kHeadKey)));
}

TEST(ReleasePublisher, CorruptedChunkIsRefused) {
  PublishOne(store, CreateService("a"));
  const ReleaseHead head = Run(LoadHead(store))->head;
  store.Corrupt(banyantrail::ChunkKey(head.chunks.at(0)),
                {{"objects", {{"service/a", "{}"}}}});
  CHECK_THROWS(Error, Run(LoadRelease(store, head)));
  CHECK(PublishOne(store, CreateService("b")).status == PublishStatus::kNotRun);
}

TEST(ReleasePublisher, ChunksOfKnownReleaseAreNotRead) {
  const PublishOutcome outcome = PublishOne(store, CreateService("a"));
  const ReleaseHead head = Run(LoadHead(store))->head;
  store.Corrupt(banyantrail::ChunkKey(head.chunks.at(0)), nullptr);
  const auto known = std::make_shared<const Release>(*outcome.release);
  CHECK(Run(LoadRelease(store, head, known)) == *known);
}

TEST(ReleasePublisher, DisjointConcurrentChangesAllGoIn) {
  CHECK(rc::check([] {
    FakeObjectStore racing({.seed = *rc::gen::arbitrary<std::uint64_t>()});
    const auto outcomes = PublishAll(
        racing, {CreateService("a"), CreateService("b"), CreateService("c")});
    for (const PublishOutcome& outcome : outcomes) {
      RC_ASSERT(outcome.status == PublishStatus::kAccepted);
    }
    RC_ASSERT(Newest(racing).objects.size() == 3U);
    CheckDense(History(racing));
  }));
}

TEST(ReleasePublisher, OneOfTwoOverlappingConcurrentChangesGoesIn) {
  CHECK(rc::check([] {
    FakeObjectStore racing({.seed = *rc::gen::arbitrary<std::uint64_t>()});
    const auto outcomes = PublishAll(
        racing, {CreateService("a", "gold"), CreateService("a", "tin")});
    const bool first = outcomes[0].status == PublishStatus::kAccepted;
    RC_ASSERT(outcomes[first ? 1 : 0].status == PublishStatus::kConflict);
    RC_ASSERT(outcomes[first ? 0 : 1].status == PublishStatus::kAccepted);
    RC_ASSERT(Run(LoadHead(racing))->head.revision == 1U);
  }));
}

TEST(ReleasePublisher, OutcomeIsTrueUnderFaults) {
  CHECK(rc::check([] {
    FakeObjectStore racing(ArbitraryFaults());
    const std::deque<ChangeProposal> proposals = {
        CreateService("a"), CreateService("b"), CreateService("c", "gold"),
        CreateService("c", "tin")};
    const auto outcomes = PublishAll(racing, proposals);
    const auto history = History(racing);
    CheckDense(history);
    for (std::size_t i = 0; i < proposals.size(); ++i) {
      const std::size_t times = CountOf(history, proposals[i].change);
      const bool accepted = outcomes[i].status == PublishStatus::kAccepted;
      const bool unknown = outcomes[i].status == PublishStatus::kOutcomeUnknown;
      const std::size_t wanted = accepted || (unknown && times > 0) ? 1 : 0;
      RC_ASSERT(times == wanted);
    }
    RC_ASSERT(Newest(racing).objects.size() == history.size());
  }));
}

TEST(ReleasePublisher, ResendingSettlesAnUnknownOutcomeWithoutSecondChange) {
  CHECK(rc::check([] {
    FakeObjectStore racing(ArbitraryFaults());
    const ChangeProposal proposal = CreateService("a");
    PublishOne(racing, proposal);
    racing.SetOptions({});
    const PublishOutcome outcome = PublishOne(racing, proposal);
    RC_ASSERT(outcome.status == PublishStatus::kAccepted);
    RC_ASSERT(outcome.revision == 1U);
    RC_ASSERT(History(racing).size() == 1U);
  }));
}

TEST(ReleasePublisher, HeadForgetsOnlyTheOldestChanges) {
  ReleaseHead head;
  for (std::size_t i = 0; i < kMaxRecentChanges + 2; ++i) {
    const ChangeProposal proposal{.change = ChangeId(std::to_string(i))};
    head = NextHead(head, proposal, {}, {}, "");
  }
  LONGS_EQUAL(kMaxRecentChanges, head.recent_changes.size());
  CHECK_FALSE(FindChange(head, ChangeId("1")).has_value());
  CHECK(FindChange(head, ChangeId("2")) == banyantrail::Revision{3});
  CHECK(banyantrail::ParseReleaseHead(ToJson(head)) == head);
}

TEST(ReleasePublisher, HeadOfWrongShapeIsRefused) {
  PublishOne(store, CreateService("a"));
  auto json = ToJson(Run(LoadHead(store))->head);
  json["extra"] = 1;
  CHECK_THROWS(Error, banyantrail::ParseReleaseHead(json));
}
