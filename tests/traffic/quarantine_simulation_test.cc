// Honest requests beside backend servers that crash by themselves: how many the
// quarantine refuses, and for how long.

#include "banyantrail/traffic/quarantine.h"

#include <algorithm>
#include <cstdio>
#include <map>
#include <queue>
#include <random>
#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

using banyantrail::CrashReportMessage;
using banyantrail::Duration;
using banyantrail::milliseconds;
using banyantrail::NodeId;
using banyantrail::Quarantine;
using banyantrail::QuarantineOptions;
using banyantrail::RequestFingerprint;
using banyantrail::seconds;
using banyantrail::TimePoint;

namespace {

constexpr unsigned kSeeds = 1000;
constexpr std::size_t kServers = 12;
constexpr Duration kRun = seconds(120);
constexpr Duration kDowntime = seconds(2);
constexpr Duration kRetryDelay = milliseconds(10);
constexpr double kServiceTimeS = 0.1;

struct Load {
  const char* name;
  double requests_per_s = 100;
  /// Of the service, that is of all its servers.
  double seconds_between_crashes = 5;
  /// Requests that come again and again, such as lookups, and their share. The
  /// others come once.
  unsigned common_requests = 20;
  double common_share = 0.5;
};

struct Outcome {
  std::size_t sent = 0;
  std::size_t refused = 0;
  std::size_t crashes = 0;
  Duration longest_refusal{};
};

/// One server at each of several nodes, in virtual time.
class HonestLoad {
 public:
  HonestLoad(const Load& load, unsigned seed)
      : m_load(load), m_rng(seed), m_servers(kServers) {}

  Outcome Run() {
    Schedule(Event{}, 1 / m_load.requests_per_s);
    for (std::size_t server = 0; server < kServers; ++server) {
      ScheduleCrash(server);
    }
    while (m_events.top().at < kStart + kRun) {
      const Event event = m_events.top();
      m_events.pop();
      m_now = event.at;
      Handle(event);
    }
    for (const auto& [request, times] : m_refusals) {
      m_outcome.longest_refusal =
          std::max(m_outcome.longest_refusal, times.second - times.first);
    }
    return m_outcome;
  }

 private:
  static constexpr TimePoint kStart = TimePoint{} + seconds(1000);

  struct Event {
    enum Kind { kArrival, kEnd, kCrash };

    TimePoint at;
    Kind kind = kArrival;
    std::size_t server = 0;
    std::uint64_t run = 0;

    friend bool operator<(const Event& a, const Event& b) {
      return a.at > b.at;
    }
  };

  struct Server {
    Quarantine quarantine;
    TimePoint up_at = kStart;
    std::map<std::uint64_t, RequestFingerprint> runs;
  };

  double Random() { return std::uniform_real_distribution<>(0, 1)(m_rng); }

  void Schedule(Event event, double mean_s) {
    const std::chrono::duration<double> delay(
        std::exponential_distribution<>(1 / mean_s)(m_rng));
    event.at = m_now + std::chrono::duration_cast<Duration>(delay);
    m_events.push(event);
  }

  void ScheduleCrash(std::size_t server) {
    Schedule(Event{.kind = Event::kCrash, .server = server},
             m_load.seconds_between_crashes * kServers);
  }

  void Handle(const Event& event) {
    if (event.kind == Event::kArrival) {
      Send(NewRequest());
      Schedule(Event{}, 1 / m_load.requests_per_s);
    } else if (event.kind == Event::kCrash) {
      Crash(event.server);
      ScheduleCrash(event.server);
    } else {
      Server& server = m_servers[event.server];
      const auto run = server.runs.find(event.run);
      if (run != server.runs.end()) {
        server.quarantine.OnCompleted(run->second, m_now);
        server.runs.erase(run);
      }
    }
  }

  /// Some of the common requests are more common than others.
  RequestFingerprint NewRequest() {
    constexpr RequestFingerprint kFirstUncommon = 1'000'000;
    if (Random() < m_load.common_share) {
      return static_cast<RequestFingerprint>(m_load.common_requests * Random() *
                                             Random());
    }
    return kFirstUncommon + m_last_run * 7919;
  }

