#pragma once

#include <map>
#include <optional>
#include <set>
#include <vector>

#include "banyantrail/config/domain_status.h"
#include "banyantrail/core/clock.h"
#include "banyantrail/core/ids.h"
#include "banyantrail/core/wall_time.h"
#include "banyantrail/wire/peer_messages.h"

namespace banyantrail {

/// Collects the reports of a failure domain's nodes into one summary and
/// decides when it is written to the platform. Pure.
///
/// A node counts as silent from its last report on once it has not reported for
/// `silent_after`; a member that never reported is silent since this relay knew
/// of it. A silent node is never listed as having a revision in force.
class StatusSummary {
 public:
  struct Options {
    DomainId domain;
    NodeId relay;
    /// Longer than two of the nodes' report intervals.
    Duration silent_after = seconds(12);
    /// Bounds the writes while reports change.
    Duration min_write_interval = seconds(2);
    /// How often the summary is written when nothing changes, which shows
    /// readers that the relay still works.
    Duration idle_write_interval = seconds(10);
    /// A silent node that is no longer a member is dropped after this time.
    Duration forget_after = std::chrono::minutes(10);
  };

  explicit StatusSummary(Options options);

  void OnReport(const StatusReportMessage& report, TimePoint now);

  /// The members of the failure domain, with the relay itself.
  void OnMembers(const std::vector<NodeId>& members, TimePoint now);

  /// A node said goodbye after a planned stop and is no longer counted.
  void OnLeft(const NodeId& node);

  /// The summary to write now, if a write is due; it then counts as written.
  std::optional<DomainStatus> TakeDue(TimePoint now, WallTime wall_clock);

  /// The write that TakeDue asked for failed and should come again.
  void OnWriteFailed() { m_written.reset(); }

  DomainStatus Summarise(TimePoint now, WallTime wall_clock) const;

 private:
  struct Entry {
    std::optional<StatusReportMessage> report;
    TimePoint heard;
  };

  bool IsSilent(const Entry& entry, TimePoint now) const;
  void Forget(TimePoint now);
  bool DiffersFromWritten(DomainStatus status) const;

  Options m_options;
  std::map<NodeId, Entry> m_entries;
  std::set<NodeId> m_members;
  /// What was written last, without its time.
  std::optional<DomainStatus> m_written;
  std::optional<TimePoint> m_last_attempt;
};

}  // namespace banyantrail
