#include "banyantrail/distribution/release_store.h"

#include <CppUTest/TestHarness.h>
#include <rapidcheck.h>

#include "distribution/simulated_network.h"
#include "support/revisions.h"

using banyantrail::ApplyOutcome;
using banyantrail::Fault;
using banyantrail::Release;
using banyantrail::ReleaseDeltaMessage;
using banyantrail::ReleaseRefusal;
using banyantrail::ReleaseStore;
using banyantrail::Revision;
using banyantrail::testing::At;
using banyantrail::testing::MakeRelease;

namespace {

constexpr std::uint64_t kNewest = 12;

/// A message that takes a node from revision `from` to `to`; a whole release if
/// `from` is 0. If `damaged`, its last update is missing.
ReleaseDeltaMessage MessageBetween(std::uint64_t from,
                                   std::uint64_t to,
                                   bool damaged) {
  const Release target = MakeRelease(to);
  ReleaseDeltaMessage message{.from_revision = At(from),
                              .to_revision = At(to),
                              .to_digest = target.digest,
                              .change = target.change};
  const banyantrail::ObjectTexts base =
      from == 0 ? banyantrail::ObjectTexts() : MakeRelease(from).objects;
  message.updates = banyantrail::DiffOf(base, target.objects);
  if (damaged) {
    message.updates.pop_back();
  }
  return message;
}

/// Applies random messages and returns the first violation of the invariant:
/// the revision never decreases and the content is always a complete release.
/// Empty if there is none.
std::string RunRandomMessages(std::uint64_t seed,
                              ReleaseStore::Options options) {
  banyantrail::Rng rng(seed);
  ReleaseStore store(std::move(options));
  Revision last_revision;
  for (int step = 0; step < 60; ++step) {
    const std::uint64_t to = 1 + banyantrail::UniformIndex(rng, kNewest);
    const std::uint64_t from = banyantrail::UniformIndex(rng, to);
    const bool damaged = banyantrail::UniformIndex(rng, 4) == 0;
    store.Apply(MessageBetween(from, to, damaged));
    if (store.revision() < last_revision) {
      return "the revision decreased";
    }
    last_revision = store.revision();
    if (last_revision.exists() &&
        *store.current() != MakeRelease(last_revision.number)) {
      return "the content does not match the release of its revision";
    }
  }
  return "";
}

/// Whether any of 50 seeds violates the invariant.
bool AnySeedViolatesInvariant(const ReleaseStore::Options& options) {
  for (std::uint64_t seed = 0; seed < 50; ++seed) {
    if (!RunRandomMessages(seed, options).empty()) {
      return true;
    }
  }
  return false;
}

ReleaseStore StoreAt(std::uint64_t revision) {
  ReleaseStore store({});
  for (std::uint64_t next = 1; next <= revision; ++next) {
    store.Apply(MakeRelease(next));
  }
  return store;
}

}  // namespace

TEST_GROUP(ReleaseStore){};

TEST(ReleaseStore, RevisionNeverDecreasesAndContentIsAlwaysComplete) {
  CHECK(rc::check([](std::uint64_t seed) {
    RC_ASSERT(RunRandomMessages(seed, {}).empty());
  }));
}

TEST(ReleaseStore, WithoutTheRevisionCheckTheInvariantIsViolated) {
  CHECK(AnySeedViolatesInvariant({.require_greater_revision = false}));
}

TEST(ReleaseStore, WithoutTheDigestCheckTheInvariantIsViolated) {
  CHECK(AnySeedViolatesInvariant({.verify_digest = false}));
}

TEST(ReleaseStore, EveryDeltaInTheWindowLeadsToTheSameRelease) {
  const ReleaseStore sender = StoreAt(kNewest);
  for (std::uint64_t have = 0; have < kNewest; ++have) {
    ReleaseStore receiver({});
    if (have > 0) {
      receiver.Apply(MakeRelease(have));
    }
    const auto delta = sender.DeltaFrom(At(have), receiver.current()->digest);
    LONGS_EQUAL(have, delta->from_revision.number);
    CHECK(receiver.Apply(*delta).outcome == ApplyOutcome::kApplied);
    CHECK(*receiver.current() == *sender.current());
  }
}

TEST(ReleaseStore, SendsTheWholeReleaseBeyondTheWindow) {
  ReleaseStore sender({.max_deltas = 2});
  for (std::uint64_t next = 1; next <= 5; ++next) {
    sender.Apply(MakeRelease(next));
  }
  LONGS_EQUAL(
      3, sender.DeltaFrom(At(3), MakeRelease(3).digest)->from_revision.number);
  LONGS_EQUAL(
      0, sender.DeltaFrom(At(2), MakeRelease(2).digest)->from_revision.number);
}