  bool IsCommon(RequestFingerprint request) const {
    return request < m_load.common_requests;
  }

  void Send(RequestFingerprint request) {
    std::size_t chosen = m_rng() % kServers;
    for (std::size_t i = 0; i < kServers && m_servers[chosen].up_at > m_now;
         ++i) {
      chosen = (chosen + 1) % kServers;
    }
    Server& server = m_servers[chosen];
    ++m_outcome.sent;
    if (server.quarantine.Check(request, m_now) ==
        Quarantine::Verdict::kRefuse) {
      ++m_outcome.refused;
      m_refusals.try_emplace(request, m_now, m_now).first->second.second =
          m_now;
      return;
    }
    server.runs[++m_last_run] = request;
    Schedule(Event{.kind = Event::kEnd, .server = chosen, .run = m_last_run},
             kServiceTimeS);
  }

  /// Lookups that are lost are sent once more; orders are not.
  void Crash(std::size_t index) {
    Server& crashed = m_servers[index];
    ++m_outcome.crashes;
    crashed.up_at = m_now + kDowntime;
    std::vector<RequestFingerprint> lost;
    for (const auto& [run, request] : crashed.runs) {
      lost.push_back(request);
    }
    crashed.runs.clear();
    CrashReportMessage report{
        .node = NodeId("n" + std::to_string(index)),
        .sequence = m_outcome.crashes,
        .suspects = crashed.quarantine.OnCrash(lost, m_now)};
    for (std::size_t other = 0; other < kServers; ++other) {
      if (other != index && !report.suspects.empty()) {
        m_servers[other].quarantine.OnReport(report, m_now);
      }
    }
    m_now += kRetryDelay;
    for (const RequestFingerprint request : lost) {
      if (IsCommon(request)) {
        Send(request);
      }
    }
    m_now -= kRetryDelay;
  }

  Load m_load;
  std::mt19937_64 m_rng;
  std::vector<Server> m_servers;
  std::priority_queue<Event> m_events;
  TimePoint m_now = kStart;
  std::uint64_t m_last_run = 0;
  /// First and last refusal of each request.
  std::map<RequestFingerprint, std::pair<TimePoint, TimePoint>> m_refusals;
  Outcome m_outcome;
};

}  // namespace

TEST_GROUP(QuarantineSimulation){};

// Honest requests were refused for minutes: they are in flight at each crash.
TEST(QuarantineSimulation,
     HonestRequestsAreRefusedNoLongerThanOneCrashExplains) {
  Duration longest{};
  for (const Load& load :
       {Load{.name = "a crash in 60 s", .seconds_between_crashes = 60},
        Load{.name = "a crash in 5 s"},
        Load{.name = "few different requests, a crash in 5 s",
        .common_requests = 3,
        .common_share = 0.9},
        Load{.name = "light load, a crash in 5 s", .requests_per_s = 10}}) {
    Outcome total;
    unsigned seeds_with_refusals = 0;
    unsigned first_seed = 0;
    for (unsigned seed = 1; seed <= kSeeds; ++seed) {
      const Outcome outcome = HonestLoad(load, seed).Run();
      total.sent += outcome.sent;
      total.refused += outcome.refused;
      total.crashes += outcome.crashes;
      total.longest_refusal =
          std::max(total.longest_refusal, outcome.longest_refusal);
      seeds_with_refusals += outcome.refused > 0 ? 1 : 0;
      if (outcome.refused > 0 && first_seed == 0) {
        first_seed = seed;
      }
    }
    std::printf(
        "  %s: %zu crashes, %zu sent, %zu refused (%.4f %%) in %u of %u seeds "
        "(first %u), for %.0f s at most\n",
        load.name, total.crashes, total.sent, total.refused,
        100.0 * static_cast<double>(total.refused) /
            static_cast<double>(total.sent),
        seeds_with_refusals, kSeeds, first_seed,
        std::chrono::duration<double>(total.longest_refusal).count());
    longest = std::max(longest, total.longest_refusal);
  }
  CHECK(longest <= QuarantineOptions{}.min_refusal_time);
}
