#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <utility>

#include "banyantrail/core/clock.h"
#include "banyantrail/core/ids.h"
#include "banyantrail/wire/rollout_messages.h"

namespace banyantrail {

/// A response, or the lack of one, from a backend server of some version.
struct VersionResponse {
  ServiceName service;
  RuleName rule;
  bool is_target_version = false;
  bool failed = false;
  /// The backend server may not have warmed up. About half of the latency is
  /// then not held against its version.
  bool is_warming_up = false;
  Duration latency{};
};

/// Counts of responses by the number of their ResponseClass.
using ResponseCounts = std::map<std::uint32_t, std::uint32_t>;

/// The class of a response. Latencies outside the range of the classes get the
/// first or the last one.
ResponseClass ClassOf(const VersionResponse& response);

/// Counts the requests in progress by version, and the responses of services
/// with a roll-out, at one entry node.
class RolloutCounter {
 public:
  /// Counts a request as in progress while it exists.
  class InFlight {
   public:
    InFlight(RolloutCounter* counter,
             const ServiceName& service,
             const std::string& version);
    InFlight(const InFlight&) = delete;
    InFlight& operator=(const InFlight&) = delete;
    ~InFlight();

   private:
    RolloutCounter* m_counter;
    std::pair<ServiceName, std::string> m_key;
  };

  void Record(const VersionResponse& response);

  /// Starts counting for a new roll-out.
  void Reset(const ServiceName& service) { m_counts.erase(service); }

  const ResponseCounts& counts(const ServiceName& service) {
    return m_counts[service];
  }

  /// Requests in progress at versions other than `version`.
  std::uint32_t OthersInFlight(const ServiceName& service,
                               const std::string& version) const;

 private:
  std::map<ServiceName, ResponseCounts> m_counts;
  std::map<std::pair<ServiceName, std::string>, std::uint32_t> m_in_flight;
};

}  // namespace banyantrail
