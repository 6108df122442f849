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

/// Who has to learn of a change at once.
enum class SpreadScope { kOwnDomain, kFleet };

/// Spreads changes of member records: in batches down a tree over the live
/// members, the own domain first and other domains through a few entry points
/// each. Members that lie behind a dead one on the tree are reached by a few
/// rounds of sending recent changes to random members of the own domain.
class UpdateSpreader {
 public:
  struct Options {
    NodeId self;
    DomainId domain;
    Duration batch_interval = milliseconds(100);
    std::size_t arity = 4;
    std::size_t entry_points_per_domain = 2;
    Duration rumour_interval = milliseconds(100);
    /// How often a node sends each change it learnt to a random member.
    std::uint32_t rumour_rounds = 6;
    /// Records sent as rumours at most in one interval; the newest go first.
    std::size_t max_rumour_records = 16;
    /// Changes kept for rumours; when many members change at once, the oldest
    /// are left to the tree and to anti-entropy.
    std::size_t max_rumours = 64;
    std::size_t max_records_per_message = 128;
    /// Off for comparison only: leave all to rumours and anti-entropy.
    bool uses_tree = true;
  };

  explicit UpdateSpreader(Options options);

  /// Queues a change that this node made or found.
  void Add(const NodeId& node, SpreadScope scope);

  /// Notes a change that was learnt from a peer, for rumours only.
  void AddRumour(const NodeId& node);

  /// Sends what is due.
  std::vector<OutgoingMessage> Tick(const MembershipTable& table,
                                    TimePoint now,
                                    Rng& rng);

  /// Sends what is queued without waiting for the batch.
  std::vector<OutgoingMessage> Flush(const MembershipTable& table,
                                     TimePoint now,
                                     Rng& rng);

  /// Passes a received update on to the members named in it.
  std::vector<OutgoingMessage> Forward(
      const MembershipUpdateMessage& update) const;

 private:
  struct Rumour {
    NodeId node;
    std::uint32_t rounds_left = 0;
  };

  std::vector<MemberRecord> RecordsOf(const std::vector<NodeId>& nodes,
                                      const MembershipTable& table) const;
  void SendDownTrees(const std::vector<MemberRecord>& records,
                     SpreadScope scope,
                     const MembershipTable& table,
                     Rng& rng,
                     std::vector<OutgoingMessage>& messages) const;
  void SendToBranches(const std::vector<MemberRecord>& records,
                      const std::vector<NodeId>& members,
                      std::size_t arity,
                      std::vector<OutgoingMessage>& messages) const;
  void SendRumours(const MembershipTable& table,
                   TimePoint now,
                   Rng& rng,
                   std::vector<OutgoingMessage>& messages);

  Options m_options;
  std::map<NodeId, SpreadScope> m_pending;
  std::optional<TimePoint> m_last_flush;
  std::optional<TimePoint> m_last_rumour;
  /// Oldest first.
  std::vector<Rumour> m_rumours;
};

}  // namespace banyantrail
