#include "banyantrail/traffic/quarantine.h"

#include <algorithm>
#include <string>

#include "banyantrail/core/digest.h"

namespace banyantrail {

namespace {

/// Number of crashes with a request in flight after which it is refused.
constexpr std::uint32_t kMinCrashesToRefuse = 2;
/// Number of crash reports remembered to detect duplicates.
constexpr std::size_t kMaxRememberedReports = 1024;

}  // namespace

std::optional<RequestFingerprint> FingerprintOf(
    const RequestIdentity& identity) {
  if (identity.has_body && identity.discriminator.empty()) {
    return std::nullopt;
  }
  std::string text = identity.service.str();
  for (const std::string_view field :
       {identity.method, identity.target, identity.discriminator}) {
    text += '\n';
    text += field;
  }
  return Hash64(text);
}

Quarantine::Verdict Quarantine::Check(RequestFingerprint request,
                                      TimePoint now) const {
  const auto found = m_entries.find(request);
  if (found == m_entries.end() || now >= found->second.expires_at) {
    return Verdict::kAllow;
  }
  return now < found->second.refused_until ? Verdict::kRefuse
                                           : Verdict::kRunSerially;
}

std::vector<RequestFingerprint> Quarantine::OnCrash(
    const std::vector<RequestFingerprint>& in_flight,
    TimePoint now) {
  if (!m_options.enabled) {
    return {};
  }
  const std::set<RequestFingerprint> distinct(in_flight.begin(),
                                              in_flight.end());
  std::vector<RequestFingerprint> suspects;
  for (const RequestFingerprint request : distinct) {
    if (Check(request, now) != Verdict::kAllow) {
      suspects.push_back(request);
    }
  }
  // If suspects of earlier crashes were in flight, no other request becomes
  // one.
  if (suspects.empty()) {
    suspects.assign(distinct.begin(), distinct.end());
  }
  if (suspects.size() > m_options.max_suspects) {
    return {};
  }
  AddSuspicion(suspects, now);
  return suspects;
}

void Quarantine::OnReport(const CrashReportMessage& report, TimePoint now) {
  const bool usable = !report.suspects.empty() &&
                      report.suspects.size() <= m_options.max_suspects;
  if (!m_options.enabled || !usable) {
    return;
  }
  const ReportId id{.node = report.node,
                    .incarnation = report.incarnation,
                    .sequence = report.sequence};
  if (IsNewReport(id)) {
    AddSuspicion(report.suspects, now);
  }
}

void Quarantine::OnCompleted(RequestFingerprint request) {
  const auto found = m_entries.find(request);
  if (found != m_entries.end() && found->second.suspicion < 1) {
    m_entries.erase(found);
  }
}

void Quarantine::AddSuspicion(const std::vector<RequestFingerprint>& suspects,
                              TimePoint now) {
  const double weight = 1.0 / static_cast<double>(suspects.size());
  for (const RequestFingerprint request : suspects) {
    AddSuspicionTo(request, weight, now);
  }
  EvictExpired(now);
}

void Quarantine::AddSuspicionTo(RequestFingerprint request,
                                double weight,
                                TimePoint now) {
  Entry& entry = m_entries[request];
  if (now >= entry.expires_at) {
    entry = {};
  }
  ++entry.crashes;
  entry.suspicion += weight;
  if (entry.crashes >= kMinCrashesToRefuse) {
    const double evidence = std::min(entry.suspicion, 1.0);
    const Duration time = std::chrono::duration_cast<Duration>(
        m_options.max_refusal_time * evidence);
    entry.refused_until = now + std::max(time, m_options.min_refusal_time);
  }
  entry.expires_at =
      std::max(entry.refused_until, now) + m_options.suspect_retention_time;
}

bool Quarantine::IsNewReport(const ReportId& id) {
  if (!m_seen_reports.insert(id).second) {
    return false;
  }
  m_seen_report_order.push_back(id);
  if (m_seen_report_order.size() > kMaxRememberedReports) {
    m_seen_reports.erase(m_seen_report_order.front());
    m_seen_report_order.pop_front();
  }
  return true;
}

void Quarantine::EvictExpired(TimePoint now) {
  std::erase_if(m_entries, [now](const auto& item) {
    return now >= item.second.expires_at;
  });
  while (m_entries.size() > m_options.max_remembered_requests) {
    m_entries.erase(std::min_element(
        m_entries.begin(), m_entries.end(), [](const auto& a, const auto& b) {
          return a.second.expires_at < b.second.expires_at;
        }));
  }
}

}  // namespace banyantrail
