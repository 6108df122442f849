#include "banyantrail/membership/membership_table.h"
#include "support/revisions.h"

// Included before CppUTest, whose `new` macro breaks this header.
#include <rapidcheck.h>

#include <CppUTest/TestHarness.h>

#include <algorithm>

#include "banyantrail/membership/member_merge.h"

using banyantrail::DomainId;
using banyantrail::Incarnation;
using banyantrail::MemberRecord;
using banyantrail::MembershipTable;
using banyantrail::MemberState;
using banyantrail::MergeRecords;
using banyantrail::MergeResult;
using banyantrail::NodeId;
using banyantrail::seconds;
using banyantrail::TimePoint;

namespace {

constexpr TimePoint kStart{};

/// Records as the node itself writes them: equal incarnation and sequence imply
/// equal content.
rc::Gen<MemberRecord> ArbitraryRecord() {
  return rc::gen::map(
      rc::gen::tuple(rc::gen::inRange(0, 3), rc::gen::inRange(1, 4),
                     rc::gen::inRange(1, 4), rc::gen::inRange(0, 4),
                     rc::gen::inRange(0, 3)),
      [](const auto& parts) {
        const auto [node, incarnation, sequence, state, revision] = parts;
        return MemberRecord{
            .node = NodeId(std::to_string(node)),
            .domain = DomainId("d" + std::to_string(incarnation % 2)),
            .incarnation = static_cast<Incarnation>(incarnation),
            .sequence = static_cast<std::uint64_t>(sequence),
            .state = static_cast<MemberState>(state),
            .draining = sequence % 2 == 0,
            .applied_revision =
                banyantrail::testing::At(static_cast<std::uint64_t>(revision))};
      });
}

rc::Gen<MemberRecord> ArbitraryRecordOfOneNode() {
  return rc::gen::map(ArbitraryRecord(), [](MemberRecord record) {
    record.node = NodeId("n");
    return record;
  });
}

MembershipTable TableOf(const std::vector<MemberRecord>& records) {
  MembershipTable table({});
  for (const MemberRecord& record : records) {
    table.Merge(record, kStart);
  }
  return table;
}

}  // namespace

TEST_GROUP(MembershipTable){};

TEST(MembershipTable, MergeIsCommutative) {
  CHECK(rc::check([] {
    const MemberRecord a = *ArbitraryRecordOfOneNode();
    const MemberRecord b = *ArbitraryRecordOfOneNode();
    RC_ASSERT(MergeRecords(a, b) == MergeRecords(b, a));
  }));
}

TEST(MembershipTable, MergeIsAssociative) {
  CHECK(rc::check([] {
    const MemberRecord a = *ArbitraryRecordOfOneNode();
    const MemberRecord b = *ArbitraryRecordOfOneNode();
    const MemberRecord c = *ArbitraryRecordOfOneNode();
    RC_ASSERT(MergeRecords(MergeRecords(a, b), c) ==
              MergeRecords(a, MergeRecords(b, c)));
  }));
}

TEST(MembershipTable, MergeIsIdempotent) {
  CHECK(rc::check([] {
    const MemberRecord a = *ArbitraryRecordOfOneNode();
    const MemberRecord b = *ArbitraryRecordOfOneNode();
    const MemberRecord merged = MergeRecords(a, b);
    RC_ASSERT(MergeRecords(merged, b) == merged);
  }));
}

TEST(MembershipTable, ReorderedAndRepeatedUpdatesGiveTheSameTable) {
  CHECK(rc::check([] {
    const auto records =
        *rc::gen::container<std::vector<MemberRecord>>(ArbitraryRecord());
    std::vector<MemberRecord> reordered = records;
    reordered.insert(reordered.end(), records.begin(), records.end());
    std::reverse(reordered.begin(), reordered.end());
    const MembershipTable left = TableOf(records);
    const MembershipTable right = TableOf(reordered);
    RC_ASSERT(left.records() == right.records());
    RC_ASSERT(left.bucket_hashes() == right.bucket_hashes());
    RC_ASSERT(left.live_members() == right.live_members());
  }));
}

TEST(MembershipTable, ConcurrentDrainAndSuspicionAreBothKept) {
  const MemberRecord drained{
      .node = NodeId("n"), .incarnation = 1, .sequence = 2, .draining = true};
  const MemberRecord suspected{.node = NodeId("n"),
                               .incarnation = 1,
                               .sequence = 1,
                               .state = MemberState::kSuspect};
  const MemberRecord merged = MergeRecords(suspected, drained);
  CHECK(merged.draining);
  CHECK(merged.state == MemberState::kSuspect);
}

TEST(MembershipTable, RecordOfExpiredIncarnationIsRejected) {
  MembershipTable table({.dead_or_left_record_ttl = seconds(10)});
  const MemberRecord alive{
      .node = NodeId("n"), .incarnation = 5, .sequence = 1};
  MemberRecord dead = alive;
  dead.state = MemberState::kDead;
  table.Merge(alive, kStart);
  table.Merge(dead, kStart);
  table.Expire(kStart + seconds(11));
  CHECK(table.Find(NodeId("n")) == nullptr);
  CHECK(table.Merge(alive, kStart + seconds(12)) == MergeResult::kExpired);
  MemberRecord restarted = alive;
  restarted.incarnation = 6;
  CHECK(table.Merge(restarted, kStart + seconds(12)) == MergeResult::kChanged);
}

TEST(MembershipTable, NumberOfTombstonesIsBounded) {
  MembershipTable table(
      {.dead_or_left_record_ttl = seconds(10), .max_tombstones = 100});
  for (int i = 0; i < 1000; ++i) {
    table.Merge({.node = NodeId(std::to_string(i)),
                 .incarnation = 1,
                 .sequence = 1,
                 .state = MemberState::kDead},
                kStart);
  }
  table.Expire(kStart + seconds(11));
  CHECK(table.records().empty());
  UNSIGNED_LONGS_EQUAL(0, table.TombstoneIncarnation(NodeId("0")));
  UNSIGNED_LONGS_EQUAL(1, table.TombstoneIncarnation(NodeId("999")));
}
