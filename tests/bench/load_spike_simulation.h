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
  std::size_t backend_servers = 0;
  std::uint32_t slots = 0;
};

/// Load offered by one rank. Service times are log-normally distributed.
struct RankLoad {
  std::string name;
  std::uint8_t priority = 0;
  std::uint8_t share_percent = 0;
  /// Slots that the rank occupies on average at its normal rate, as a fraction
  /// of all slots of the fleet.
  double offered_load = 0;
  double median_service_seconds = 0;
  double service_sigma = 0;
  Duration deadline{};
};

struct Fleet {
  std::string name;
  std::vector<ServiceSize> services;
  std::vector<RankLoad> ranks;
};

/// The users' fleets. Every service receives requests of all ranks in the same
/// proportions, so that the ranks compete on every backend server.
Fleet LiushuFleet();
Fleet PistaClaraFleet();

/// A period in which requests of one rank arrive at `factor` times their normal
/// rate.
struct LoadSpike {
  std::uint8_t priority = 0;
  double factor = 1;
};

/// Results of one rank for a load spike.
struct RankResult {
  std::uint64_t offered = 0;
  /// Requests answered completely within their deadline.
  std::uint64_t good = 0;
  std::uint64_t shed_by_backend_server = 0;
  /// Time from arrival to the end of the response, for good requests.
  double p99_seconds = 0;
  /// Fraction of the total slot time that the rank occupied.
  double slot_time_share = 0;
  /// Fraction of the total slot time spent on good requests of the rank.
  double useful_slot_time_share = 0;
  /// Time from the start of the spike to the end of the last half second in
  /// which fewer than 99 % of the arriving requests turned out good.
  double recovery_seconds = 0;

  double GoodRatio() const;
};

struct LoadSpikeResult {
  LoadSpike spike;
  std::vector<RankResult> ranks;
  /// Fraction of the total slot time spent on good requests of any rank.
  double capacity_used = 0;
};

struct SimulationOptions {
  Fleet fleet;
  /// Consecutive load spikes, each followed by a pause at the normal rate.
  std::vector<LoadSpike> spikes;
  /// Admission policy under test. Slots and ranks are taken from `fleet`.
  AdmissionOptions admission;
  /// Ratio of the slots that backend servers announce to the slots they have.
  /// At 1, a backend server sheds requests beyond its slots. Above 1, it
  /// accepts them and slows down in proportion.
  std::uint32_t announced_slots_factor = 1;
  std::uint64_t seed = 1;
  Duration warm_up = seconds(10);
  Duration spike_duration = seconds(30);
  Duration pause = seconds(10);
};

/// Simulates the fleet in virtual time. The same seed gives the same arrivals
/// and service times under every policy.
std::vector<LoadSpikeResult> Simulate(const SimulationOptions& options);

}  // namespace banyantrail::bench
