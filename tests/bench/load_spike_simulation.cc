#include "bench/load_spike_simulation.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <queue>
#include <random>
#include <utility>

#include "banyantrail/core/random.h"

namespace banyantrail::bench {

namespace {

constexpr milliseconds kTick{10};
constexpr milliseconds kRecoveryBucket{500};
constexpr double kRecoveredGoodRatio = 0.99;
constexpr seconds kCooldown{60};
constexpr double kP99 = 0.99;

double ToSeconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

Duration FromSeconds(double value) {
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(value));
}

/// The mean of a log-normal distribution is its median times
/// exp(sigma^2 / 2).
double MeanServiceSeconds(const RankLoad& rank) {
  return rank.median_service_seconds *
         std::exp(rank.service_sigma * rank.service_sigma / 2);
}

struct Request {
  std::size_t rank = 0;
  std::size_t service = 0;
  std::size_t server = 0;
  TimePoint arrived;
  TimePoint started;
  TimePoint deadline;
  Duration service_time{};
  /// Ratio of the service time to that on an idle backend server.
  double slowdown = 1;
  bool retried = false;
};

struct Server {
  AdmissionQueue queue;
  std::uint32_t slots = 0;
  std::size_t running = 0;
};

enum class EventKind : std::uint8_t { kArrival, kCompletion, kTick };

struct Event {
  TimePoint time;
  std::uint64_t sequence = 0;
  EventKind kind = EventKind::kTick;
  /// Rank for kArrival, request id for kCompletion.
  std::uint64_t id = 0;
};

struct IsLater {
  bool operator()(const Event& a, const Event& b) const {
    return std::pair(a.time, a.sequence) > std::pair(b.time, b.sequence);
  }
};

struct Bucket {
  std::uint64_t offered = 0;
  std::uint64_t good = 0;
};

/// A load spike and the results collected so far.
struct Phase {
  LoadSpike spike;
  TimePoint start;
  TimePoint end;
  std::vector<RankResult> ranks;
  std::vector<std::vector<double>> latencies;
  std::vector<std::map<std::int64_t, Bucket>> buckets;
};

class Simulation {
 public:
  explicit Simulation(const SimulationOptions& options);
  std::vector<LoadSpikeResult> Run();

 private:
  void AddServers();
  void AddPhases();
  void ScheduleEvent(TimePoint time, EventKind kind, std::uint64_t id);
  void Handle(const Event& event);
  void ScheduleArrival(std::size_t rank, TimePoint after);
  void OnArrival(std::size_t rank);
  void OnCompletion(RequestId id);
  void OnTick();
  void Offer(RequestId id);
  void Start(RequestId id);
  void Shed(RequestId id);
  void Apply(const AdmissionChanges& changes);
  void RecordGood(const Request& request);
  void RecordSlotTime(const Request& request, bool good);
  std::size_t ChooseServer(std::size_t service);
  double LoadOf(std::size_t server) const;
  std::size_t ChooseService();
  Phase* PhaseAt(TimePoint time);
  double SpikeFactor(std::size_t rank, TimePoint time);
  LoadSpikeResult Summarise(Phase& phase) const;

