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
  std::exception_ptr exception;
  asio::co_spawn(context, std::move(work),
                 [&](std::exception_ptr error, T value) {
                   exception = error;
                   result = std::move(value);
                 });
  context.run();
  if (exception) {
    std::rethrow_exception(exception);
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

std::vector<HistoryEntry> LoadFullHistory(FakeObjectStore& store) {
  store.SetOptions({});
  return Run(LoadHistory(store, 1000));
}

Release LoadNewest(FakeObjectStore& store) {
  const auto head = Run(LoadHead(store));
  return head ? Run(LoadRelease(store, head->head)) : Release{};
}

std::size_t CountChange(const std::vector<HistoryEntry>& history,
                        const ChangeId& change) {
  return std::ranges::count(history, change, &HistoryEntry::change);
}

void CheckWithoutGaps(const std::vector<HistoryEntry>& history) {
  for (std::size_t i = 0; i < history.size(); ++i) {
    RC_ASSERT(history[i].revision == history.size() - i);
  }
}

FakeObjectStore::Options ArbitraryFaultOptions() {
  return {.seed = *rc::gen::arbitrary<std::uint64_t>(),
          .lost_response_percent = *rc::gen::inRange<std::size_t>(0, 30),
          .late_write_percent = *rc::gen::inRange<std::size_t>(0, 30),
          .unavailable_percent = *rc::gen::inRange<std::size_t>(0, 10)};
}

}  // namespace

TEST_GROUP(ReleasePublisher) {
  FakeObjectStore store{FakeObjectStore::Options{}};
};

