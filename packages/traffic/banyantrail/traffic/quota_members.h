#pragma once

#include <map>
#include <memory>
#include <vector>

#include "banyantrail/core/clock.h"
#include "banyantrail/core/ids.h"
#include "banyantrail/traffic/quota_share.h"
#include "banyantrail/wire/member_record.h"

namespace banyantrail {

/// The membership as far as team rate limits depend on it: which nodes may hold
/// a team's tokens, and how many nodes share its limit.
class QuotaMembers {
 public:
  struct Options {
    NodeId self;
    DomainId domain;
    /// A member counts for this long after its record has expired. A failure
    /// domain that is partitioned from this one for longer than records are
    /// kept still serves requests.
    Duration retention = std::chrono::hours(24);
  };

  using SharedMembers = std::vector<std::shared_ptr<const MemberRecord>>;

  explicit QuotaMembers(Options options) : m_options(std::move(options)) {}

  /// `is_isolated`: the node reaches less than half of its failure domain. It
  /// then lends only its own part.
  void Update(const SharedMembers& members, bool is_isolated, TimePoint now);

  const QuotaFleet& fleet() const { return m_fleet; }

  /// The node of each failure domain that lends the team's tokens, by
  /// rendezvous hash over its live nodes. That of this node's domain comes
  /// first, then those of its region; the order of the others differs from node
  /// to node. An isolated node puts itself before all.
  std::vector<NodeId> HoldersOf(const TeamName& team) const;

 private:
  struct KnownMember {
    DomainId domain;
    TimePoint last_seen;
  };

  void Count();

  Options m_options;
  QuotaFleet m_fleet;
  bool m_is_isolated = false;
  /// Members that have not announced their departure.
  std::map<NodeId, KnownMember> m_known;
  /// Nodes that may hold tokens, by failure domain.
  std::map<DomainId, std::vector<NodeId>> m_candidates;
  std::map<DomainId, RegionId> m_regions;
};

}  // namespace banyantrail
