#pragma once

#include <map>

#include "banyantrail/core/clock.h"
#include "banyantrail/traffic/load_table.h"

namespace banyantrail {

/// Urgency of a request that an entry node sends to an owner node.
struct RoomRequest {
  std::uint8_t priority = 0;
  /// Time left until the caller's deadline.
  Duration slack{};

  friend bool operator==(const RoomRequest&, const RoomRequest&) = default;
};

/// Short-lived cache of refusals by owner nodes that had no capacity. Under
/// overload it lets an entry node refuse requests at once that would otherwise
/// be sent to one owner node after another in vain. A refusal applies only to
/// requests that are no more urgent and have no more time left than the refused
/// one.
class RefusalMemory {
 public:
  struct Options {
    /// Lifetime of an entry. In this time a few slots of a backend server
    /// typically become free.
    Duration hold = milliseconds(30);
  };

  explicit RefusalMemory(Options options) : m_options(options) {}

  /// The owner node refused the request for lack of capacity or time.
  void OnRefused(const EndpointKey& endpoint,
                 const RoomRequest& request,
                 TimePoint now);

  /// The owner node admitted a request, so it has capacity again.
  void OnTaken(const EndpointKey& endpoint);

  /// Whether a cached refusal of the endpoint applies to the request.
  bool WouldRefuse(const EndpointKey& endpoint,
                   const RoomRequest& request,
                   TimePoint now) const;

  /// Removes expired entries.
  void Tidy(TimePoint now);

 private:
  struct Refusal {
    RoomRequest request;
    TimePoint until;
  };

  Options m_options;
  std::map<EndpointKey, Refusal> m_refusals;
};

}  // namespace banyantrail
