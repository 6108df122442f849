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

/// Reconciles the membership tables of nodes, so that changes that the
/// dissemination tree did not deliver reach every node. About once a second
/// each node sends the hashes of its table to a random member of its own
/// domain, to one of another domain and to one that is recorded as dead. A
/// receiver whose hashes differ sends the versions that it holds in the
/// differing buckets; the peer answers with the records that are newer on its
/// side and requests those that are older. A node that has just started pulls
/// the whole table in parts, each from a random member.
class AntiEntropy {
 public:
  struct Options {
    NodeId self;
    DomainId domain;
    Duration digest_interval = seconds(1);
    /// Interval between the pulls of a node that has just started.
    Duration join_interval = milliseconds(100);
    std::size_t max_buckets_per_pull = 8;
    std::size_t max_records_per_message = 128;
    /// Limit on the records sent in answer to pulls. A requester that gets none
    /// asks another member.
    std::size_t max_records_served_per_second = 2'000;
    /// How many times a starting node pulls the whole table.
    std::uint32_t join_rounds = 2;
    /// Number of seeds contacted at a time. With several, nodes that start
    /// together do not form separate groups that do not know each other.
    std::size_t seeds_per_contact = 3;
    /// Seeds are contacted for as long as the node runs, at intervals that
    /// double from the minimum to the maximum, so that parts of the fleet that
    /// have dropped each other's records find each other again.
    Duration min_seed_interval = milliseconds(200);
    Duration max_seed_interval = seconds(10);
    /// Number of unanswered digests to another domain after which it counts as
    /// unreachable.
    std::uint32_t max_unanswered_digests = 3;
    /// Disabled only in experiments that measure the protocol without periodic
    /// digests.
    bool sends_digests = true;
  };

  explicit AntiEntropy(Options options);

  /// Sets the configuration revision, and its digest, that this node announces
  /// in its digest messages.
  void SetReleaseDigest(Revision revision, std::string digest);

  /// Replaces the addresses used for the first contact with other members.
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

  /// Starts to pull the whole table again, after the node was isolated.
  void RestartJoin(TimePoint now);

  /// Must be called when a message from a member of `domain` arrives.
  void OnMessageFromDomain(const DomainId& domain);

  /// Other domains that do not answer this node. Their members' records are
  /// kept.
  std::set<DomainId> UnreachableDomains() const;

  /// Whether the node has pulled the whole table since it started or last
  /// called RestartJoin.
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
  Revision m_revision;
  std::string m_release_digest;
  std::vector<IpEndpoint> m_seeds;
  std::optional<TimePoint> m_next_digest;
  std::optional<TimePoint> m_next_join;
  std::optional<TimePoint> m_next_seed;
  Duration m_seed_interval;
  std::size_t m_join_buckets_pulled = 0;
  bool m_has_joined = false;
  TimePoint m_serving_window_start;
  std::size_t m_records_served_in_window = 0;
  std::map<DomainId, std::uint32_t> m_unanswered_digests;
};

}  // namespace banyantrail