  const SimulationOptions& m_options;
  std::vector<Server> m_servers;
  /// Index of the first server of each service, followed by the number of
  /// servers.
  std::vector<std::size_t> m_first_server;
  double m_slots = 0;
  std::vector<Phase> m_phases;
  TimePoint m_now;
  TimePoint m_end;
  std::priority_queue<Event, std::vector<Event>, IsLater> m_events;
  std::uint64_t m_next_sequence = 0;
  RequestId m_next_request = 1;
  std::map<RequestId, Request> m_requests;
  /// Arrivals and service times of each rank have a generator of their own, so
  /// that they do not depend on the policy.
  std::vector<Rng> m_rank_rngs;
  Rng m_choice_rng;
};

Simulation::Simulation(const SimulationOptions& options)
    : m_options(options),
      m_now(TimePoint{} + seconds(1000)),
      m_choice_rng(options.seed) {
  AddServers();
  AddPhases();
  for (std::size_t rank = 0; rank < options.fleet.ranks.size(); ++rank) {
    m_rank_rngs.emplace_back(options.seed * 1000 + rank);
    ScheduleArrival(rank, m_now);
  }
  ScheduleEvent(m_now + kTick, EventKind::kTick, 0);
}

void Simulation::AddServers() {
  for (const ServiceSize& service : m_options.fleet.services) {
    m_first_server.push_back(m_servers.size());
    AdmissionOptions admission = m_options.admission;
    admission.announced_slots =
        service.slots * m_options.announced_slots_factor;
    for (const RankLoad& rank : m_options.fleet.ranks) {
      admission.ranks.push_back(
          {.priority = rank.priority, .share_percent = rank.share_percent});
    }
    for (std::size_t i = 0; i < service.backend_servers; ++i) {
      m_servers.push_back(
          {.queue = AdmissionQueue(admission), .slots = service.slots});
      m_slots += service.slots;
    }
  }
  m_first_server.push_back(m_servers.size());
}

void Simulation::AddPhases() {
  const std::size_t ranks = m_options.fleet.ranks.size();
  TimePoint start = m_now + m_options.warm_up;
  for (const LoadSpike& spike : m_options.spikes) {
    m_phases.push_back(
        {.spike = spike,
         .start = start,
         .end = start + m_options.spike_duration,
         .ranks = std::vector<RankResult>(ranks),
         .latencies = std::vector<std::vector<double>>(ranks),
         .buckets = std::vector<std::map<std::int64_t, Bucket>>(ranks)});
    start += m_options.spike_duration + m_options.pause;
  }
  // Allows requests of the last spike to finish; their deadlines are up to 60
  // s.
  m_end = start + kCooldown;
}

std::vector<LoadSpikeResult> Simulation::Run() {
  while (!m_events.empty() && m_events.top().time <= m_end) {
    const Event event = m_events.top();
    m_events.pop();
    m_now = event.time;
    Handle(event);
  }
  std::vector<LoadSpikeResult> results;
  for (Phase& phase : m_phases) {
    results.push_back(Summarise(phase));
  }
  return results;
}

void Simulation::ScheduleEvent(TimePoint time,
                               EventKind kind,
                               std::uint64_t id) {
  m_events.push(
      {.time = time, .sequence = m_next_sequence++, .kind = kind, .id = id});
}

void Simulation::Handle(const Event& event) {
  switch (event.kind) {
    case EventKind::kArrival:
      OnArrival(event.id);
      break;
    case EventKind::kCompletion:
      OnCompletion(event.id);
      break;
    case EventKind::kTick:
      OnTick();
      break;
  }
}

void Simulation::ScheduleArrival(std::size_t rank, TimePoint after) {
  const RankLoad& load = m_options.fleet.ranks[rank];
  const double rate = SpikeFactor(rank, after) * load.offered_load * m_slots /
                      MeanServiceSeconds(load);
  const double gap =
      std::exponential_distribution<double>(rate)(m_rank_rngs[rank]);
  ScheduleEvent(after + FromSeconds(gap), EventKind::kArrival, rank);
}

void Simulation::OnArrival(std::size_t rank) {
  const RankLoad& load = m_options.fleet.ranks[rank];
  Rng& rng = m_rank_rngs[rank];
  std::lognormal_distribution<double> service_time(
      std::log(load.median_service_seconds), load.service_sigma);
  const RequestId id = m_next_request++;
  m_requests[id] = {.rank = rank,
                    .service = ChooseService(),
                    .arrived = m_now,
                    .deadline = m_now + load.deadline,
                    .service_time = FromSeconds(service_time(rng))};
  if (Phase* phase = PhaseAt(m_now)) {
    ++phase->ranks[rank].offered;
    ++phase->buckets[rank][(m_now - phase->start) / kRecoveryBucket].offered;
  }
  Offer(id);
  ScheduleArrival(rank, m_now);
}

void Simulation::Offer(RequestId id) {
  Request& request = m_requests.at(id);
  request.server = ChooseServer(request.service);
  const OfferResult result = m_servers[request.server].queue.Offer(
      id, m_options.fleet.ranks[request.rank].priority, request.deadline,
      m_now);
  if (std::holds_alternative<Admitted>(result)) {
    Start(id);
  } else if (std::holds_alternative<Refused>(result)) {
    m_requests.erase(id);
  }
}

void Simulation::Start(RequestId id) {
  Request& request = m_requests.at(id);
  Server& server = m_servers[request.server];
  const bool overloaded = server.running >= server.slots;
  if (overloaded && m_options.announced_slots_factor == 1) {
    Shed(id);
    return;
  }
  ++server.running;
  if (overloaded) {
    request.slowdown = static_cast<double>(server.running) / server.slots;
    request.service_time = std::chrono::duration_cast<Duration>(
        request.service_time * request.slowdown);
  }
  request.started = m_now;
  ScheduleEvent(std::min(m_now + request.service_time, request.deadline),
                EventKind::kCompletion, id);
}

void Simulation::Shed(RequestId id) {
  Request& request = m_requests.at(id);
  if (Phase* phase = PhaseAt(m_now)) {
    ++phase->ranks[request.rank].shed_by_backend_server;
  }
  AdmissionQueue& queue = m_servers[request.server].queue;
  const AdmissionChanges changes =
      queue.Release(id, {.result = AttemptResult::kShed}, m_now);
  // A shed request was not executed, so it is retried once, with a new choice
  // of backend server.
  if (request.retried) {
    m_requests.erase(id);
  } else {
    request.retried = true;
    Offer(id);
  }
  Apply(changes);
}

void Simulation::OnCompletion(RequestId id) {
  const Request request = m_requests.at(id);
  Server& server = m_servers[request.server];
  --server.running;
  const Duration latency = m_now - request.started;
  const bool good = latency >= request.service_time;
  if (good) {
    RecordGood(request);
  }
  RecordSlotTime(request, good);
  m_requests.erase(id);
  const AttemptResult attempt_result =
      good ? AttemptResult::kCompleted : AttemptResult::kTimedOut;
  Apply(server.queue.Release(id, {.result = attempt_result, .latency = latency},
                             m_now));
}

void Simulation::OnTick() {
  for (Server& server : m_servers) {
    Apply(server.queue.Expire(m_now));
  }
  ScheduleEvent(m_now + kTick, EventKind::kTick, 0);
}

void Simulation::Apply(const AdmissionChanges& changes) {
  for (const RefusedRequest& refused : changes.refused) {
    m_requests.erase(refused.request);
  }
  for (const RequestId admitted : changes.admitted) {
    Start(admitted);
  }
}

void Simulation::RecordGood(const Request& request) {
  if (Phase* phase = PhaseAt(request.arrived)) {
    ++phase->ranks[request.rank].good;
    ++phase
          ->buckets[request.rank]
                   [(request.arrived - phase->start) / kRecoveryBucket]
          .good;
    phase->latencies[request.rank].push_back(
        ToSeconds(m_now - request.arrived));
  }
}

void Simulation::RecordSlotTime(const Request& request, bool good) {
  for (Phase& phase : m_phases) {
    const TimePoint from = std::max(request.started, phase.start);
    const TimePoint to = std::min(m_now, phase.end);
    if (to > from) {
      const double share = ToSeconds(to - from) / request.slowdown /
                           (m_slots * ToSeconds(m_options.spike_duration));
      phase.ranks[request.rank].slot_time_share += share;
      phase.ranks[request.rank].useful_slot_time_share += good ? share : 0;
    }
  }
}

std::size_t Simulation::ChooseServer(std::size_t service) {
  const std::size_t first = m_first_server[service];
  const std::size_t count = m_first_server[service + 1] - first;
  const std::size_t first_choice = first + UniformIndex(m_choice_rng, count);
  const std::size_t second_choice = first + UniformIndex(m_choice_rng, count);
  return LoadOf(first_choice) <= LoadOf(second_choice) ? first_choice
                                                       : second_choice;
}

double Simulation::LoadOf(std::size_t server) const {
  const AdmissionLoad load = m_servers[server].queue.load();
  return static_cast<double>(load.in_flight + load.queued) /
         static_cast<double>(load.limit);
}

std::size_t Simulation::ChooseService() {
  const std::size_t server = UniformIndex(m_choice_rng, m_servers.size());
  const auto above =
      std::upper_bound(m_first_server.begin(), m_first_server.end(), server);
  return static_cast<std::size_t>(above - m_first_server.begin()) - 1;
}

Phase* Simulation::PhaseAt(TimePoint time) {
  for (Phase& phase : m_phases) {
    if (time >= phase.start && time < phase.end) {
      return &phase;
    }
  }
  return nullptr;
}

double Simulation::SpikeFactor(std::size_t rank, TimePoint time) {
  const Phase* phase = PhaseAt(time);
  const std::uint8_t priority = m_options.fleet.ranks[rank].priority;
  const bool is_spiking = phase != nullptr && phase->spike.priority == priority;
  return is_spiking ? phase->spike.factor : 1;
}

LoadSpikeResult Simulation::Summarise(Phase& phase) const {
  LoadSpikeResult result{.spike = phase.spike, .ranks = phase.ranks};
  for (std::size_t rank = 0; rank < result.ranks.size(); ++rank) {
    RankResult& summary = result.ranks[rank];
    result.capacity_used += summary.useful_slot_time_share;
    std::vector<double>& latencies = phase.latencies[rank];
    if (!latencies.empty()) {
      const auto nth =
          latencies.begin() + static_cast<std::ptrdiff_t>(
                                  kP99 * static_cast<double>(latencies.size()));
      std::nth_element(latencies.begin(), nth, latencies.end());
      summary.p99_seconds = *nth;
    }
    for (const auto& [number, bucket] : phase.buckets[rank]) {
      if (static_cast<double>(bucket.good) <
          kRecoveredGoodRatio * static_cast<double>(bucket.offered)) {
        summary.recovery_seconds =
            ToSeconds(kRecoveryBucket) * static_cast<double>(number + 1);
      }
    }
  }
  return result;
}

}  // namespace

