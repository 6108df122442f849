#include "banyantrail/traffic/crash_report_log.h"

namespace banyantrail {

bool CrashReportLog::Add(const CrashReportMessage& report, TimePoint now) {
  const ReportId id{.node = report.node,
                    .incarnation = report.incarnation,
                    .sequence = report.sequence};
  if (!m_known.insert(id).second) {
    return false;
  }
  m_known_in_order.push_back(id);
  if (m_known_in_order.size() > m_options.max_remembered) {
    m_known.erase(m_known_in_order.front());
    m_known_in_order.pop_front();
  }
  m_recent.push_front({.report = report, .added_at = now});
  if (m_recent.size() > m_options.max_reports) {
    m_recent.pop_back();
  }
  return true;
}

bool CrashReportLog::HasRecent(TimePoint now) const {
  return !m_recent.empty() &&
         now - m_recent.front().added_at <= m_options.max_age;
}

std::vector<CrashReportMessage> CrashReportLog::Recent(TimePoint now) const {
  std::vector<CrashReportMessage> reports;
  std::size_t suspects = 0;
  for (const Entry& entry : m_recent) {
    suspects += entry.report.suspects.size();
    const bool is_old = now - entry.added_at > m_options.max_age;
    if (is_old || (suspects > m_options.max_suspects && !reports.empty())) {
      break;
    }
    reports.push_back(entry.report);
  }
  return reports;
}

}  // namespace banyantrail
