#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "banyantrail/core/clock.h"
#include "banyantrail/traffic/admission.h"

namespace banyantrail::bench {

/// One service of a fleet.
struct ServiceSize {
  std::string name;
  std::size_t upstreams = 0;
  std::uint32_t slots = 0;
};

/// Work of one rank. Service times are log-normal.
struct RankLoad {
  std::string name;
  std::uint8_t priority = 0;
  std::uint8_t share_percent = 0;
  /// Slots that the rank keeps busy at 1x, as a part of the fleet's slots.
  double demand = 0;
  double median_service_seconds = 0;
  double service_sigma = 0;
  Duration deadline{};
};

struct Fleet {
  std::string name;
  std::vector<ServiceSize> services;
  std::vector<RankLoad> ranks;
};

/// The fleets of the brief's "Sizes of today". Every service takes work of all
/// ranks in the same proportions, so that the ranks compete everywhere.
Fleet LiushuFleet();
Fleet PistaClaraFleet();

/// A stretch of time in which one rank arrives at `factor` times its demand.
struct Flood {
  std::uint8_t priority = 0;
  double factor = 1;
};

/// What one rank got during a flood.
struct RankResult {
  std::uint64_t offered = 0;
  /// Whole answers within the deadline.
  std::uint64_t good = 0;
  std::uint64_t shed_by_backend_server = 0;
  /// Of good answers, from arrival.
  double p99_seconds = 0;
  /// Part of all slot time that the rank held.
  double held_share = 0;
  /// Part of all slot time that went into good answers.
  double kept_share = 0;
  /// From the flood's start to the end of the last half second in which fewer
  /// than 99 % of the arrivals got a good answer.
  double recovery_seconds = 0;

  double GoodRatio() const;
};

struct FloodResult {
  Flood flood;
  std::vector<RankResult> ranks;
  /// Part of all slot time that went into good answers of any rank.
  double capacity_used = 0;
};

struct SimulationOptions {
  Fleet fleet;
  /// Floods one after the other, each followed by a pause at 1x.
  std::vector<Flood> floods;
  /// Policy under test; slots and ranks are filled in from the fleet.
  AdmissionOptions admission;
  /// Slots that backend servers announce for each one they have. At 1 they shed
  /// what is above their slots; else they slow down in proportion.
  std::uint32_t announced_per_slot = 1;
  std::uint64_t seed = 1;
  Duration warm_up = seconds(10);
  Duration flood_length = seconds(30);
  Duration pause = seconds(10);
};

/// Runs the fleet in virtual time. The same seed gives the same arrivals and
/// service times under every policy.
std::vector<FloodResult> Simulate(const SimulationOptions& options);

}  // namespace banyantrail::bench
