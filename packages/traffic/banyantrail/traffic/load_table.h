#pragma once

#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <tuple>
#include <vector>

#include "banyantrail/core/clock.h"
#include "banyantrail/core/ids.h"
#include "banyantrail/traffic/routing_snapshot.h"

namespace banyantrail {

/// Identifies an endpoint. A backend server that registers with another node is
/// a different endpoint.
struct EndpointKey {
  NodeId owner;
  BackendServerId id;

  // clang-tidy 14 takes the body of a defaulted comparison for a null pointer.
  // NOLINTNEXTLINE(modernize-use-nullptr)
  friend auto operator<=>(const EndpointKey&, const EndpointKey&) = default;
  friend bool operator==(const EndpointKey&, const EndpointKey&) = default;
};

EndpointKey KeyOf(const ServiceEndpoint& endpoint);

/// Orders keys, and finds the key of an endpoint without copying its names.
struct EndpointKeyLess {
  using is_transparent = void;

  template <typename Left, typename Right>
  bool operator()(const Left& left, const Right& right) const {
    return std::tie(left.owner, left.id) < std::tie(right.owner, right.id);
  }
};

/// Load of a backend server, reported by its owner node with each response.
struct ReportedLoad {
  std::uint32_t in_flight = 0;
  std::uint32_t limit = 0;
  /// How long requests of the same kind take at the backend server, without
  /// waiting for a slot. Empty if unknown.
  std::optional<milliseconds> service_time = std::nullopt;

  friend bool operator==(const ReportedLoad&, const ReportedLoad&) = default;
};

/// Parses "in_flight/limit" or "in_flight/limit/service_time", the last in
/// milliseconds. Returns nothing if it is malformed or the limit is 0.
std::optional<ReportedLoad> ParseReportedLoad(std::string_view value);

std::string ToString(const ReportedLoad& load);

/// How a request to an endpoint ended, as it affects load balancing.
enum class EndpointOutcome : std::uint8_t {
  kSuccess,
  /// Refused because of load: not a failure, but the endpoint counts as full.
  kShed,
  /// A server error, a truncated response or a time-out.
  kFailed,
  kConnectFailed,
  /// The caller disconnected; this does not affect the endpoint's statistics.
  kCancelled,
};

struct EndpointResult {
  EndpointOutcome outcome = EndpointOutcome::kSuccess;
  std::optional<ReportedLoad> load;
  /// The share of requests that the backend server fails, as its owner node
  /// reported it. Empty if it did not.
  std::optional<double> failure_share = std::nullopt;
  /// Kind of the request that the service time in `load` belongs to; 0 if
  /// unknown.
  std::uint64_t kind = 0;
  /// Time from sending the request to receiving the response headers. Used only
  /// with kSuccess, so that a server that fails fast does not appear fast.
  std::optional<Duration> latency;
};

/// Settings of LoadTable.
struct LoadTableOptions {
  /// The weight of a load report falls linearly to 0 over this time.
  Duration report_max_age = seconds(1);
  /// Weight of a new latency in the moving mean.
  double latency_weight = 0.1;
  /// The mean latency is discarded this long after the last response, so that
  /// an endpoint that was slow gets requests again.
  Duration latency_max_age = seconds(10);
  /// A reported service time is discarded after this time.
  Duration service_time_max_age = seconds(30);
  /// Number of consecutive failures after which an endpoint is ejected.
  std::uint32_t max_consecutive_failures = 5;
  std::uint32_t max_consecutive_connect_failures = 2;
  /// Failure rate at which an endpoint is ejected, provided that the recent
  /// results have a total weight of at least `min_results`.
  double max_failure_share = 0.15;
  double min_results = 10;
  /// How long a failure rate that an owner node reported is valid, and how long
  /// the endpoint stays ejected for it without another report.
  Duration failure_report_max_age = seconds(2);
  /// Half-life of the weight of a result.
  Duration result_half_life = seconds(10);
  /// Duration of the first ejection; each consecutive one lasts twice as long.
  Duration min_ejection = seconds(2);
  Duration max_ejection = seconds(60);
  /// Time over which the weight of a new or readmitted endpoint grows to 1.
  Duration slow_start = seconds(5);
  double slow_start_weight = 0.1;
  /// If true, an endpoint whose owner node has reported its load since the
  /// start of the slow start counts with its full weight: the limit in the
  /// report tells how far the backend server has got, and time does not.
  bool slow_start_follows_limit = false;
  /// Disabled only in benchmarks.
  bool ejects_outliers = true;
};

/// Load, latency and failures of the endpoints that a node sends requests to.
/// Derived from the node's own requests and from the load that owner nodes
/// report with their responses; health and load endpoints are not polled.
class LoadTable {
 public:
  explicit LoadTable(LoadTableOptions options = {});

