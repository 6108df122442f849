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

/// The metrics of one node. Counters with a reason label come into being with
/// their first use; prometheus-cpp makes every call safe from any thread.
class Metrics {
 public:
  Metrics();

  /// A request refused by this node, by reason.
  void CountRefusal(std::string_view listener, std::string_view reason);
  /// An attempt sent again, or not, by reason.
  void CountRetry(std::string_view decision);
  /// An answer passed to a caller, by rank priority and status class.
  void CountAnswer(unsigned priority, unsigned status);
  /// Bytes between nodes, with frame headers.
  void CountPeerBytes(std::string_view direction, std::size_t bytes);
  /// A message or connection between nodes that was given up, by reason.
  void CountPeerFault(std::string_view reason);
  /// A peer message refused as malformed or stale, by reason.
  void CountControl(std::string_view event, double count = 1);
  /// Time from a caller's head to the end of its answer, in seconds.
  void ObserveLatency(unsigned priority, double seconds);
  /// A current value, for example the applied revision.
  void SetGauge(const std::string& name, double value);

  /// All metrics in the Prometheus text format.
  std::string Text() const;

 private:
  using CounterFamily = prometheus::Family<prometheus::Counter>;

  prometheus::Registry m_registry;
  CounterFamily& m_refusals;
  CounterFamily& m_retries;
  CounterFamily& m_answers;
  CounterFamily& m_peer_bytes;
  CounterFamily& m_peer_faults;
  CounterFamily& m_control;
  prometheus::Family<prometheus::Histogram>& m_latency;
};

}  // namespace banyantrail
