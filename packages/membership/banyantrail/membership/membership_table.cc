#include "banyantrail/membership/membership_table.h"

#include <algorithm>
#include <utility>

#include "banyantrail/core/digest.h"
#include "banyantrail/membership/member_merge.h"

namespace banyantrail {
namespace {

std::uint64_t HashOf(const MemberRecord& record) {
  std::uint64_t hash = Hash64(record.node.str());
  for (const std::uint64_t field : {record.incarnation, record.sequence,
                                    static_cast<std::uint64_t>(record.state)}) {
    const std::string bytes = std::to_string(field);
    hash = Hash64(bytes, hash);
  }
  return hash;
}

}  // namespace

MembershipTable::MembershipTable(Options options)
    : m_options(options),
      m_bucket_hashes(options.bucket_count),
      m_buckets(options.bucket_count) {}

MergeResult MembershipTable::Merge(const MemberRecord& record, TimePoint now) {
  if (record.incarnation <= TombstoneIncarnation(record.node)) {
    return MergeResult::kExpired;
  }
  const auto found = m_records.find(record.node);
  if (found == m_records.end()) {
    AddToIndexes(record, now);
    m_records.emplace(record.node, record);
    return MergeResult::kChanged;
  }
  MemberRecord& known = found->second;
  MemberRecord merged = MergeRecords(known, record);
  known.applied_revision = merged.applied_revision;
  if (merged == known) {
    return MergeResult::kUnchanged;
  }
  RemoveFromIndexes(known);
  AddToIndexes(merged, now);
  known = std::move(merged);
  return MergeResult::kChanged;
}

void MembershipTable::RaiseAppliedRevision(const NodeId& node,
                                           Revision revision) {
  const auto found = m_records.find(node);
  if (found != m_records.end()) {
    Revision& known = found->second.applied_revision;
    known = std::max(known, revision);
  }
}

void MembershipTable::Expire(TimePoint now) {
  while (!m_record_expiries.empty() && m_record_expiries.front().at <= now) {
    const Expiry expiry = std::move(m_record_expiries.front());
    m_record_expiries.pop_front();
    ReplaceByTombstone(expiry, now);
  }
  while (!m_tombstone_expiries.empty() &&
         (m_tombstone_expiries.front().at <= now ||
          m_tombstone_expiries.size() > m_options.max_tombstones)) {
    const Expiry& oldest = m_tombstone_expiries.front();
    const auto found = m_tombstones.find(oldest.node);
    if (found != m_tombstones.end() && found->second == oldest.incarnation) {
      m_tombstones.erase(found);
    }
    m_tombstone_expiries.pop_front();
  }
}

const MemberRecord* MembershipTable::Find(const NodeId& node) const {
  const auto found = m_records.find(node);
  return found == m_records.end() ? nullptr : &found->second;
}

bool MembershipTable::IsLiveMember(const NodeId& node) const {
  const MemberRecord* record = Find(node);
  return record != nullptr && IsLive(record->state);
}

Revision MembershipTable::GreatestAppliedRevision() const {
  Revision greatest;
  for (const auto& [node, record] : m_records) {
    greatest = std::max(greatest, record.applied_revision);
  }
  return greatest;
}

Incarnation MembershipTable::TombstoneIncarnation(const NodeId& node) const {
  const auto found = m_tombstones.find(node);
  return found == m_tombstones.end() ? 0 : found->second;
}

void MembershipTable::AddToIndexes(const MemberRecord& record, TimePoint now) {
  const std::size_t bucket = BucketOf(record.node);
  m_buckets[bucket].insert(record.node);
  if (IsLive(record.state)) {
    m_bucket_hashes[bucket] += HashOf(record);
    m_live_members[record.domain].insert(record.node);
    ++m_live_members_version;
    return;
  }
  if (record.state == MemberState::kDead) {
    m_dead_members.insert(record.node);
  }
  m_record_expiries.push_back({.at = now + m_options.dead_or_left_record_ttl,
                               .node = record.node,
                               .incarnation = record.incarnation});
}

void MembershipTable::RemoveFromIndexes(const MemberRecord& record) {
  const std::size_t bucket = BucketOf(record.node);
  m_buckets[bucket].erase(record.node);
  m_dead_members.erase(record.node);
  if (!IsLive(record.state)) {
    return;
  }
  m_bucket_hashes[bucket] -= HashOf(record);
  ++m_live_members_version;
  const auto domain = m_live_members.find(record.domain);
  domain->second.erase(record.node);
  if (domain->second.empty()) {
    m_live_members.erase(domain);
  }
}

std::size_t MembershipTable::BucketOf(const NodeId& node) const {
  return Hash64(node.str()) % m_options.bucket_count;
}

void MembershipTable::ReplaceByTombstone(const Expiry& expiry, TimePoint now) {
  const auto found = m_records.find(expiry.node);
  if (found == m_records.end() || IsLive(found->second.state) ||
      found->second.incarnation != expiry.incarnation) {
    return;
  }
  RemoveFromIndexes(found->second);
  m_records.erase(found);
  m_tombstones[expiry.node] = expiry.incarnation;
  m_tombstone_expiries.push_back({.at = now + m_options.tombstone_ttl,
                                  .node = expiry.node,
                                  .incarnation = expiry.incarnation});
}

}  // namespace banyantrail
