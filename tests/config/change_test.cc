#include "banyantrail/config/change.h"

#include <CppUTest/TestHarness.h>

#include <rapidcheck.h>
#include <string>

#include "banyantrail/config/release_digest.h"
#include "config/sample_release.h"

using banyantrail::ChangeId;
using banyantrail::ChangeProposal;
using banyantrail::MergeChange;
using banyantrail::MergeResult;
using banyantrail::ObjectDigest;
using banyantrail::ObjectTexts;
using banyantrail::ParseChangeProposal;
using banyantrail::Release;
using banyantrail::ServiceName;
using banyantrail::ServiceObject;

namespace {

constexpr int kMaxServices = 12;

std::string Key(int number) {
  return "service/s" + std::to_string(number);
}

std::string Text(int number, const std::string& tier) {
  return CanonicalJson(
      ServiceObject{.name = ServiceName("s" + std::to_string(number)),
                    .labels = {{"tier", tier}}});
}

ObjectTexts ArbitraryServices() {
  ObjectTexts objects;
  for (int number = 0; number < kMaxServices; ++number) {
    if (*rc::gen::arbitrary<bool>()) {
      objects[Key(number)] = Text(number, *rc::gen::element("a", "b"));
    }
  }
  return objects;
}

/// Adds an arbitrary upsert or deletion of service `number` to the proposal.
void ModifyService(int number,
                   const ObjectTexts& base,
                   ChangeProposal& proposal) {
  const std::string key = Key(number);
  if (*rc::gen::arbitrary<bool>()) {
    proposal.upserts[key] = Text(number, *rc::gen::element("a", "b", "c"));
  } else {
    proposal.deletes.insert(key);
  }
  proposal.expected[key] = base.contains(key)
                               ? std::optional(ObjectDigest(base.at(key)))
                               : std::nullopt;
}

/// An arbitrary change of services with `number % modulus == remainder`.
ChangeProposal ArbitraryProposal(const ObjectTexts& base,
                                 int modulus,
                                 int remainder) {
  ChangeProposal proposal{.change = ChangeId("c" + std::to_string(remainder))};
  for (int number = remainder; number < kMaxServices; number += modulus) {
    if (*rc::gen::arbitrary<bool>()) {
      ModifyService(number, base, proposal);
    }
  }
  return proposal;
}

ObjectTexts MergeWithoutConflict(const ObjectTexts& objects,
                                 const ChangeProposal& proposal) {
  const MergeResult result = MergeChange({.objects = objects}, proposal);
  RC_ASSERT(result.conflicts.empty());
  return result.objects;
}

/// Whether the objects reflect all upserts and deletions of the proposal.
bool ReflectsProposal(const ObjectTexts& objects,
                      const ChangeProposal& proposal) {
  for (const auto& [key, text] : proposal.upserts) {
    if (!objects.contains(key) || objects.at(key) != text) {
      return false;
    }
  }
  for (const std::string& key : proposal.deletes) {
    if (objects.contains(key)) {
      return false;
    }
  }
  return true;
}

ChangeProposal SetTier(const ObjectTexts& base, const std::string& tier) {
  return {.change = ChangeId("set-" + tier),
          .upserts = {{Key(1), Text(1, tier)}},
          .expected = {{Key(1), ObjectDigest(base.at(Key(1)))}}};
}

}  // namespace

TEST_GROUP(Change){};

TEST(Change, DisjointChangesOfTheSameBaseCommute) {
  CHECK(rc::check([] {
    const ObjectTexts base = ArbitraryServices();
    const ChangeProposal even = ArbitraryProposal(base, 2, 0);
    const ChangeProposal odd = ArbitraryProposal(base, 2, 1);
    const ObjectTexts even_first =
        MergeWithoutConflict(MergeWithoutConflict(base, even), odd);
    RC_ASSERT(even_first ==
              MergeWithoutConflict(MergeWithoutConflict(base, odd), even));
    RC_ASSERT(ReflectsProposal(even_first, even));
    RC_ASSERT(ReflectsProposal(even_first, odd));
  }));
}

