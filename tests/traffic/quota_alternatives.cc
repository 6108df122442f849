#include "traffic/quota_alternatives.h"

#include <algorithm>
#include <deque>
#include <numeric>
#include <random>

#include "banyantrail/core/random.h"

namespace banyantrail::testing {
namespace {

constexpr std::size_t kWindowSteps = 5000;
constexpr double kStepsPerSecond = 1000;

/// Counts requests and the greatest number of grants in a window.
class Counter {
 public:
  void Arrived(bool is_granted) {
    ++m_offered;
    m_granted_now += is_granted ? 1 : 0;
    m_refused += is_granted ? 0 : 1;
  }

  void EndStep() {
    m_steps.push_back(m_granted_now);
    m_in_window += m_granted_now;
    m_granted_now = 0;
    if (m_steps.size() > kWindowSteps) {
      m_in_window -= m_steps.front();
      m_steps.pop_front();
    }
    m_max_in_window = std::max(m_max_in_window, m_in_window);
  }

  AlternativeOutcome Result(double messages,
                            double store_calls,
                            Duration duration) const {
    const double seconds_run = std::chrono::duration<double>(duration).count();
    return {.refused_share =
                static_cast<double>(m_refused) /
                static_cast<double>(std::max<std::uint64_t>(m_offered, 1)),
            .max_in_window = m_max_in_window,
            .messages_per_s = messages / seconds_run,
            .store_calls_per_s = store_calls / seconds_run};
  }

 private:
  std::deque<std::size_t> m_steps;
  std::size_t m_granted_now = 0;
  std::size_t m_in_window = 0;
  std::size_t m_max_in_window = 0;
  std::uint64_t m_offered = 0;
  std::uint64_t m_refused = 0;
};

std::size_t Arrivals(const AlternativeRun& run,
                     std::size_t node,
                     Duration time,
                     Rng& rng) {
  const double mean = run.load(node, time) / kStepsPerSecond;
  return mean > 0 ? std::poisson_distribution<std::size_t>(mean)(rng) : 0;
}

std::size_t StepsOf(const AlternativeRun& run) {
  return static_cast<std::size_t>(
      std::chrono::duration_cast<milliseconds>(run.duration).count());
}

}  // namespace

AlternativeOutcome RunGossipedAllowances(const AlternativeRun& run) {
  constexpr std::size_t kRound = 1000;
  constexpr std::size_t kGossipDelay = 500;
  /// Part of the limit that is divided evenly, for nodes without demand.
  constexpr double kEvenPart = 0.1;
  Rng rng(1);
  Counter counter;
  const auto count = static_cast<double>(run.nodes);
  std::vector<double> demand(run.nodes, 0);
  std::vector<double> published(run.nodes, 0);
  std::vector<double> rates(run.nodes, run.limit.requests_per_s / count);
  std::vector<double> tokens(run.nodes, 0);
  for (std::size_t step = 0; step < StepsOf(run); ++step) {
    if (step % kRound == 0) {
      published = demand;
      demand.assign(run.nodes, 0);
    }
    const double sum = std::accumulate(published.begin(), published.end(), 0.0);
    for (std::size_t node = 0; node < run.nodes; ++node) {
      if (step % kRound == kGossipDelay && sum > 0) {
        rates[node] =
            run.limit.requests_per_s *
            (kEvenPart / count + (1 - kEvenPart) * published[node] / sum);
      }
      const double capacity = std::max(
          run.limit.burst * rates[node] / run.limit.requests_per_s, 1.0);
      tokens[node] =
          std::min(tokens[node] + rates[node] / kStepsPerSecond, capacity);
      const std::size_t arrivals = Arrivals(run, node, milliseconds(step), rng);
      for (std::size_t i = 0; i < arrivals; ++i) {
        const bool is_granted = tokens[node] >= 1;
        tokens[node] -= is_granted ? 1 : 0;
        counter.Arrived(is_granted);
      }
      demand[node] += static_cast<double>(arrivals);
    }
    counter.EndStep();
  }
  // One message for each node and round reaches the others over the tree.
  const double messages = count * static_cast<double>(StepsOf(run)) / kRound;
  return counter.Result(messages, 0, run.duration);
}

AlternativeOutcome RunStorePortions(const AlternativeRun& run) {
  constexpr double kPortionSeconds = 0.2;
  constexpr std::size_t kPortionLifetime = 500;
  constexpr double kDecay = 0.999;
  Rng rng(1);
  Counter counter;
  double bucket = 0;
  double store_calls = 0;
  std::vector<double> rate(run.nodes, 0);
  std::vector<std::size_t> portions(run.nodes, 0);
  std::vector<std::size_t> expires(run.nodes, 0);
  std::vector<std::size_t> refused_until(run.nodes, 0);
  for (std::size_t step = 0; step < StepsOf(run); ++step) {
    const Duration now = milliseconds(step);
    const bool is_out = now >= run.outage_start && now < run.outage_end;
    bucket = std::min(bucket + run.limit.requests_per_s / kStepsPerSecond,
                      run.limit.burst);
    for (std::size_t node = 0; node < run.nodes; ++node) {
      const std::size_t arrivals = Arrivals(run, node, now, rng);
      // Exponentially weighted over a second.
      rate[node] = kDecay * rate[node] + static_cast<double>(arrivals);
      portions[node] = step < expires[node] ? portions[node] : 0;
      for (std::size_t i = 0; i < arrivals; ++i) {
        if (portions[node] == 0 && step >= refused_until[node]) {
          ++store_calls;
          const double wanted = std::max(1.0, rate[node] * kPortionSeconds);
          portions[node] =
              is_out ? 0 : static_cast<std::size_t>(std::min(bucket, wanted));
          bucket -= static_cast<double>(portions[node]);
          expires[node] = step + kPortionLifetime;
          refused_until[node] = portions[node] == 0 ? step + 100 : 0;
        }
        const bool is_granted = portions[node] > 0;
        portions[node] -= is_granted ? 1 : 0;
        counter.Arrived(is_granted);
      }
    }
    counter.EndStep();
  }
  return counter.Result(0, store_calls, run.duration);
}

}  // namespace banyantrail::testing
