#include "banyantrail/node/metrics.h"

#include <prometheus/text_serializer.h>

namespace banyantrail {
namespace {

/// Upper bounds of the latency buckets, in seconds.
const prometheus::Histogram::BucketBoundaries kLatencyBuckets = {
    0.001, 0.002, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 10};

prometheus::Family<prometheus::Counter>& RegisterCounters(
    prometheus::Registry& registry,
    const std::string& name,
    const std::string& help) {
  return prometheus::BuildCounter().Name(name).Help(help).Register(registry);
}

std::string StatusClass(unsigned status) {
  constexpr unsigned kStatusesPerClass = 100;
  return std::to_string(status / kStatusesPerClass) + "xx";
}

}  // namespace

Metrics::Metrics()
    : m_refusals(
          RegisterCounters(m_registry,
                           "banyantrail_refusals_total",
                           "Requests that this node refused, by reason")),
      m_retries(RegisterCounters(m_registry,
                                 "banyantrail_retries_total",
                                 "Decisions after failed attempts, by reason")),
      m_responses(RegisterCounters(m_registry,
                                   "banyantrail_answers_total",
                                   "Answers passed to callers")),
      m_team_requests(
          RegisterCounters(m_registry,
                           "banyantrail_team_requests_total",
                           "Requests of teams with a rate limit, by outcome")),
      m_peer_bytes(RegisterCounters(m_registry,
                                    "banyantrail_peer_bytes_total",
                                    "Bytes of messages between nodes")),
      m_peer_faults(RegisterCounters(m_registry,
                                     "banyantrail_peer_faults_total",
                                     "Peer messages and connections given up")),
      m_control_events(
          RegisterCounters(m_registry,
                           "banyantrail_control_events_total",
                           "Events of membership and distribution")),
      m_latency(prometheus::BuildHistogram()
                    .Name("banyantrail_request_seconds")
                    .Help("Time from a caller's head to the end of its answer")
                    .Register(m_registry)) {}

void Metrics::CountRefusal(std::string_view listener, std::string_view reason) {
  m_refusals
      .Add({{"listener", std::string(listener)},
            {"reason", std::string(reason)}})
      .Increment();
}

void Metrics::CountRetry(std::string_view decision) {
  m_retries.Add({{"decision", std::string(decision)}}).Increment();
}

void Metrics::CountResponse(unsigned priority, unsigned status) {
  m_responses
      .Add({{"priority", std::to_string(priority)},
            {"status", StatusClass(status)}})
      .Increment();
}

void Metrics::CountTeamRequest(std::string_view team,
                               std::string_view outcome) {
  m_team_requests
      .Add({{"team", std::string(team)}, {"outcome", std::string(outcome)}})
      .Increment();
}

void Metrics::CountPeerBytes(std::string_view direction, std::size_t bytes) {
  m_peer_bytes.Add({{"direction", std::string(direction)}})
      .Increment(static_cast<double>(bytes));
}

void Metrics::CountPeerFault(std::string_view reason) {
  m_peer_faults.Add({{"reason", std::string(reason)}}).Increment();
}

void Metrics::CountControlEvent(std::string_view event, double count) {
  m_control_events.Add({{"event", std::string(event)}}).Increment(count);
}

void Metrics::ObserveLatency(unsigned priority, double seconds) {
  m_latency.Add({{"priority", std::to_string(priority)}}, kLatencyBuckets)
      .Observe(seconds);
}

void Metrics::SetGauge(const std::string& name, double value) {
  prometheus::BuildGauge()
      .Name(name)
      .Help(name)
      .Register(m_registry)
      .Add({})
      .Set(value);
}

std::string Metrics::Serialize() const {
  return prometheus::TextSerializer().Serialize(m_registry.Collect());
}

}  // namespace banyantrail
