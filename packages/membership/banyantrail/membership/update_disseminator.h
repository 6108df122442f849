#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "banyantrail/core/clock.h"
#include "banyantrail/core/ids.h"
#include "banyantrail/core/random.h"
#include "banyantrail/membership/membership_table.h"
#include "banyantrail/membership/outgoing_message.h"

namespace banyantrail {

/// The members to which a change is sent down the dissemination tree.
enum class DisseminationScope { kOwnDomain, kFleet };

/// Disseminates changes of member records. Changes are sent in batches down a
/// tree over the live members: directly in the own domain, and through a few
/// entry points in each other domain. Members behind a failed node of the tree
/// are reached by gossip: for a few rounds, each node sends recent changes to
/// random members of its own domain.
class UpdateDisseminator {
 public:
  struct Options {
    NodeId self;
    DomainId domain;
    Duration batch_interval = milliseconds(100);
    std::size_t arity = 4;
    std::size_t entry_points_per_domain = 2;
    Duration gossip_interval = milliseconds(100);
    /// Number of gossip rounds in which a node sends each change that it
    /// learns, each time to one random member.
    std::uint32_t gossip_rounds = 6;
    /// Maximum number of records in a gossip message. The newest are sent
    /// first.
    std::size_t max_gossip_records = 16;
    /// Maximum number of changes queued for gossip. When many members change at
    /// the same time, the oldest are dropped from the queue and left to the
    /// tree and to anti-entropy.
    std::size_t max_gossip_entries = 64;
    std::size_t max_records_per_message = 128;
    /// Disabled only in experiments that measure dissemination by gossip and
    /// anti-entropy alone.
    bool uses_tree = true;
  };

  explicit UpdateDisseminator(Options options);

  /// Queues a change that this node made or detected, for the tree and for
  /// gossip.
  void Enqueue(const NodeId& node, DisseminationScope scope);

  /// Queues a change that was learnt from a peer, for gossip only.
  void EnqueueGossip(const NodeId& node);

  /// Returns the batch and the gossip message that are due.
  std::vector<OutgoingMessage> Tick(const MembershipTable& table,
                                    TimePoint now,
                                    Rng& rng);

  /// Returns the queued batch without waiting for the batch interval.
  std::vector<OutgoingMessage> Flush(const MembershipTable& table,
                                     TimePoint now,
                                     Rng& rng);

  /// Forwards a received update to the members of its subtree.
  std::vector<OutgoingMessage> Forward(
      const MembershipUpdateMessage& update) const;

 private:
  struct GossipEntry {
    NodeId node;
    std::uint32_t rounds_left = 0;
  };

  std::vector<MemberRecord> RecordsOf(const std::vector<NodeId>& nodes,
                                      const MembershipTable& table) const;
  void SendDownTrees(const std::vector<MemberRecord>& records,
                     DisseminationScope scope,
                     const MembershipTable& table,
                     Rng& rng,
                     std::vector<OutgoingMessage>& messages) const;
  void SendToBranches(const std::vector<MemberRecord>& records,
                      const std::vector<NodeId>& members,
                      std::size_t arity,
                      std::vector<OutgoingMessage>& messages) const;
  void SendGossip(const MembershipTable& table,
                  TimePoint now,
                  Rng& rng,
                  std::vector<OutgoingMessage>& messages);

  Options m_options;
  std::map<NodeId, DisseminationScope> m_pending;
  std::optional<TimePoint> m_last_flush;
  std::optional<TimePoint> m_last_gossip;
  /// Oldest first.
  std::vector<GossipEntry> m_gossip_queue;
};

}  // namespace banyantrail
