#pragma once

#include <prometheus/counter.h>
#include <prometheus/family.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include <map>
#include <string>
#include <string_view>

namespace banyantrail {

/// The metrics of one node. Labelled counters are created on first use. All
/// functions are thread-safe, because prometheus-cpp is.
class Metrics {
 public:
  Metrics();

  /// A request refused by this node, by reason.
  void CountRefusal(std::string_view listener, std::string_view reason);
  /// A decision for or against a retry after a failed attempt.
  void CountRetry(std::string_view decision);
  /// A response sent to a caller, by rank priority and status class.
  void CountResponse(unsigned priority, unsigned status);
  /// A request of a team with a rate limit: "granted", "given_back",
  /// "refused_limit" or "refused_no_response".
  void CountTeamRequest(std::string_view team, std::string_view outcome);
  /// Bytes exchanged with other nodes, including frame headers.
  void CountPeerBytes(std::string_view direction, std::size_t bytes);
  /// A dropped message or closed connection between nodes, by reason.
  void CountPeerFault(std::string_view reason);
  /// An event of the control plane.
  void CountControlEvent(std::string_view event, double count = 1);
  /// Time in seconds from the head of a caller's request to the end of the
  /// response.
  void ObserveLatency(unsigned priority, double seconds);
  /// Sets a gauge, for example the applied revision.
  void SetGauge(const std::string& name, double value);

  /// All metrics in the Prometheus text format.
  std::string Serialize() const;

 private:
  using CounterFamily = prometheus::Family<prometheus::Counter>;

  prometheus::Registry m_registry;
  CounterFamily& m_refusals;
  CounterFamily& m_retries;
  CounterFamily& m_responses;
  CounterFamily& m_team_requests;
  CounterFamily& m_peer_bytes;
  CounterFamily& m_peer_faults;
  CounterFamily& m_control_events;
  prometheus::Family<prometheus::Histogram>& m_latency;
};

}  // namespace banyantrail
