#include "banyantrail/traffic/quarantine.h"

#include <algorithm>
#include <string>

#include "banyantrail/core/digest.h"

namespace banyantrail {

namespace {

/// Number of crashes with a request in flight after which it is refused.
constexpr std::uint32_t kCrashesToRefuse = 2;
/// Number of crash reports remembered to detect duplicates.
constexpr std::size_t kMaxSeenReports = 1024;

}  // namespace

std::optional<RequestFingerprint> FingerprintOf(
    const RequestIdentity& identity) {
  if (identity.has_body && identity.distinction.empty()) {
    return std::nullopt;
  }
  std::string text = identity.service.str();
  for (const std::string_view part :
       {identity.method, identity.target, identity.distinction}) {
    text += '\n';
    text += part;
  }
  return Hash64(text);
}

Quarantine::Verdict Quarantine::Check(RequestFingerprint request,
                                      TimePoint now) const {
  const auto found = m_entries.find(request);
  if (found == m_entries.end() || now >= found->second.forget_at) {
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
  // If requests that are already suspect were in flight, only they are blamed.
  if (suspects.empty()) {
    suspects.assign(distinct.begin(), distinct.end());
  }
  if (suspects.size() > m_options.max_suspects) {
    return {};
  }
  Blame(suspects, now);
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
  if (IsNew(id)) {
    Blame(report.suspects, now);
  }
}

void Quarantine::OnAnswered(RequestFingerprint request) {
  const auto found = m_entries.find(request);
  if (found != m_entries.end() && found->second.suspicion < 1) {
    m_entries.erase(found);
  }
}

void Quarantine::Blame(const std::vector<RequestFingerprint>& suspects,
                       TimePoint now) {
  const double part = 1.0 / static_cast<double>(suspects.size());
  for (const RequestFingerprint request : suspects) {
    BlameOne(request, part, now);
  }
  Forget(now);
}

void Quarantine::BlameOne(RequestFingerprint request,
                          double part,
                          TimePoint now) {
  Entry& entry = m_entries[request];
  if (now >= entry.forget_at) {
    entry = {};
  }
  ++entry.crashes;
  entry.suspicion += part;
  if (entry.crashes >= kCrashesToRefuse) {
    const double evidence = std::min(entry.suspicion, 1.0);
    const Duration time =
        std::chrono::duration_cast<Duration>(m_options.refuse_time * evidence);
    entry.refused_until = now + std::max(time, m_options.least_refuse_time);
  }
  entry.forget_at = std::max(entry.refused_until, now) + m_options.suspect_time;
}

bool Quarantine::IsNew(const ReportId& id) {
  if (!m_seen.insert(id).second) {
    return false;
  }
  m_seen_order.push_back(id);
  if (m_seen_order.size() > kMaxSeenReports) {
    m_seen.erase(m_seen_order.front());
    m_seen_order.pop_front();
  }
  return true;
}

void Quarantine::Forget(TimePoint now) {
  std::erase_if(m_entries, [now](const auto& item) {
    return now >= item.second.forget_at;
  });
  while (m_entries.size() > m_options.max_entries) {
    m_entries.erase(std::min_element(
        m_entries.begin(), m_entries.end(), [](const auto& a, const auto& b) {
          return a.second.forget_at < b.second.forget_at;
        }));
  }
}

}  // namespace banyantrail