TEST(ReleasePublisher, AcceptsFirstChangeAndReadsItBack) {
  const PublishOutcome outcome = PublishOne(store, CreateService("a"));
  CHECK(outcome.status == PublishStatus::kAccepted);
  LONGS_EQUAL(1, outcome.revision);
  CHECK(LoadNewest(store) == outcome.release);
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

TEST(ReleasePublisher, ResentChangeDoesNotRevertALaterOne) {
  PublishOne(store, CreateService("a"));
  ChangeProposal remove{
      .change = ChangeId("remove"),
      .deletes = {"service/a"},
      .expected = {{"service/a",
                    ObjectDigest(LoadNewest(store).objects.at("service/a"))}}};
  PublishOne(store, remove);
  PublishOne(store, CreateService("a"));
  CHECK(LoadNewest(store).objects.empty());
}

TEST(ReleasePublisher, ConflictChangesNothing) {
  PublishOne(store, CreateService("a", "gold"));
  const std::size_t writes = store.writes();
  const PublishOutcome outcome = PublishOne(store, CreateService("a", "tin"));
  CHECK(outcome.status == PublishStatus::kConflict);
  STRCMP_EQUAL("service/a", outcome.conflicts.at(0).object.c_str());
  LONGS_EQUAL(writes, store.writes());
}

TEST(ReleasePublisher, DeletionOfReferencedObjectIsInvalid) {
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

TEST(ReleasePublisher, UnavailableStoreGivesNotRun) {
  store.SetOptions({.unavailable_percent = 100});
  CHECK(PublishOne(store, CreateService("a")).status == PublishStatus::kNotRun);
  CHECK(store.objects().empty());
}

TEST(ReleasePublisher, LostResponseIsResolvedByReadingTheStore) {
  store.SetOptions({.lost_response_percent = 100});
  const PublishOutcome outcome = PublishOne(store, CreateService("a"));
  CHECK(outcome.status == PublishStatus::kAccepted);
  LONGS_EQUAL(1, Run(LoadHead(store))->head.revision);
}

TEST(ReleasePublisher, WriteThatMayStillTakeEffectGivesOutcomeUnknown) {
  // The write of the head takes effect late, and the store becomes unavailable
  // before the next attempt.
  store.SetOptions({.late_write_percent = 100,
                    .faulty_key = std::string(banyantrail::kHeadKey),
                    .writes_until_unavailable = 2});
  CHECK(PublishOne(store, CreateService("a")).status ==
        PublishStatus::kOutcomeUnknown);
  CHECK(store.objects().contains(std::string(banyantrail::kHeadKey)));
}

TEST(ReleasePublisher, CorruptedChunkIsRejected) {
  PublishOne(store, CreateService("a"));
  const ReleaseHead head = Run(LoadHead(store))->head;
  store.Overwrite(banyantrail::ChunkKey(head.chunks.at(0)),
                  {{"objects", {{"service/a", "{}"}}}});
  CHECK_THROWS(Error, Run(LoadRelease(store, head)));
  CHECK(PublishOne(store, CreateService("b")).status == PublishStatus::kNotRun);
}

TEST(ReleasePublisher, ChunksOfKnownReleaseAreNotRead) {
  const PublishOutcome outcome = PublishOne(store, CreateService("a"));
  const ReleaseHead head = Run(LoadHead(store))->head;
  store.Overwrite(banyantrail::ChunkKey(head.chunks.at(0)), nullptr);
  const auto known = std::make_shared<const Release>(*outcome.release);
  CHECK(Run(LoadRelease(store, head, known)) == *known);
}

TEST(ReleasePublisher, DisjointConcurrentChangesAreAllAccepted) {
  CHECK(rc::check([] {
    FakeObjectStore seeded_store(
        {.seed = *rc::gen::arbitrary<std::uint64_t>()});
    const auto outcomes = PublishAll(
        seeded_store,
        {CreateService("a"), CreateService("b"), CreateService("c")});
    for (const PublishOutcome& outcome : outcomes) {
      RC_ASSERT(outcome.status == PublishStatus::kAccepted);
    }
    RC_ASSERT(LoadNewest(seeded_store).objects.size() == 3U);
    CheckWithoutGaps(LoadFullHistory(seeded_store));
  }));
}

TEST(ReleasePublisher, OneOfTwoOverlappingConcurrentChangesIsAccepted) {
  CHECK(rc::check([] {
    FakeObjectStore seeded_store(
        {.seed = *rc::gen::arbitrary<std::uint64_t>()});
    const auto outcomes = PublishAll(
        seeded_store, {CreateService("a", "gold"), CreateService("a", "tin")});
    const bool first = outcomes[0].status == PublishStatus::kAccepted;
    RC_ASSERT(outcomes[first ? 1 : 0].status == PublishStatus::kConflict);
    RC_ASSERT(outcomes[first ? 0 : 1].status == PublishStatus::kAccepted);
    RC_ASSERT(Run(LoadHead(seeded_store))->head.revision == 1U);
  }));
}

TEST(ReleasePublisher, OutcomeMatchesTheHistoryUnderFaults) {
  CHECK(rc::check([] {
    FakeObjectStore seeded_store(ArbitraryFaultOptions());
    const std::deque<ChangeProposal> proposals = {
        CreateService("a"), CreateService("b"), CreateService("c", "gold"),
        CreateService("c", "tin")};
    const auto outcomes = PublishAll(seeded_store, proposals);
    const auto history = LoadFullHistory(seeded_store);
    CheckWithoutGaps(history);
    for (std::size_t i = 0; i < proposals.size(); ++i) {
      const std::size_t count = CountChange(history, proposals[i].change);
      const bool accepted = outcomes[i].status == PublishStatus::kAccepted;
      const bool unknown = outcomes[i].status == PublishStatus::kOutcomeUnknown;
      const std::size_t expected_count =
          accepted || (unknown && count > 0) ? 1 : 0;
      RC_ASSERT(count == expected_count);
    }
    RC_ASSERT(LoadNewest(seeded_store).objects.size() == history.size());
  }));
}

TEST(ReleasePublisher, ResendingResolvesAnUnknownOutcomeWithoutSecondChange) {
  CHECK(rc::check([] {
    FakeObjectStore seeded_store(ArbitraryFaultOptions());
    const ChangeProposal proposal = CreateService("a");
    PublishOne(seeded_store, proposal);
    seeded_store.SetOptions({});
    const PublishOutcome outcome = PublishOne(seeded_store, proposal);
    RC_ASSERT(outcome.status == PublishStatus::kAccepted);
    RC_ASSERT(outcome.revision == 1U);
    RC_ASSERT(LoadFullHistory(seeded_store).size() == 1U);
  }));
}

TEST(ReleasePublisher, HeadEvictsOnlyTheOldestChanges) {
  ReleaseHead head;
  for (std::size_t i = 0; i < kMaxRecentChanges + 2; ++i) {
    const ChangeProposal proposal{.change = ChangeId(std::to_string(i))};
    head = NextHead(head, proposal, {}, {}, "");
  }
  LONGS_EQUAL(kMaxRecentChanges, head.recent_changes.size());
  CHECK_FALSE(FindChange(head, ChangeId("1")).has_value());
  CHECK(FindChange(head, ChangeId("2")) == banyantrail::ReleaseNumber{3});
  CHECK(banyantrail::ParseReleaseHead(ToJson(head)) == head);
}

TEST(ReleasePublisher, MalformedHeadIsRejected) {
  PublishOne(store, CreateService("a"));
  auto json = ToJson(Run(LoadHead(store))->head);
  json["extra"] = 1;
  CHECK_THROWS(Error, banyantrail::ParseReleaseHead(json));
}
