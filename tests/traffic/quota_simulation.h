#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <set>
#include <string>
#include <vector>

#include "banyantrail/core/random.h"
#include "banyantrail/traffic/team_quotas.h"

namespace banyantrail::testing {

/// Results of one simulated run.
struct QuotaOutcome {
  std::uint64_t offered = 0;
  std::uint64_t granted = 0;
  std::uint64_t refused = 0;
  std::uint64_t messages = 0;
  /// Grants of all nodes together, in order of time.
  std::vector<TimePoint> grants;
  Duration longest_wait{};

  double RefusedShare() const;
  /// The greatest number of grants in any window.
  std::size_t MaxInWindow(Duration window) const;
};

/// The TeamQuotas of all nodes of a fleet, in virtual time: one team, Poisson
/// arrivals, message delays within and between failure domains.
class QuotaSimulation {
 public:
  struct Options {
    std::size_t domains = 3;
    std::size_t nodes = 71;
    RoutedTeam team;
    std::uint64_t seed = 1;
    /// Modifies the options of each node, for example to disable a mechanism.
    std::function<void(TeamQuotas::Options&)> configure = [](auto&) {};
  };

  explicit QuotaSimulation(Options options);

  /// Adds Poisson arrivals at the nodes; `rate` is the sum over them.
  void AddLoad(double rate,
               const std::vector<std::size_t>& nodes,
               Duration from,
               Duration to);

  /// Calls `action` at a time.
  void At(Duration time, std::function<void()> action);

  void Run(Duration until);

  // Faults and changes, for use within actions.
  void Kill(std::size_t node);
  /// Restarts a killed node with an empty state.
  void Start(std::size_t node);
  /// Blocks messages between two sets of nodes.
  void Partition(const std::set<std::size_t>& side);
  void Heal() { m_side.clear(); }
  void SetTeam(const RoutedTeam& team);
  /// Tells `observers` that `subject` is in a state.
  void SetState(const std::vector<std::size_t>& observers,
                std::size_t subject,
                MemberState state);
  void SetIsolated(std::size_t node, bool is_isolated);
  /// The first holder that the node asks.
  std::size_t HolderOf(std::size_t node) const;

  std::vector<std::size_t> AllNodes() const;
  std::vector<std::size_t> NodesOf(std::size_t domain) const;
  std::size_t DomainOf(std::size_t node) const {
    return node % m_options.domains;
  }
  const QuotaOutcome& outcome() const { return m_outcome; }
  void ResetOutcome() { m_outcome = {}; }

 private:
  struct Event {
    TimePoint time;
    std::uint64_t order = 0;
    std::function<void()> action;
  };
  struct Later {
    bool operator()(const Event& a, const Event& b) const {
      return a.time != b.time ? a.time > b.time : a.order > b.order;
    }
  };
  struct Node {
    std::unique_ptr<TeamQuotas> quotas;
    std::vector<MemberState> view;
    bool is_isolated = false;
    std::uint64_t run = 0;
  };

  void Schedule(TimePoint time, std::function<void()> action);
  void ScheduleArrival(double rate, std::size_t node, TimePoint end);
  void UpdateMembers(std::size_t node);
  void Carry(std::size_t node, const QuotaEffects& effects);
  void Send(std::size_t from, const QuotaMessage& message);
  void Receive(std::size_t from, std::size_t to, const QuotaMessage& message);
  bool IsCut(std::size_t a, std::size_t b) const;
  void ScheduleWakeup(std::size_t node);

  Options m_options;
  Rng m_rng;
  TimePoint m_now;
  std::priority_queue<Event, std::vector<Event>, Later> m_events;
  std::uint64_t m_order = 0;
  std::uint64_t m_last_request = 0;
  std::vector<NodeId> m_names;
  std::map<NodeId, std::size_t> m_indexes;
  /// The records of the members while they are alive.
  QuotaMembers::SharedMembers m_records;
  std::vector<Node> m_nodes;
  std::set<std::size_t> m_side;
  std::map<std::uint64_t, TimePoint> m_arrivals;
  QuotaOutcome m_outcome;
};

}  // namespace banyantrail::testing
