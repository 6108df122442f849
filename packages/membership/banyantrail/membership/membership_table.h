#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <unordered_map>
#include <vector>

#include "banyantrail/core/clock.h"
#include "banyantrail/core/ids.h"
#include "banyantrail/wire/member_record.h"

namespace banyantrail {

/// The effect of merging a received record into the table.
enum class MergeResult {
  /// The table already held the record or a newer one.
  kUnchanged,
  kChanged,
  /// It belongs to an incarnation whose record has expired from the table.
  kExpired,
};

/// The members that a node knows, one record each. Records merge so that
/// updates give the same table in any order.
///
/// Records of members that died or left stay for a while, so that a late record
/// of the same incarnation is recognised as stale. Then a tombstone replaces
/// the record: it holds the member's last incarnation, expires after a day and
/// is limited in number.
///
/// Records of live members are hashed into buckets. The hashes are updated on
/// each change and let two nodes find the buckets in which their tables differ
/// by exchanging a few bytes. Records of members that died or left are not
/// hashed, because nodes drop them at different times and the hashes would
/// differ.
class MembershipTable {
 public:
  struct Options {
    std::size_t bucket_count = 32;
    /// Retention of the records of members that died or left.
    Duration dead_or_left_record_ttl = std::chrono::minutes(10);
    /// Retention of tombstones.
    Duration tombstone_ttl = std::chrono::hours(24);
    std::size_t max_tombstones = 10'000;
  };

  explicit MembershipTable(Options options);

  MergeResult Merge(const MemberRecord& record, TimePoint now);

  /// Raises the applied revision in the record of `node`, if there is one.
  void RaiseAppliedRevision(const NodeId& node, Revision revision);

  /// Drops the records and tombstones whose retention is over. Cheap when there
  /// are none.
  void Expire(TimePoint now);

  /// The record of a node, or null. Valid until the next change of the table.
  const MemberRecord* Find(const NodeId& node) const;

  /// Whether the node is known and neither dead nor left.
  bool IsLiveMember(const NodeId& node) const;

  const std::map<NodeId, MemberRecord>& records() const { return m_records; }

  /// Live members by failure domain. Domains without live members are left out.
  const std::map<DomainId, std::set<NodeId>>& live_members() const {
    return m_live_members;
  }

  /// Changes whenever `live_members` does.
  std::uint64_t live_members_version() const { return m_live_members_version; }

  /// Members that died (not those that left) and whose records have not
  /// expired.
  const std::set<NodeId>& dead_members() const { return m_dead_members; }

  /// One hash per bucket over its live records.
  const std::vector<std::uint64_t>& bucket_hashes() const {
    return m_bucket_hashes;
  }

  /// The members of one bucket, including those that died or left.
  const std::set<NodeId>& Bucket(std::size_t bucket) const {
    return m_buckets.at(bucket);
  }

  /// The greatest revision that any known member has applied.
  Revision GreatestAppliedRevision() const;

  /// The incarnation in the node's tombstone, or 0 without one. Records of the
  /// node up to this incarnation are rejected.
  Incarnation TombstoneIncarnation(const NodeId& node) const;

 private:
  struct Expiry {
    TimePoint at;
    NodeId node;
    Incarnation incarnation = 0;
  };

  void AddToIndexes(const MemberRecord& record, TimePoint now);
  void RemoveFromIndexes(const MemberRecord& record);
  std::size_t BucketOf(const NodeId& node) const;
  void ReplaceByTombstone(const Expiry& expiry, TimePoint now);

  Options m_options;
  std::map<NodeId, MemberRecord> m_records;
  std::map<DomainId, std::set<NodeId>> m_live_members;
  std::uint64_t m_live_members_version = 1;
  std::set<NodeId> m_dead_members;
  std::vector<std::uint64_t> m_bucket_hashes;
  std::vector<std::set<NodeId>> m_buckets;
  std::deque<Expiry> m_record_expiries;
  std::unordered_map<NodeId, Incarnation> m_tombstones;
  std::deque<Expiry> m_tombstone_expiries;
};

}  // namespace banyantrail
