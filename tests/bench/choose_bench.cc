// Compares load balancing policies on backend servers that differ in speed or
// in failure rate, in virtual time. Prints the p50 and p99 latency and the
// percentages of requests that miss a deadline of 2 s and that fail.
// Usage: choose_bench [seed]

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

constexpr std::size_t kServers = 6;
constexpr std::size_t kProxies = 6;
constexpr std::uint32_t kSlots = 20;
constexpr Duration kServiceTime = milliseconds(20);
constexpr Duration kRunTime = seconds(60);
constexpr Duration kWarmUp = seconds(10);
constexpr Duration kDeadline = seconds(2);
constexpr Duration kOneWay = banyantrail::microseconds(500);
constexpr Duration kFailureTime = milliseconds(2);

enum class Way { kRoundRobin, kRandom, kByLoad, kNoEjection, kTwoChoices };

struct Scenario {
  const char* name;
  /// Requests per second, over all proxies.
  double rate = 0;
  /// Factor on the mean service time of each server.
  std::vector<double> slowness = std::vector<double>(kServers, 1);
  std::vector<double> failure_share = std::vector<double>(kServers, 0);
};

struct Request {
  std::size_t proxy = 0;
  std::size_t server = 0;
  TimePoint start;
  bool fails = false;
};

struct Event {
  TimePoint at;
  std::uint64_t order = 0;
  std::function<void()> run;

  friend bool operator<(const Event& left, const Event& right) {
    return std::tie(right.at, right.order) < std::tie(left.at, left.order);
  }
};

struct Server {
  std::size_t running = 0;
  std::deque<Request> waiting;

  std::uint32_t InFlight() const {
    return static_cast<std::uint32_t>(running + waiting.size());
  }
};

struct Figures {
  double p50_ms = 0;
  double p99_ms = 0;
  double late_percent = 0;
  double failed_percent = 0;
};

/// Simulates one policy under one scenario.
class Simulation {
 public:
  Simulation(const Scenario& scenario, Way way, std::uint64_t seed)
      : m_scenario(scenario), m_way(way), m_rng(seed), m_servers(kServers) {
    for (std::size_t i = 0; i < kServers; ++i) {
      m_endpoints.push_back({.id = BackendServerId(std::to_string(i)),
                             .owner = NodeId(std::to_string(i)),
                             .domain = DomainId("d"),
                             .region = RegionId("r"),
                             .slots = kSlots});
    }
    const LoadTableOptions options{.ejects_outliers = way == Way::kTwoChoices ||
                                                      way == Way::kByLoad};
    m_loads.assign(kProxies, LoadTable(options));
    m_next_turn.assign(kProxies, 0);
  }

  Figures Run() {
    Arrive();
    while (!m_events.empty() && m_now < TimePoint{} + kRunTime) {
      const Event event = m_events.top();
      m_events.pop();
      m_now = event.at;
      event.run();
    }
    return Summary();
  }

 private:
  void At(Duration delay, std::function<void()> run) {
    m_events.push(
        {.at = m_now + delay, .order = m_next_order++, .run = std::move(run)});
  }

  static Duration FromSeconds(double value) {
    return std::chrono::duration_cast<Duration>(
        std::chrono::duration<double>(value));
  }

  void Arrive() {
    Send({.proxy = banyantrail::UniformIndex(m_rng, kProxies), .start = m_now});
    const double gap =
        std::exponential_distribution<double>(m_scenario.rate)(m_rng);
    At(FromSeconds(gap), [this] { Arrive(); });
  }

  ChoiceMethod Method() const {
    switch (m_way) {
      case Way::kRandom:
        return ChoiceMethod::kRandom;
      case Way::kByLoad:
        return ChoiceMethod::kTwoChoicesByUtilisation;
      default:
        return ChoiceMethod::kTwoChoices;
    }
  }

  std::size_t ChooseServer(std::size_t proxy) {
    if (m_way == Way::kRoundRobin) {
      return m_next_turn[proxy]++ % kServers;
    }
    const ChoiceOptions options{
        .domain = DomainId("d"), .region = RegionId("r"), .method = Method()};
    const ServiceEndpoint* chosen =
        ChooseEndpoint(m_endpoints, m_loads[proxy], options, m_now, m_rng);
    return static_cast<std::size_t>(chosen - m_endpoints.data());
  }

