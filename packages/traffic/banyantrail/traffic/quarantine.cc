#include "banyantrail/traffic/quarantine.h"

#include <algorithm>
#include <set>

namespace banyantrail {

namespace {

/// Number of crashes with a request in flight after which it is refused.
constexpr std::uint32_t kMinCrashesToRefuse = 2;

}  // namespace

Quarantine::Verdict Quarantine::Check(RequestFingerprint request,
                                      TimePoint now) const {
  const auto found = m_entries.find(request);
  if (found == m_entries.end() || now >= found->second.expires_at) {
    return Verdict::kAllow;
  }
  return now < found->second.refused_until ? Verdict::kRefuse
                                           : Verdict::kRunSerially;
}

Quarantine::Verdict Quarantine::Check(const RequestFingerprints& request,
                                      TimePoint now) const {
  Verdict verdict = Verdict::kAllow;
  if (m_entries.empty()) {
    return verdict;
  }
  for (const RequestFingerprint fingerprint : request.All()) {
    verdict = std::max(verdict, Check(fingerprint, now));
  }
  return verdict;
}

bool Quarantine::RemembersTarget(RequestTarget target, TimePoint now) const {
  const RequestFingerprint first = FirstWith(target);
  for (auto entry = m_entries.lower_bound(first);
       entry != m_entries.end() && TargetOf(entry->first) == target; ++entry) {
    if (now < entry->second.expires_at) {
      return true;
    }
  }
  return false;
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
  AddSuspicion(report.suspects, now);
}

bool Quarantine::HasCompletedLately(RequestFingerprint request,
                                    TimePoint now) const {
  const Completion& completion =
      m_completions[request % kRememberedCompletions];
  return completion.request == request &&
         now - completion.at < m_options.completion_time;
}

void Quarantine::OnCompleted(RequestFingerprint request, TimePoint now) {
  m_completions[request % kRememberedCompletions] = {.request = request,
                                                     .at = now};
  const auto found = m_entries.find(request);
  if (found != m_entries.end() && found->second.suspicion < 1) {
    m_entries.erase(found);
  }
}

void Quarantine::OnCompleted(const RequestFingerprints& request,
                             TimePoint now) {
  if (m_entries.empty()) {
    if (const auto strongest = request.Strongest()) {
      OnCompleted(*strongest, now);
    }
    return;
  }
  for (const RequestFingerprint fingerprint : request.All()) {
    OnCompleted(fingerprint, now);
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
  if (HasCompletedLately(request, now)) {
    return;
  }
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