  /// A request was sent to the endpoint. Each call must be followed by exactly
  /// one call of OnResult.
  void OnStart(const ServiceEndpoint& endpoint, TimePoint now);

  /// The request ended.
  void OnResult(const ServiceEndpoint& endpoint,
                const EndpointResult& result,
                TimePoint now);

  /// Adds new endpoints and removes those that no longer exist and have no
  /// request in flight, so that the table does not grow without bound. New
  /// endpoints begin with slow start, except those of the first call.
  void Retain(const std::vector<RoutedService>& services, TimePoint now);

  /// Estimated utilisation of the endpoint if it got one more request; above 1
  /// if requests queue.
  double UtilisationWithOneMore(const ServiceEndpoint& endpoint,
                                TimePoint now) const;

  /// Geometric mean latency of recent responses; an arithmetic mean would be
  /// dominated by a few large uploads. Empty without a recent response.
  std::optional<Duration> Latency(const ServiceEndpoint& endpoint,
                                  TimePoint now) const;

  /// How long requests of the kind take at the endpoint, as last reported by
  /// its owner node. Empty if no report is known.
  std::optional<Duration> ServiceTime(const ServiceEndpoint& endpoint,
                                      std::uint64_t kind,
                                      TimePoint now) const;

  /// Whether the endpoint is currently ejected as an outlier.
  bool IsEjected(const ServiceEndpoint& endpoint, TimePoint now) const;

  /// Whether the endpoint was ejected because connections to it failed.
  bool IsUnreachable(const ServiceEndpoint& endpoint) const;

  /// Failure rate of recent requests, weighted by age.
  double FailureShare(const ServiceEndpoint& endpoint, TimePoint now) const;

  std::size_t size() const { return m_entries.size(); }

 private:
  struct ReportedServiceTime {
    Duration value{};
    TimePoint reported_at;
  };

  struct Entry {
    std::uint32_t outstanding = 0;
    std::optional<ReportedLoad> load;
    TimePoint reported_at;
    /// Requests of this node in flight when the report arrived.
    std::uint32_t outstanding_at_report = 0;
    /// Reported service times by kind.
    std::map<std::uint64_t, ReportedServiceTime> service_times;

    /// Moving mean of the logarithm of the latency in seconds.
    std::optional<double> log_latency;
    TimePoint last_latency_at;

    std::uint32_t consecutive_failures = 0;
    std::uint32_t consecutive_connect_failures = 0;
    /// Decayed counts of results and of failures, as of `results_at`.
    double results = 0;
    double failures = 0;
    TimePoint results_at;
    /// The failure rate that the owner node reported last.
    double reported_failure_share = 0;
    TimePoint failures_reported_at;

    std::uint32_t consecutive_ejections = 0;
    TimePoint ejected_until;
    bool ejected_at_connect = false;
    /// Start of the slow start; empty if the endpoint never needed one.
    std::optional<TimePoint> slow_start_since;
  };

  const Entry* Find(const ServiceEndpoint& endpoint) const;
  double DecayFactor(Duration age) const;
  double Weight(const Entry& entry, TimePoint now) const;
  double EstimatedInFlight(const Entry& entry, TimePoint now) const;
  void RecordLoad(Entry& entry, const EndpointResult& result, TimePoint now);
  void RecordLatency(Entry& entry, Duration latency, TimePoint now) const;
  void RecordFailureReport(Entry& entry,
                           const EndpointResult& result,
                           TimePoint now) const;
  double ReportedFailureShare(const Entry& entry, TimePoint now) const;
  void RecordSuccess(Entry& entry, TimePoint now) const;
  void RecordFailure(Entry& entry, bool at_connect, TimePoint now);
  void AddResult(Entry& entry, double failure, TimePoint now) const;
  bool IsOutlier(const Entry& entry) const;
  void Eject(Entry& entry, bool at_connect, TimePoint now) const;

  LoadTableOptions m_options;
  std::map<EndpointKey, Entry, EndpointKeyLess> m_entries;
  bool m_endpoints_known = false;
};

}  // namespace banyantrail
