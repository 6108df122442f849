#pragma once

#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <string_view>
#include <vector>

#include "banyantrail/core/clock.h"
#include "banyantrail/core/ids.h"
#include "banyantrail/traffic/routing_snapshot.h"

namespace banyantrail {

/// A backend server together with its node: a server that reappears beside
/// another node is another endpoint.
struct EndpointKey {
  NodeId owner;
  BackendServerId id;

  // clang-tidy 14 takes the body of a defaulted comparison for a null pointer.
  // NOLINTNEXTLINE(modernize-use-nullptr)
  friend auto operator<=>(const EndpointKey&, const EndpointKey&) = default;
  friend bool operator==(const EndpointKey&, const EndpointKey&) = default;
};

EndpointKey KeyOf(const ServiceEndpoint& endpoint);

/// What an owner node says of a backend server with each answer.
struct ReportedLoad {
  std::uint32_t in_flight = 0;
  std::uint32_t limit = 0;

  friend bool operator==(const ReportedLoad&, const ReportedLoad&) = default;
};

/// Parses the value of kLoadHeader, "in_flight/limit". Empty for anything else
/// and for a limit of 0.
std::optional<ReportedLoad> ParseReportedLoad(std::string_view value);

/// How a request to an endpoint ended, as far as the choice is concerned.
enum class EndpointOutcome : std::uint8_t {
  kAnswered,
  /// Refused for its load: no failure, but no room either.
  kShed,
  /// An error of the server, a cut answer or a time-out.
  kFailed,
  kConnectFailed,
  /// The caller hung up; says nothing of the endpoint.
  kCancelled,
};

struct EndpointResult {
  EndpointOutcome outcome = EndpointOutcome::kAnswered;
  std::optional<ReportedLoad> load;
  /// From sending to the head of the answer. Only kAnswered counts, so that a
  /// server that fails at once does not look fast.
  std::optional<Duration> latency;
};

/// Settings of LoadTable.
struct LoadTableOptions {
  /// How long a reported load counts; its weight falls to 0 over this time.
  Duration report_max_age = seconds(1);
  /// Weight of the newest latency in the running mean.
  double latency_weight = 0.1;
  /// How long a latency counts after the last answer, so that an endpoint that
  /// was slow gets another chance.
  Duration latency_max_age = seconds(10);
  /// Failures in a row after which an endpoint is ejected.
  std::uint32_t max_consecutive_failures = 5;
  std::uint32_t max_consecutive_connect_failures = 2;
  /// Share of failures among the recent results after which an endpoint is
  /// ejected, once there are enough of them.
  double max_failure_share = 0.15;
  double min_results = 10;
  /// Time in which a result's weight falls to a half.
  Duration result_half_life = seconds(10);
  /// The first ejection; each further one in a row lasts twice as long.
  Duration min_ejection = seconds(2);
  Duration max_ejection = seconds(60);
  /// How long the weight of a new or readmitted endpoint takes to grow to 1.
  Duration slow_start = seconds(5);
  double slow_start_weight = 0.1;
  /// Off for comparison only.
  bool ejects_outliers = true;
};

/// What one node saw of the endpoints it sends requests to. It rests on the
/// node's own requests and on the load that owner nodes report with their
/// answers; health and load endpoints are not asked.
class LoadTable {
 public:
  explicit LoadTable(LoadTableOptions options = {});

  /// A request is sent to the endpoint. Pair it with one OnResult.
  void OnStart(const ServiceEndpoint& endpoint, TimePoint now);

  /// The request ended.
  void OnResult(const ServiceEndpoint& endpoint,
                const EndpointResult& result,
                TimePoint now);

  /// Notes the endpoints that exist and forgets all others without a request
  /// in flight, so that the table does not grow with the fleet's history.
  /// Endpoints that appear for the first time start cold, but for those of the
  /// first call.
  void Retain(const std::vector<RoutedService>& services, TimePoint now);

  /// Estimated share of the endpoint's capacity in use if it got one more
  /// request; above 1 when requests queue.
  double UtilisationWithOneMore(const ServiceEndpoint& endpoint,
                                TimePoint now) const;

  /// Mean latency of recent answers; geometric, because a few huge uploads
  /// would hide the rest. Empty without a recent answer.
  std::optional<Duration> Latency(const ServiceEndpoint& endpoint,
                                  TimePoint now) const;

  /// Whether requests stay away from the endpoint for a while.
  bool IsEjected(const ServiceEndpoint& endpoint, TimePoint now) const;

  /// Recent failures per request, weighted by age.
  double FailureShare(const ServiceEndpoint& endpoint, TimePoint now) const;

  std::size_t size() const { return m_entries.size(); }

 private:
  struct Entry {
    std::uint32_t outstanding = 0;
    std::optional<ReportedLoad> load;
    TimePoint reported_at;
    /// Own requests that the report counted.
    std::uint32_t outstanding_at_report = 0;

    /// Running mean of the logarithm of the latency in seconds.
    std::optional<double> log_latency;
    TimePoint answered_at;

    std::uint32_t consecutive_failures = 0;
    std::uint32_t consecutive_connect_failures = 0;
    /// Sums of recent results at `results_at`.
    double results = 0;
    double failures = 0;
    TimePoint results_at;

    std::uint32_t ejections_in_a_row = 0;
    TimePoint ejected_until;
    /// When the weight began to grow; empty for a warm endpoint.
    std::optional<TimePoint> cold_since;
  };

  const Entry* Find(const ServiceEndpoint& endpoint) const;
  double Decay(Duration age) const;
  double Weight(const Entry& entry, TimePoint now) const;
  double InFlight(const Entry& entry, TimePoint now) const;
  void NoteLoad(Entry& entry, const EndpointResult& result, TimePoint now);
  void NoteLatency(Entry& entry, Duration latency, TimePoint now) const;
  void NoteSuccess(Entry& entry, TimePoint now) const;
  void NoteFailure(Entry& entry, bool at_connect, TimePoint now);
  void AddResult(Entry& entry, double failure, TimePoint now) const;
  bool IsOutlier(const Entry& entry) const;
  void Eject(Entry& entry, TimePoint now) const;

  LoadTableOptions m_options;
  std::map<EndpointKey, Entry> m_entries;
  bool m_knows_fleet = false;
};

}  // namespace banyantrail