TEST(Change, SecondChangeNeverRevertsTheFirst) {
  CHECK(rc::check([] {
    const ObjectTexts base = ArbitraryServices();
    const ChangeProposal first = ArbitraryProposal(base, 1, 0);
    const ChangeProposal second = ArbitraryProposal(base, 1, 0);
    const ObjectTexts after_first = MergeWithoutConflict(base, first);
    const MergeResult result = MergeChange({.objects = after_first}, second);
    if (!result.conflicts.empty()) {
      RC_ASSERT(result.objects.empty());
      return;
    }
    RC_ASSERT(ReflectsProposal(result.objects, second));
    for (const auto& [key, text] : after_first) {
      const bool first_changed_it = !base.contains(key) || base.at(key) != text;
      if (first_changed_it) {
        RC_ASSERT(result.objects.at(key) == text);
      }
    }
    for (const auto& [key, text] : base) {
      if (!after_first.contains(key)) {
        RC_ASSERT(!result.objects.contains(key));
      }
    }
  }));
}

TEST(Change, ReapplyingAChangeModifiesNothing) {
  CHECK(rc::check([] {
    const ObjectTexts base = ArbitraryServices();
    const ChangeProposal change = ArbitraryProposal(base, 1, 0);
    const ObjectTexts once = MergeWithoutConflict(base, change);
    const MergeResult again = MergeChange({.objects = once}, change);
    RC_ASSERT(again.objects == once);
    RC_ASSERT(!again.modified);
  }));
}

TEST(Change, OverlappingChangesConflictOnTheObject) {
  const ObjectTexts base = {{Key(1), Text(1, "a")}};
  const ObjectTexts head = {{Key(1), Text(1, "b")}};
  const MergeResult result = MergeChange({.objects = head}, SetTier(base, "c"));
  LONGS_EQUAL(1, result.conflicts.size());
  STRCMP_EQUAL("service/s1", result.conflicts[0].object.c_str());
  STRCMP_EQUAL("was changed since the base of this change",
               result.conflicts[0].detail.c_str());
}

TEST(Change, UpsertOfConcurrentlyDeletedObjectConflicts) {
  const ObjectTexts base = {{Key(1), Text(1, "a")}};
  const MergeResult result = MergeChange(Release{}, SetTier(base, "c"));
  STRCMP_EQUAL("was deleted since the base of this change",
               result.conflicts.at(0).detail.c_str());
}

TEST(Change, RoundTripsThroughJson) {
  ChangeProposal proposal{
      .change = ChangeId("c-1"),
      .author = "ana",
      .summary = "two tiers",
      .base_revision = 7,
      .upserts = {{Key(1), Text(1, "a")}},
      .deletes = {Key(2)},
      .expected = {{Key(1), std::nullopt}, {Key(2), ObjectDigest("x")}}};
  const auto parsed = ParseChangeProposal(ToJson(proposal));
  CHECK(parsed.faults.empty());
  CHECK(parsed.proposal == proposal);
}

TEST(Change, RefusesInconsistentProposal) {
  auto json = nlohmann::json::parse(R"({"change":"c","upserts":{
      "service/a":{"kind":"service","name":"a"}},"deletes":["service/a"],
      "expected":{"service/b":null}})");
  LONGS_EQUAL(3, ParseChangeProposal(json).faults.size());
}

TEST(Change, RefusesMalformedProposal) {
  auto json = nlohmann::json::parse(R"({"change":"no spaces","force":true,
      "upserts":{"service/a":{"kind":"service","name":"b"},"service/c":[]},
      "deletes":["nonsense"],"expected":{"service/a":"abc"}})");
  LONGS_EQUAL(6, ParseChangeProposal(json).faults.size());
}
