#include "banyantrail/distribution/status_summary.h"

#include <algorithm>
#include <functional>
#include <utility>

namespace banyantrail {

StatusSummary::StatusSummary(Options options) : m_options(std::move(options)) {}

void StatusSummary::OnReport(const StatusReportMessage& report, TimePoint now) {
  m_entries[report.node] = {.report = report, .last_heard = now};
}

void StatusSummary::OnMembers(const std::vector<NodeId>& members,
                              TimePoint now) {
  m_members = {members.begin(), members.end()};
  for (const NodeId& node : members) {
    m_entries.try_emplace(node, Entry{.last_heard = now});
  }
}

void StatusSummary::OnLeft(const NodeId& node) {
  m_entries.erase(node);
  m_members.erase(node);
}

bool StatusSummary::IsSilent(const Entry& entry, TimePoint now) const {
  return !entry.report || now - entry.last_heard >= m_options.silent_after;
}

void StatusSummary::RemoveFormerMembers(TimePoint now) {
  std::erase_if(m_entries, [this, now](const auto& item) {
    const bool member = m_members.count(item.first) > 0;
    return !member && now - item.second.last_heard >= m_options.remove_after;
  });
}

DomainStatus StatusSummary::Summarise(TimePoint now,
                                      WallTime wall_clock) const {
  DomainStatus status{.domain = m_options.domain,
                      .relay = m_options.relay,
                      .time = FormatWallTime(wall_clock)};
  std::map<Revision, std::vector<NodeId>, std::greater<>> holders;
  for (const auto& [node, entry] : m_entries) {
    if (IsSilent(entry, now)) {
      const WallTime since = wall_clock - (now - entry.last_heard);
      status.silent.push_back({.node = node, .since = FormatWallTime(since)});
      continue;
    }
    const StatusReportMessage& report = *entry.report;
    holders[report.applied_revision].push_back(node);
    status.labels[node.str()] = report.labels;
    if (report.refused_revision > report.applied_revision) {
      status.refused.push_back({.node = node,
                                .revision = report.refused_revision.number,
                                .reason = report.refusal_reason});
    }
  }
  for (auto& [revision, nodes] : holders) {
    status.revisions.push_back(
        {.revision = revision.number, .nodes = std::move(nodes)});
  }
  return status;
}

bool StatusSummary::DiffersFromWritten(DomainStatus status) const {
  if (!m_last_written) {
    return true;
  }
  const bool same_silent =
      status.silent.size() == m_last_written->silent.size() &&
      std::equal(status.silent.begin(), status.silent.end(),
                 m_last_written->silent.begin(),
                 [](const SilentNode& a, const SilentNode& b) {
                   return a.node == b.node;
                 });
  // Times are ignored: they differ between any two summaries.
  status.time = m_last_written->time;
  status.silent = m_last_written->silent;
  return !same_silent || status != *m_last_written;
}

std::optional<DomainStatus> StatusSummary::TakeDueStatus(TimePoint now,
                                                         WallTime wall_clock) {
  const bool too_early =
      m_last_attempt && now - *m_last_attempt < m_options.min_write_interval;
  if (too_early) {
    return std::nullopt;
  }
  RemoveFormerMembers(now);
  DomainStatus status = Summarise(now, wall_clock);
  const bool idle_interval_elapsed =
      m_last_attempt && now - *m_last_attempt >= m_options.idle_write_interval;
  if (!idle_interval_elapsed && !DiffersFromWritten(status)) {
    return std::nullopt;
  }
  m_last_attempt = now;
  m_last_written = status;
  return status;
}

}  // namespace banyantrail
