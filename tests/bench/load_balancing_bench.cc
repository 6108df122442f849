// Compares load balancing policies on backend servers that differ in speed or
// in failure rate, in virtual time. Prints the p50 and p99 latency and the
// percentages of requests that miss a deadline of 2 s and that fail.
// Usage: load_balancing_bench [seed]

#include <algorithm>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <deque>
#include <functional>
#include <queue>
#include <string>
#include <vector>

#include "banyantrail/traffic/choose_endpoint.h"

namespace {

using banyantrail::BackendServerId;
using banyantrail::ChoiceMethod;
using banyantrail::ChoiceOptions;
using banyantrail::DomainId;
using banyantrail::Duration;
using banyantrail::EndpointOutcome;
using banyantrail::LoadTable;
using banyantrail::LoadTableOptions;
using banyantrail::milliseconds;
using banyantrail::NodeId;
using banyantrail::RegionId;
using banyantrail::ReportedLoad;
using banyantrail::Rng;
using banyantrail::seconds;
using banyantrail::ServiceEndpoint;
using banyantrail::TimePoint;

constexpr std::size_t kServerCount = 6;
constexpr std::size_t kProxyCount = 6;
constexpr std::uint32_t kSlots = 20;
constexpr Duration kServiceTime = milliseconds(20);
constexpr Duration kRunDuration = seconds(60);
constexpr Duration kWarmUp = seconds(10);
constexpr Duration kDeadline = seconds(2);
constexpr Duration kOneWayLatency = banyantrail::microseconds(500);
constexpr Duration kFailedServiceTime = milliseconds(2);

enum class Policy {
  kRoundRobin,
  kRandom,
  kTwoChoicesByUtilisation,
  kTwoChoicesWithoutEjection,
  kTwoChoices
};

struct Scenario {
  const char* name;
  /// Requests per second, over all proxies.
  double rate = 0;
  /// Factor on the mean service time of each server.
  std::vector<double> service_time_factor =
      std::vector<double>(kServerCount, 1);
  std::vector<double> failure_probability =
      std::vector<double>(kServerCount, 0);
};

struct Request {
  std::size_t proxy = 0;
  std::size_t server = 0;
  TimePoint start;
  bool fails = false;
};

struct Event {
  TimePoint time;
  std::uint64_t sequence = 0;
  std::function<void()> run;

  friend bool operator<(const Event& left, const Event& right) {
    return std::tie(right.time, right.sequence) <
           std::tie(left.time, left.sequence);
  }
};

struct Server {
  std::size_t running = 0;
  std::deque<Request> waiting;

  std::uint32_t InFlight() const {
    return static_cast<std::uint32_t>(running + waiting.size());
  }
};

struct Statistics {
  double p50_ms = 0;
  double p99_ms = 0;
  double late_percent = 0;
  double failed_percent = 0;
};

/// Simulates one policy under one scenario.
class Simulation {
 public:
  Simulation(const Scenario& scenario, Policy policy, std::uint64_t seed)
      : m_scenario(scenario),
        m_policy(policy),
        m_rng(seed),
        m_servers(kServerCount) {
    for (std::size_t i = 0; i < kServerCount; ++i) {
      m_endpoints.push_back({.id = BackendServerId(std::to_string(i)),
                             .owner = NodeId(std::to_string(i)),
                             .domain = DomainId("d"),
                             .region = RegionId("r"),
                             .slots = kSlots});
    }
    const LoadTableOptions options{
        .ejects_outliers = policy == Policy::kTwoChoices ||
                           policy == Policy::kTwoChoicesByUtilisation};
    m_loads.assign(kProxyCount, LoadTable(options));
    m_next_round_robin.assign(kProxyCount, 0);
  }

  Statistics Run() {
    GenerateRequest();
    while (!m_events.empty() && m_now < TimePoint{} + kRunDuration) {
      const Event event = m_events.top();
      m_events.pop();
      m_now = event.time;
      event.run();
    }
    return Summarise();
  }

 private:
  void Schedule(Duration delay, std::function<void()> run) {
    m_events.push({.time = m_now + delay,
                   .sequence = m_next_sequence++,
                   .run = std::move(run)});
  }

  static Duration FromSeconds(double value) {
    return std::chrono::duration_cast<Duration>(
        std::chrono::duration<double>(value));
  }

  void GenerateRequest() {
    Send({.proxy = banyantrail::UniformIndex(m_rng, kProxyCount),
          .start = m_now});
    const double interval =
        std::exponential_distribution<double>(m_scenario.rate)(m_rng);
    Schedule(FromSeconds(interval), [this] { GenerateRequest(); });
  }

  ChoiceMethod MethodOfPolicy() const {
    switch (m_policy) {
      case Policy::kRandom:
        return ChoiceMethod::kRandom;
      case Policy::kTwoChoicesByUtilisation:
        return ChoiceMethod::kTwoChoicesByUtilisation;
      default:
        return ChoiceMethod::kTwoChoices;
    }
  }

  std::size_t ChooseServer(std::size_t proxy) {
    if (m_policy == Policy::kRoundRobin) {
      return m_next_round_robin[proxy]++ % kServerCount;
    }
    const ChoiceOptions options{.domain = DomainId("d"),
                                .region = RegionId("r"),
                                .method = MethodOfPolicy()};
    const ServiceEndpoint* chosen =
        ChooseEndpoint(m_endpoints, m_loads[proxy], options, m_now, m_rng);
    return static_cast<std::size_t>(chosen - m_endpoints.data());
  }

