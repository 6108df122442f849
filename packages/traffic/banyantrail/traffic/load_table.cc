#include "banyantrail/traffic/load_table.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <set>

namespace banyantrail {
namespace {

double ToSeconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

std::optional<std::uint32_t> ParseCount(std::string_view text) {
  std::uint32_t count = 0;
  const auto [end, error] =
      std::from_chars(text.data(), text.data() + text.size(), count);
  if (error != std::errc{} || end != text.data() + text.size()) {
    return std::nullopt;
  }
  return count;
}

}  // namespace

EndpointKey KeyOf(const ServiceEndpoint& endpoint) {
  return {.owner = endpoint.owner, .id = endpoint.id};
}

std::optional<ReportedLoad> ParseReportedLoad(std::string_view value) {
  const std::size_t first = value.find('/');
  if (first == std::string_view::npos) {
    return std::nullopt;
  }
  const std::size_t second = value.find('/', first + 1);
  const auto in_flight = ParseCount(value.substr(0, first));
  const auto limit = ParseCount(value.substr(first + 1, second - first - 1));
  if (!in_flight || !limit || *limit == 0) {
    return std::nullopt;
  }
  ReportedLoad load{.in_flight = *in_flight, .limit = *limit};
  if (second != std::string_view::npos) {
    const auto service_ms = ParseCount(value.substr(second + 1));
    if (!service_ms) {
      return std::nullopt;
    }
    load.service_time = milliseconds(*service_ms);
  }
  return load;
}

std::string ToString(const ReportedLoad& load) {
  std::string text =
      std::to_string(load.in_flight) + "/" + std::to_string(load.limit);
  if (load.service_time) {
    text += "/" + std::to_string(load.service_time->count());
  }
  return text;
}

LoadTable::LoadTable(LoadTableOptions options) : m_options(options) {}

void LoadTable::OnStart(const ServiceEndpoint& endpoint, TimePoint now) {
  Entry& entry =
      m_entries.try_emplace(KeyOf(endpoint), Entry{.results_at = now})
          .first->second;
  ++entry.outstanding;
}

void LoadTable::OnResult(const ServiceEndpoint& endpoint,
                         const EndpointResult& result,
                         TimePoint now) {
  const auto found = m_entries.find(endpoint);
  if (found == m_entries.end()) {
    return;
  }
  Entry& entry = found->second;
  RecordLoad(entry, result, now);
  RecordFailureReport(entry, result, now);
  entry.outstanding -= entry.outstanding > 0 ? 1 : 0;
  if (result.outcome == EndpointOutcome::kSuccess && result.latency) {
    RecordLatency(entry, *result.latency, now);
  }
  switch (result.outcome) {
    case EndpointOutcome::kSuccess:
    case EndpointOutcome::kShed:
      RecordSuccess(entry, now);
      break;
    case EndpointOutcome::kFailed:
      RecordFailure(entry, /*at_connect=*/false, now);
      break;
    case EndpointOutcome::kConnectFailed:
      RecordFailure(entry, /*at_connect=*/true, now);
      break;
    case EndpointOutcome::kCancelled:
      break;
  }
}

void LoadTable::Retain(const std::vector<RoutedService>& services,
                       TimePoint now) {
  std::set<const Entry*> present;
  for (const RoutedService& service : services) {
    for (const ServiceEndpoint& endpoint : service.endpoints) {
      auto found = m_entries.find(endpoint);
      if (found == m_entries.end()) {
        Entry new_entry{.results_at = now};
        if (m_endpoints_known) {
          new_entry.slow_start_since = now;
        }
        found = m_entries.emplace(KeyOf(endpoint), new_entry).first;
      }
      present.insert(&found->second);
    }
  }
  std::erase_if(m_entries, [&present](const auto& item) {
    return item.second.outstanding == 0 && !present.contains(&item.second);
  });
  m_endpoints_known = true;
}

double LoadTable::UtilisationWithOneMore(const ServiceEndpoint& endpoint,
                                         TimePoint now) const {
  const Entry* entry = Find(endpoint);
  const double slots = std::max<std::uint32_t>(endpoint.slots, 1);
  if (entry == nullptr) {
    return 1 / slots;
  }
  const double limit = entry->load ? entry->load->limit : slots;
  return (EstimatedInFlight(*entry, now) + 1) / (limit * Weight(*entry, now));
}

std::optional<Duration> LoadTable::Latency(const ServiceEndpoint& endpoint,
                                           TimePoint now) const {
  const Entry* entry = Find(endpoint);
  if (entry == nullptr || !entry->log_latency ||
      now - entry->last_latency_at >= m_options.latency_max_age) {
    return std::nullopt;
  }
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(std::exp(*entry->log_latency)));
}

std::optional<Duration> LoadTable::ServiceTime(const ServiceEndpoint& endpoint,
                                               std::uint64_t kind,
                                               TimePoint now) const {
  const Entry* entry = Find(endpoint);
  if (entry == nullptr) {
    return std::nullopt;
  }
  const auto found = entry->service_times.find(kind);
  if (found == entry->service_times.end() ||
      now - found->second.reported_at > m_options.service_time_max_age) {
    return std::nullopt;
  }
  return found->second.value;
}

bool LoadTable::IsEjected(const ServiceEndpoint& endpoint,
                          TimePoint now) const {
  const Entry* entry = Find(endpoint);
  return entry != nullptr &&
         (now < entry->ejected_until ||
          ReportedFailureShare(*entry, now) >= m_options.max_failure_share);
}

bool LoadTable::IsUnreachable(const ServiceEndpoint& endpoint) const {
  const Entry* entry = Find(endpoint);
  return entry != nullptr && entry->ejected_at_connect;
}

