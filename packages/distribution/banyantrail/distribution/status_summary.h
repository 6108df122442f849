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

/// Aggregates the status reports of a failure domain's nodes and decides when
/// the summary is written to the platform. Performs no I/O.
///
/// A node that has not reported for `silent_after` is listed as silent since
/// its last report. A member that has never reported is silent since this relay
/// first learned of it. A silent node is not listed under any revision.
class StatusSummary {
 public:
  struct Options {
    DomainId domain;
    NodeId relay;
    /// Longer than two report intervals of the nodes.
    Duration silent_after = seconds(12);
    /// Limits the write rate while reports change.
    Duration min_write_interval = seconds(2);
    /// Interval of writes when nothing changes, so that readers can tell that
    /// the relay is alive.
    Duration idle_write_interval = seconds(10);
    /// A node that is not a member is removed this long after its last report.
    Duration remove_after = std::chrono::minutes(10);
  };

  explicit StatusSummary(Options options);

  void OnReport(const StatusReportMessage& report, TimePoint now);

  /// Sets the members of the failure domain, including the relay itself.
  void OnMembers(const std::vector<NodeId>& members, TimePoint now);

  /// A node has announced its departure and is removed.
  void OnLeft(const NodeId& node);

  /// The summary to write now, if a write is due. It then counts as written.
  std::optional<DomainStatus> TakeDueStatus(TimePoint now, WallTime wall_clock);

  /// The write of the last summary failed and has to be repeated.
  void OnWriteFailed() { m_last_written.reset(); }

  DomainStatus Summarise(TimePoint now, WallTime wall_clock) const;

 private:
  struct Entry {
    std::optional<StatusReportMessage> report;
    TimePoint last_heard;
  };

  bool IsSilent(const Entry& entry, TimePoint now) const;
  void RemoveFormerMembers(TimePoint now);
  bool DiffersFromWritten(DomainStatus status) const;

  Options m_options;
  std::map<NodeId, Entry> m_entries;
  std::set<NodeId> m_members;
  /// The last written summary. Compared without its times.
  std::optional<DomainStatus> m_last_written;
  std::optional<TimePoint> m_last_attempt;
};

}  // namespace banyantrail