  void Send(Request request) {
    m_measured += IsMeasured(request) ? 1 : 0;
    request.server = ChooseServer(request.proxy);
    request.fails = std::bernoulli_distribution(
        m_scenario.failure_probability[request.server])(m_rng);
    m_loads[request.proxy].OnStart(m_endpoints[request.server], m_now);
    Schedule(kOneWayLatency, [this, request] { ReceiveRequest(request); });
  }

  void ReceiveRequest(const Request& request) {
    Server& server = m_servers[request.server];
    if (server.running < kSlots) {
      StartService(request);
    } else {
      server.waiting.push_back(request);
    }
  }

  void StartService(const Request& request) {
    ++m_servers[request.server].running;
    const double mean = std::chrono::duration<double>(kServiceTime).count() *
                        m_scenario.service_time_factor[request.server];
    const Duration service_time =
        request.fails ? kFailedServiceTime
                      : FromSeconds(std::exponential_distribution<double>(
                            1 / mean)(m_rng));
    Schedule(service_time, [this, request] { FinishService(request); });
  }

  void FinishService(const Request& request) {
    Server& server = m_servers[request.server];
    const ReportedLoad load{.in_flight = server.InFlight(), .limit = kSlots};
    --server.running;
    if (!server.waiting.empty()) {
      const Request next = server.waiting.front();
      server.waiting.pop_front();
      StartService(next);
    }
    Schedule(kOneWayLatency,
             [this, request, load] { ReceiveResponse(request, load); });
  }

  void ReceiveResponse(const Request& request, const ReportedLoad& load) {
    m_loads[request.proxy].OnResult(
        m_endpoints[request.server],
        {.outcome = request.fails ? EndpointOutcome::kFailed
                                  : EndpointOutcome::kSuccess,
         .load = load,
         .latency = m_now - request.start},
        m_now);
    if (!IsMeasured(request)) {
      return;
    }
    if (request.fails) {
      ++m_failed;
    } else if (m_now - request.start <= kDeadline) {
      m_latencies_ms.push_back(
          std::chrono::duration<double, std::milli>(m_now - request.start)
              .count());
    }
  }

  static bool IsMeasured(const Request& request) {
    return request.start >= TimePoint{} + kWarmUp &&
           request.start < TimePoint{} + kRunDuration - kDeadline;
  }

  /// A request that misses its deadline counts with a latency equal to the
  /// deadline.
  Statistics Summarise() {
    const std::size_t late = m_measured - m_failed - m_latencies_ms.size();
    m_latencies_ms.insert(
        m_latencies_ms.end(), late,
        std::chrono::duration<double, std::milli>(kDeadline).count());
    std::sort(m_latencies_ms.begin(), m_latencies_ms.end());
    const std::size_t count = m_latencies_ms.size();
    return {.p50_ms = m_latencies_ms[count / 2],
            .p99_ms = m_latencies_ms[count * 99 / 100],
            .late_percent = Percent(late),
            .failed_percent = Percent(m_failed)};
  }

  double Percent(std::size_t count) const {
    return 100 * static_cast<double>(count) / static_cast<double>(m_measured);
  }

  Scenario m_scenario;
  Policy m_policy;
  Rng m_rng;
  TimePoint m_now;
  std::uint64_t m_next_sequence = 0;
  std::priority_queue<Event> m_events;
  std::vector<ServiceEndpoint> m_endpoints;
  std::vector<Server> m_servers;
  std::vector<LoadTable> m_loads;
  std::vector<std::size_t> m_next_round_robin;
  std::vector<double> m_latencies_ms;
  std::size_t m_measured = 0;
  std::size_t m_failed = 0;
};

}  // namespace

int main(int argc, char** argv) {
  const std::uint64_t seed = argc > 1 ? std::strtoull(argv[1], nullptr, 10) : 1;
  const std::vector<Scenario> scenarios{
      {.name = "even, 70 %", .rate = 4200},
      {.name = "uneven speeds, 75 %",
       .rate = 3250,
       .service_time_factor = {1, 1, 1, 2, 2, 3}},
      {.name = "one 10 times slower, 65 %",
       .rate = 3300,
       .service_time_factor = {1, 1, 1, 1, 1, 10}},
      {.name = "one failing 30 %, 65 %",
       .rate = 3300,
       .failure_probability = {0.3, 0, 0, 0, 0, 0}},
      {.name = "one failing always, 65 %",
       .rate = 3300,
       .failure_probability = {1, 0, 0, 0, 0, 0}},
  };
  std::printf("seed %llu\n", static_cast<unsigned long long>(seed));
  std::printf("%-27s %-24s %9s %9s %9s %9s\n", "scenario", "policy", "p50 ms",
              "p99 ms", "late %", "failed %");
  for (const Scenario& scenario : scenarios) {
    const std::pair<Policy, const char*> policies[] = {
        {Policy::kRoundRobin, "round robin"},
        {Policy::kRandom, "random"},
        {Policy::kTwoChoicesByUtilisation, "two choices, utilisation"},
        {Policy::kTwoChoicesWithoutEjection, "two choices, no ejection"},
        {Policy::kTwoChoices, "two choices"}};
    for (const auto& [policy, name] : policies) {
      const Statistics statistics = Simulation(scenario, policy, seed).Run();
      std::printf("%-27s %-24s %9.1f %9.1f %9.2f %9.2f\n", scenario.name, name,
                  statistics.p50_ms, statistics.p99_ms, statistics.late_percent,
                  statistics.failed_percent);
    }
  }
  return 0;
}