double RankResult::GoodRatio() const {
  return offered == 0
             ? 1
             : static_cast<double>(good) / static_cast<double>(offered);
}

Fleet LiushuFleet() {
  return {.name = "Liushu",
          .services =
              {{.name = "catalogue", .backend_servers = 6, .slots = 20},
               {.name = "order-desk", .backend_servers = 5, .slots = 20},
               {.name = "upload-counter", .backend_servers = 3, .slots = 20}},
          .ranks = {{.name = "orders",
                     .priority = 0,
                     .share_percent = 50,
                     .offered_load = 0.20,
                     .median_service_seconds = 0.08,
                     .service_sigma = 0.5,
                     .deadline = seconds(2)},
                    {.name = "lookups",
                     .priority = 1,
                     .share_percent = 30,
                     .offered_load = 0.35,
                     .median_service_seconds = 0.03,
                     .service_sigma = 0.5,
                     .deadline = seconds(1)},
                    {.name = "uploads",
                     .priority = 2,
                     .share_percent = 20,
                     .offered_load = 0.25,
                     .median_service_seconds = 0.5,
                     .service_sigma = 1.2,
                     .deadline = seconds(60)}}};
}

Fleet PistaClaraFleet() {
  return {.name = "Pista Clara",
          .services = {{.name = "consulta", .backend_servers = 5, .slots = 10},
                       {.name = "cobro", .backend_servers = 4, .slots = 10},
                       {.name = "bitacora", .backend_servers = 4, .slots = 10}},
          .ranks = {{.name = "charges",
                     .priority = 0,
                     .share_percent = 60,
                     .offered_load = 0.20,
                     .median_service_seconds = 0.08,
                     .service_sigma = 0.5,
                     .deadline = seconds(2)},
                    {.name = "lookups",
                     .priority = 1,
                     .share_percent = 25,
                     .offered_load = 0.35,
                     .median_service_seconds = 0.03,
                     .service_sigma = 0.5,
                     .deadline = seconds(1)},
                    {.name = "logs",
                     .priority = 2,
                     .share_percent = 15,
                     .offered_load = 0.25,
                     .median_service_seconds = 0.5,
                     .service_sigma = 1.2,
                     .deadline = seconds(60)}}};
}

std::vector<LoadSpikeResult> Simulate(const SimulationOptions& options) {
  return Simulation(options).Run();
}

}  // namespace banyantrail::bench
