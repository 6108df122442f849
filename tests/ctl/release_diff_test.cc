#include "banyantrail/ctl/release_diff.h"

#include <CppUTest/TestHarness.h>

#include "banyantrail/config/change.h"
#include "banyantrail/ctl/render.h"
#include "config/sample_release.h"

using banyantrail::ChangeProposal;
using banyantrail::ObjectTexts;
using banyantrail::Release;
using banyantrail::ServiceName;
using banyantrail::ServiceObject;
using banyantrail::ctl::DiffObjects;
using banyantrail::ctl::ProposeDiff;
using banyantrail::ctl::ReleaseDiff;
using banyantrail::testing::kOrders;
using banyantrail::testing::Put;
using banyantrail::testing::SampleObjects;

namespace {

/// The sample release with a lower share, a new service and no routing rule.
ObjectTexts DesiredObjects() {
  ObjectTexts objects = SampleObjects();
  banyantrail::RankObject rank = kOrders;
  rank.share_percent = 40;
  Put(rank, objects);
  Put(ServiceObject{.name = ServiceName("catalogue")}, objects);
  objects.erase("routing_rule/orders");
  return objects;
}

}  // namespace

TEST_GROUP(ReleaseDiff){};

TEST(ReleaseDiff, ListsEachChangedObjectAndField) {
  STRCMP_EQUAL(
      "~ rank/orders\n"
      "    share_percent: 60 -> 40\n"
      "+ service/catalogue\n"
      "- routing_rule/orders\n",
      banyantrail::ctl::DiffText(
          DiffObjects(SampleObjects(), DesiredObjects(), {.prune = true}))
          .c_str());
}

TEST(ReleaseDiff, KeepsObjectsThatTheDirectoryLacksUnlessPruning) {
  const ReleaseDiff diff = DiffObjects(SampleObjects(), DesiredObjects(), {});
  LONGS_EQUAL(2, diff.changes.size());
  LONGS_EQUAL(1, diff.kept.size());
}

TEST(ReleaseDiff, EqualObjectsDoNotDiffer) {
  CHECK(DiffObjects(SampleObjects(), SampleObjects(), {.prune = true}) ==
        ReleaseDiff{});
}

TEST(ReleaseDiff, ApplyingTheProposalYieldsTheDesiredObjects) {
  const Release base{.revision = {.number = 3}, .objects = SampleObjects()};
  const ReleaseDiff diff =
      DiffObjects(base.objects, DesiredObjects(), {.prune = true});
  const ChangeProposal proposal = ProposeDiff(diff, base, DesiredObjects());
  CHECK(MergeChange(base, proposal).objects == DesiredObjects());
  LONGS_EQUAL(3, proposal.base_revision);
}

TEST(ReleaseDiff, ProposalFromOldBaseConflictsOnlyOnObjectsItChanges) {
  const Release base{.revision = {.number = 3}, .objects = SampleObjects()};
  const ChangeProposal proposal = ProposeDiff(
      DiffObjects(base.objects, DesiredObjects(), {}), base, DesiredObjects());
  Release newer = base;
  Put(ServiceObject{.name = ServiceName("order-desk"),
                    .labels = {{"team", "x"}}},
      newer.objects);
  CHECK(MergeChange(newer, proposal).conflicts.empty());
  banyantrail::RankObject rank = kOrders;
  rank.share_percent = 5;
  Put(rank, newer.objects);
  STRCMP_EQUAL("rank/orders",
               MergeChange(newer, proposal).conflicts.at(0).object.c_str());
}
