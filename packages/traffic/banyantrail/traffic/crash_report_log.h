#pragma once

#include <cstddef>
#include <deque>
#include <set>
#include <tuple>
#include <vector>

#include "banyantrail/core/clock.h"
#include "banyantrail/core/ids.h"
#include "banyantrail/wire/peer_messages.h"

namespace banyantrail {

/// The crash reports that a node has sent or received.
///
/// A report is sent to the owner nodes once. It does not reach a node that is
/// cut off or starts later, so each node repeats the recent ones to a few
/// others for a time.
class CrashReportLog {
 public:
  struct Options {
    /// How long a report is repeated.
    Duration max_age = seconds(60);
    /// Maximum number of reports to repeat, and of suspects in them.
    std::size_t max_reports = 32;
    std::size_t max_suspects = 64;
    /// Number of reports remembered to recognise duplicates.
    std::size_t max_remembered = 1024;
  };

  CrashReportLog() = default;
  explicit CrashReportLog(Options options) : m_options(options) {}

  /// Returns false for a report that is known already.
  bool Add(const CrashReportMessage& report, TimePoint now);

  /// Whether there is anything to repeat.
  bool HasRecent(TimePoint now) const;

  /// The reports to repeat, the newest first.
  std::vector<CrashReportMessage> Recent(TimePoint now) const;

 private:
  struct ReportId {
    NodeId node;
    Incarnation incarnation = 0;
    std::uint64_t sequence = 0;

    friend bool operator<(const ReportId& a, const ReportId& b) {
      return std::tie(a.node, a.incarnation, a.sequence) <
             std::tie(b.node, b.incarnation, b.sequence);
    }
  };

  struct Entry {
    CrashReportMessage report;
    TimePoint added_at;
  };

  Options m_options{};
  /// The newest first.
  std::deque<Entry> m_recent;
  std::set<ReportId> m_known;
  std::deque<ReportId> m_known_in_order;
};

}  // namespace banyantrail