  void Send(Request request) {
    m_counted += IsCounted(request) ? 1 : 0;
    request.server = ChooseServer(request.proxy);
    request.fails = std::bernoulli_distribution(
        m_scenario.failure_share[request.server])(m_rng);
    m_loads[request.proxy].OnStart(m_endpoints[request.server], m_now);
    At(kOneWay, [this, request] { Reach(request); });
  }

  void Reach(const Request& request) {
    Server& server = m_servers[request.server];
    if (server.running < kSlots) {
      Start(request);
    } else {
      server.waiting.push_back(request);
    }
  }

  void Start(const Request& request) {
    ++m_servers[request.server].running;
    const double mean = std::chrono::duration<double>(kServiceTime).count() *
                        m_scenario.slowness[request.server];
    const Duration length =
        request.fails ? kFailureTime
                      : FromSeconds(std::exponential_distribution<double>(
                            1 / mean)(m_rng));
    At(length, [this, request] { Finish(request); });
  }

  void Finish(const Request& request) {
    Server& server = m_servers[request.server];
    const ReportedLoad load{.in_flight = server.InFlight(), .limit = kSlots};
    --server.running;
    if (!server.waiting.empty()) {
      const Request next = server.waiting.front();
      server.waiting.pop_front();
      Start(next);
    }
    At(kOneWay, [this, request, load] { Answer(request, load); });
  }

  void Answer(const Request& request, const ReportedLoad& load) {
    m_loads[request.proxy].OnResult(
        m_endpoints[request.server],
        {.outcome = request.fails ? EndpointOutcome::kFailed
                                  : EndpointOutcome::kSuccess,
         .load = load,
         .latency = m_now - request.start},
        m_now);
    if (!IsCounted(request)) {
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

  static bool IsCounted(const Request& request) {
    return request.start >= TimePoint{} + kWarmUp &&
           request.start < TimePoint{} + kRunTime - kDeadline;
  }

  /// A request that misses its deadline counts with a latency equal to the
  /// deadline.
  Figures Summary() {
    const std::size_t late = m_counted - m_failed - m_latencies_ms.size();
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
    return 100 * static_cast<double>(count) / static_cast<double>(m_counted);
  }

  Scenario m_scenario;
  Way m_way;
  Rng m_rng;
  TimePoint m_now;
  std::uint64_t m_next_order = 0;
  std::priority_queue<Event> m_events;
  std::vector<ServiceEndpoint> m_endpoints;
  std::vector<Server> m_servers;
  std::vector<LoadTable> m_loads;
  std::vector<std::size_t> m_next_turn;
  std::vector<double> m_latencies_ms;
  std::size_t m_counted = 0;
  std::size_t m_failed = 0;
};

}  // namespace

int main(int argc, char** argv) {
  const std::uint64_t seed = argc > 1 ? std::strtoull(argv[1], nullptr, 10) : 1;
  const std::vector<Scenario> scenarios{
      {.name = "even, 70 %", .rate = 4200},
      {.name = "uneven speeds, 75 %",
       .rate = 3250,
       .slowness = {1, 1, 1, 2, 2, 3}},
      {.name = "one 10 times slower, 65 %",
       .rate = 3300,
       .slowness = {1, 1, 1, 1, 1, 10}},
      {.name = "one failing 30 %, 65 %",
       .rate = 3300,
       .failure_share = {0.3, 0, 0, 0, 0, 0}},
      {.name = "one failing always, 65 %",
       .rate = 3300,
       .failure_share = {1, 0, 0, 0, 0, 0}},
  };
  std::printf("seed %llu\n", static_cast<unsigned long long>(seed));
  std::printf("%-27s %-24s %9s %9s %9s %9s\n", "scenario", "policy", "p50 ms",
              "p99 ms", "late %", "failed %");
  for (const Scenario& scenario : scenarios) {
    const std::pair<Way, const char*> ways[] = {
        {Way::kRoundRobin, "round robin"},
        {Way::kRandom, "random"},
        {Way::kByLoad, "two choices, utilisation"},
        {Way::kNoEjection, "two choices, no ejection"},
        {Way::kTwoChoices, "two choices"}};
    for (const auto& [way, name] : ways) {
      const Figures figures = Simulation(scenario, way, seed).Run();
      std::printf("%-27s %-24s %9.1f %9.1f %9.2f %9.2f\n", scenario.name, name,
                  figures.p50_ms, figures.p99_ms, figures.late_percent,
                  figures.failed_percent);
    }
  }
  return 0;
}