double LoadTable::FailureShare(const ServiceEndpoint& endpoint,
                               TimePoint now) const {
  const Entry* entry = Find(endpoint);
  if (entry == nullptr) {
    return 0;
  }
  const double own = entry->results > 0 ? entry->failures / entry->results : 0;
  return std::max(own, ReportedFailureShare(*entry, now));
}

const LoadTable::Entry* LoadTable::Find(const ServiceEndpoint& endpoint) const {
  const auto found = m_entries.find(endpoint);
  return found == m_entries.end() ? nullptr : &found->second;
}

double LoadTable::DecayFactor(Duration age) const {
  return std::exp2(-ToSeconds(age) / ToSeconds(m_options.result_half_life));
}

double LoadTable::Weight(const Entry& entry, TimePoint now) const {
  if (!entry.slow_start_since ||
      now >= *entry.slow_start_since + m_options.slow_start) {
    return 1;
  }
  const bool has_report =
      entry.load && entry.reported_at >= *entry.slow_start_since;
  if (m_options.slow_start_follows_limit && has_report) {
    return 1;
  }
  const double age = std::max(0.0, ToSeconds(now - *entry.slow_start_since));
  return std::max(m_options.slow_start_weight,
                  age / ToSeconds(m_options.slow_start));
}

/// Estimated requests in flight: the reported load, corrected by what this node
/// has sent and completed since, fades into this node's own count as the report
/// ages.
double LoadTable::EstimatedInFlight(const Entry& entry, TimePoint now) const {
  const double own = entry.outstanding;
  if (!entry.load) {
    return own;
  }
  const double reported =
      entry.load->in_flight + own - entry.outstanding_at_report;
  const double report_weight =
      std::clamp(1 - ToSeconds(now - entry.reported_at) /
                         ToSeconds(m_options.report_max_age),
                 0.0, 1.0);
  return std::max(own, report_weight * reported + (1 - report_weight) * own);
}

void LoadTable::RecordLoad(Entry& entry,
                           const EndpointResult& result,
                           TimePoint now) {
  if (result.load) {
    entry.load = result.load;
    if (result.outcome == EndpointOutcome::kShed) {
      entry.load->in_flight =
          std::max(entry.load->in_flight, entry.load->limit);
    }
    entry.reported_at = now;
    entry.outstanding_at_report = entry.outstanding;
    if (result.load->service_time) {
      entry.service_times[result.kind] = {.value = *result.load->service_time,
                                          .reported_at = now};
    }
  }
}

void LoadTable::RecordFailureReport(Entry& entry,
                                    const EndpointResult& result,
                                    TimePoint now) const {
  if (result.failure_share && m_options.ejects_outliers) {
    entry.reported_failure_share = *result.failure_share;
    entry.failures_reported_at = now;
  }
}

double LoadTable::ReportedFailureShare(const Entry& entry,
                                       TimePoint now) const {
  const bool is_fresh =
      now - entry.failures_reported_at < m_options.failure_report_max_age;
  return is_fresh ? entry.reported_failure_share : 0;
}

void LoadTable::RecordLatency(Entry& entry,
                              Duration latency,
                              TimePoint now) const {
  const double sample =
      std::log(ToSeconds(std::max<Duration>(latency, microseconds(1))));
  const bool is_fresh = entry.log_latency &&
                        now - entry.last_latency_at < m_options.latency_max_age;
  const double weight = is_fresh ? m_options.latency_weight : 1;
  entry.log_latency =
      weight * sample + (1 - weight) * (is_fresh ? *entry.log_latency : 0);
  entry.last_latency_at = now;
}

void LoadTable::RecordSuccess(Entry& entry, TimePoint now) const {
  AddResult(entry, 0, now);
  entry.consecutive_failures = 0;
  entry.consecutive_connect_failures = 0;
  if (now >= entry.ejected_until + m_options.slow_start) {
    entry.consecutive_ejections = 0;
  }
}

void LoadTable::RecordFailure(Entry& entry, bool at_connect, TimePoint now) {
  AddResult(entry, 1, now);
  ++entry.consecutive_failures;
  entry.consecutive_connect_failures =
      at_connect ? entry.consecutive_connect_failures + 1 : 0;
  if (m_options.ejects_outliers && now >= entry.ejected_until &&
      IsOutlier(entry)) {
    Eject(entry, at_connect, now);
  }
}

void LoadTable::AddResult(Entry& entry, double failure, TimePoint now) const {
  const double decay = DecayFactor(now - entry.results_at);
  entry.results = entry.results * decay + 1;
  entry.failures = entry.failures * decay + failure;
  entry.results_at = now;
}

bool LoadTable::IsOutlier(const Entry& entry) const {
  return entry.consecutive_failures >= m_options.max_consecutive_failures ||
         entry.consecutive_connect_failures >=
             m_options.max_consecutive_connect_failures ||
         (entry.results >= m_options.min_results &&
          entry.failures / entry.results >= m_options.max_failure_share);
}

void LoadTable::Eject(Entry& entry, bool at_connect, TimePoint now) const {
  const std::uint32_t doublings =
      std::min<std::uint32_t>(entry.consecutive_ejections, 10);
  const Duration length = std::min<Duration>(
      m_options.min_ejection * (1U << doublings), m_options.max_ejection);
  ++entry.consecutive_ejections;
  entry.ejected_until = now + length;
  entry.ejected_at_connect = at_connect;
  entry.slow_start_since = entry.ejected_until;
  // Consecutive failures are counted anew after the ejection.
  entry.consecutive_failures = 0;
  entry.consecutive_connect_failures = 0;
}

}  // namespace banyantrail
