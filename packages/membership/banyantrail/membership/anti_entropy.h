#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "banyantrail/core/clock.h"
#include "banyantrail/core/ids.h"
#include "banyantrail/core/random.h"
#include "banyantrail/membership/membership_table.h"
#include "banyantrail/membership/outgoing_message.h"

namespace banyantrail {

/// Repairs what the tree did not deliver. About once a second each node sends
/// the hashes of its table to a random member of its own domain and to one of
/// another domain; whoever sees a difference pulls and offers the records of
/// the buckets that differ. A node that has just started pulls the whole table
/// in parts, each from another member.
class AntiEntropy {
 public:
  struct Options {
    NodeId self;
    DomainId domain;
    Duration digest_interval = seconds(1);
    /// Between two pulls of a node that has just started.
    Duration join_interval = milliseconds(100);
    std::size_t max_buckets_per_pull = 8;
    std::size_t max_records_per_message = 128;
    /// Records served per second at most; who gets none asks another member.
    std::size_t max_records_served_per_second = 2'000;
    /// How many times a starting node pulls the whole table.
    std::uint32_t join_rounds = 2;
    /// Seeds contacted at once, so that nodes that start together do not form
    /// groups that know nothing of each other.
    std::size_t seeds_per_contact = 3;
    /// Seeds are contacted for good, at intervals that grow from one to the
    /// other, so that parts of the fleet that forgot each other meet again.
    Duration min_seed_interval = milliseconds(200);
    Duration max_seed_interval = seconds(10);
    /// Digests to another domain without an answer before the domain counts as
    /// unreachable.
    std::uint32_t max_unanswered_digests = 3;
    /// Off for comparison only.
    bool is_enabled = true;
  };

  explicit AntiEntropy(Options options);

  /// What this node has of the configuration, for its digests.
  void SetReleaseDigest(Revision revision, std::string digest);

  /// Addresses for first contact.
  void SetSeeds(std::vector<IpEndpoint> seeds);

  std::vector<OutgoingMessage> Tick(const MembershipTable& table,
                                    TimePoint now,
                                    Rng& rng);

  std::vector<OutgoingMessage> OnDigest(const NodeId& from,
                                        const DigestMessage& digest,
                                        const MembershipTable& table,
                                        TimePoint now,
                                        Rng& rng);

  std::vector<OutgoingMessage> OnPull(const NodeId& from,
                                      const MembershipPullMessage& pull,
                                      const MembershipTable& table,
                                      TimePoint now);

  /// Pulls the whole table again, after the node was cut off.
  void RestartJoin(TimePoint now);

  /// Notes that a member of `domain` was heard from.
  void OnHeardFrom(const DomainId& domain);

  /// Other domains that do not answer this node. Their records stay.
  std::set<DomainId> UnreachableDomains() const;

  /// Whether the node has pulled the whole table since it started.
  bool has_joined() const { return m_has_joined; }

 private:
  DigestMessage MakeDigest(const MembershipTable& table) const;
  MembershipPullMessage MakePull(std::vector<std::uint32_t> buckets,
                                 const MembershipTable& table) const;
  void Join(const MembershipTable& table,
            TimePoint now,
            Rng& rng,
            std::vector<OutgoingMessage>& messages);
  void ContactSeeds(const MembershipTable& table,
                    Rng& rng,
                    std::vector<OutgoingMessage>& messages);
  void SendDigests(const MembershipTable& table,
                   Rng& rng,
                   std::vector<OutgoingMessage>& messages);
  void SendDigestToOneOf(const std::set<NodeId>& members,
                         const MembershipTable& table,
                         Rng& rng,
                         std::vector<OutgoingMessage>& messages) const;
  std::vector<std::uint32_t> NextJoinBuckets(const MembershipTable& table);
  std::size_t TakeServingBudget(std::size_t wanted, TimePoint now);
  void SendRecords(const NodeId& to,
                   const std::vector<NodeId>& nodes,
                   const MembershipTable& table,
                   TimePoint now,
                   std::vector<OutgoingMessage>& messages);

  Options m_options;
  Revision m_revision = 0;
  std::string m_release_digest;
  std::vector<IpEndpoint> m_seeds;
  std::optional<TimePoint> m_next_digest;
  std::optional<TimePoint> m_next_join;
  std::optional<TimePoint> m_next_seed;
  Duration m_seed_interval;
  std::size_t m_join_buckets_pulled = 0;
  bool m_has_joined = false;
  TimePoint m_serving_window;
  std::size_t m_served_in_window = 0;
  std::map<DomainId, std::uint32_t> m_unanswered_digests;
};

}  // namespace banyantrail
