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

/// What a received record did to the table.
enum class MergeResult {
  /// The table already held it, or something newer.
  kUnchanged,
  kChanged,
  /// It describes a life that ended and whose record was dropped since.
  kForgotten,
};

/// All that a node knows of the fleet: one record per member, merged so that
/// updates give the same table in any order.
///
/// Records of members that died or left stay for a while, so that a late record
/// of the same life is recognised; then only the member's last incarnation is
/// kept, for a day and bounded in number.
///
/// Live records are hashed into buckets. The hashes are kept up to date on each
/// change and tell two nodes in a few bytes where their tables differ. Records
/// of members that died or left do not count, so that dropping them at
/// different times makes no difference between nodes.
class MembershipTable {
 public:
  struct Options {
    std::size_t bucket_count = 32;
    /// How long the records of members that died or left stay.
    Duration ended_record_ttl = std::chrono::minutes(10);
    /// How long the incarnations of dropped records stay.
    Duration forgotten_ttl = std::chrono::hours(24);
    std::size_t max_forgotten = 10'000;
  };

  explicit MembershipTable(Options options);

  /// Merges one record.
  MergeResult Merge(const MemberRecord& record, TimePoint now);

  /// Raises the revision that `node` is known to have applied, if it is known.
  void NoteAppliedRevision(const NodeId& node, Revision revision);

  /// Drops what is past its time. Cheap when nothing is.
  void Expire(TimePoint now);

  /// The record of a node, or null. Valid until the next change of the table.
  const MemberRecord* Find(const NodeId& node) const;

  /// Whether the node is known and neither dead nor left.
  bool IsLiveMember(const NodeId& node) const;

  const std::map<NodeId, MemberRecord>& records() const { return m_records; }

  /// Live members by failure domain. Domains without any are left out.
  const std::map<DomainId, std::set<NodeId>>& live_members() const {
    return m_live_members;
  }

  /// Changes whenever `live_members` does.
  std::uint64_t live_members_version() const { return m_live_members_version; }

  /// Members that died, not those that left, and whose records still stay.
  const std::set<NodeId>& dead_members() const { return m_dead_members; }

  /// One hash per bucket over its live records.
  const std::vector<std::uint64_t>& hashes() const { return m_hashes; }

  /// The members of one bucket, ended ones included.
  const std::set<NodeId>& Bucket(std::size_t bucket) const {
    return m_buckets.at(bucket);
  }

  /// The greatest revision that any known member has applied.
  Revision GreatestAppliedRevision() const;

  /// The incarnation up to which a node's records are refused, or 0.
  Incarnation ForgottenIncarnation(const NodeId& node) const;

 private:
  struct EndedRecord {
    TimePoint until;
    NodeId node;
    Incarnation incarnation = 0;
  };

  void AddToIndexes(const MemberRecord& record, TimePoint now);
  void RemoveFromIndexes(const MemberRecord& record);
  std::size_t BucketOf(const NodeId& node) const;
  void Forget(const EndedRecord& ended, TimePoint now);

  Options m_options;
  std::map<NodeId, MemberRecord> m_records;
  std::map<DomainId, std::set<NodeId>> m_live_members;
  std::uint64_t m_live_members_version = 1;
  std::set<NodeId> m_dead_members;
  std::vector<std::uint64_t> m_hashes;
  std::vector<std::set<NodeId>> m_buckets;
  std::deque<EndedRecord> m_ended;
  std::unordered_map<NodeId, Incarnation> m_forgotten;
  std::deque<EndedRecord> m_forgotten_order;
};

}  // namespace banyantrail