TEST(ReleaseStore, SendsTheWholeReleaseToAPeerWithDifferentContent) {
  LONGS_EQUAL(
      0, StoreAt(5).DeltaFrom(At(4), "another digest")->from_revision.number);
}

TEST(ReleaseStore, HasNoDeltaForAPeerThatIsNotBehind) {
  CHECK(!StoreAt(5).DeltaFrom(At(5), MakeRelease(5).digest));
  CHECK(!StoreAt(5).DeltaFrom(At(6), ""));
}

// A store that has come back from an older copy gives out its revisions again.
TEST(ReleaseStore, VersionAndEraComeBeforeTheNumber) {
  ReleaseStore store({});
  const auto outcome = [&store](Revision revision) {
    Release release = MakeRelease(revision.version);
    release.revision = revision;
    return store.Apply(std::move(release)).outcome;
  };
  CHECK(outcome({.version = 7, .era = 1, .number = 90}) ==
        ApplyOutcome::kApplied);
  CHECK(outcome({.version = 5, .era = 2, .number = 95}) ==
        ApplyOutcome::kAlreadyHave);
  CHECK(outcome({.version = 7, .era = 2, .number = 81}) ==
        ApplyOutcome::kApplied);
  CHECK(outcome({.version = 8, .era = 2, .number = 82}) ==
        ApplyOutcome::kApplied);
  CHECK(outcome({.version = 8, .era = 1, .number = 99}) ==
        ApplyOutcome::kAlreadyHave);
}

// A store without versions.
TEST(ReleaseStore, LaterEraIsNewerIfThereAreNoVersions) {
  ReleaseStore store = StoreAt(5);
  Release release = MakeRelease(3);
  release.revision = {.era = 1, .number = 3};
  CHECK(store.Apply(std::move(release)).outcome == ApplyOutcome::kApplied);
}

// A delta between two eras, as a peer that has both sends it.
TEST(ReleaseStore, DeltaLeadsToTheSameVersionOfALaterEra) {
  ReleaseStore sender = StoreAt(3);
  Release again = MakeRelease(3);
  again.revision = {.era = 1, .number = 2};
  sender.Apply(again);
  const auto delta = sender.DeltaFrom(At(3), again.digest);
  CHECK(delta->updates.empty());
  ReleaseStore receiver = StoreAt(3);
  CHECK(receiver.Apply(*delta).outcome == ApplyOutcome::kApplied);
  CHECK(*receiver.current() == again);
}

TEST(ReleaseStore, ADeltaOnAnotherBaseNeedsItsParent) {
  ReleaseStore store = StoreAt(3);
  const auto result = store.Apply(MessageBetween(4, 5, false));
  CHECK(result.outcome == ApplyOutcome::kNeedsParent);
  LONGS_EQUAL(3, store.revision().number);
}

TEST(ReleaseStore, KeepsTheAppliedReleaseWhenANewOneDoesNotCompile) {
  int compiled = 0;
  ReleaseStore store({.compile = [&compiled](const Release& release) {
    ++compiled;
    return release.revision == At(2)
               ? std::vector<Fault>{{.place = "rule", .message = "no service"}}
               : std::vector<Fault>();
  }});
  store.Apply(MakeRelease(1));
  const auto refused = store.Apply(MessageBetween(1, 2, false));
  CHECK(refused.refused->reason == ReleaseRefusal::kDoesNotCompile);
  CHECK(*store.current() == MakeRelease(1));
  LONGS_EQUAL(2, store.last_refused()->revision.number);
  CHECK(store.IsPermanentlyRefused(At(2), MakeRelease(2).digest));

  store.Apply(MessageBetween(0, 2, false));
  LONGS_EQUAL(2, compiled);
  store.Apply(MessageBetween(0, 3, false));
  LONGS_EQUAL(3, store.revision().number);
  CHECK(!store.last_refused());
}

TEST(ReleaseStore, ACorruptDeltaIsNotPermanentlyRefused) {
  ReleaseStore store = StoreAt(1);
  const auto refused = store.Apply(MessageBetween(1, 2, true));
  CHECK(refused.refused->reason == ReleaseRefusal::kDigestMismatch);
  CHECK(store.Apply(MessageBetween(1, 2, false)).outcome ==
        ApplyOutcome::kApplied);
}

TEST(ReleaseStore, RefusesAMalformedMessage) {
  ReleaseStore store = StoreAt(1);
  ReleaseDeltaMessage repeated = MessageBetween(1, 2, false);
  repeated.updates.push_back(repeated.updates.front());
  CHECK(store.Apply(repeated).refused->reason == ReleaseRefusal::kMalformed);
  const ReleaseDeltaMessage backwards{.from_revision = {.number = 3},
                                      .to_revision = {.number = 2}};
  CHECK(store.Apply(backwards).refused->reason == ReleaseRefusal::kMalformed);
}
