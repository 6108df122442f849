#pragma once

#include <map>

#include "banyantrail/core/clock.h"
#include "banyantrail/traffic/load_table.h"

namespace banyantrail {

/// Urgency of a request that an entry node sends to an owner node.
struct RequestUrgency {
  std::uint8_t priority = 0;
  /// Time left until the caller's deadline.
  Duration slack{};

  friend bool operator==(const RequestUrgency&,
                         const RequestUrgency&) = default;
};

/// Short-lived cache of refusals by owner nodes that had no capacity. Under
/// overload it lets an entry node refuse requests at once that would otherwise
/// be sent to one owner node after another in vain. A refusal applies only to
/// requests that are no more urgent and have no more time left than the refused
/// one.
class RefusalCache {
 public:
  struct Options {
    /// Lifetime of an entry. In this time a few slots of a backend server
    /// typically become free.
    Duration ttl = milliseconds(30);
  };

  explicit RefusalCache(Options options) : m_options(options) {}

  /// The owner node refused the request for lack of capacity or time.
  void OnRefused(const EndpointKey& endpoint,
                 const RequestUrgency& urgency,
                 TimePoint now);

  /// The owner node admitted a request, so it has capacity again.
  void OnAdmitted(const EndpointKey& endpoint);

  /// Whether a cached refusal of the endpoint, given as EndpointKey or
  /// ServiceEndpoint, applies to a request of this urgency.
  template <typename Endpoint>
  bool WouldRefuse(const Endpoint& endpoint,
                   const RequestUrgency& urgency,
                   TimePoint now) const {
    const auto found = m_refusals.find(endpoint);
    return found != m_refusals.end() && Applies(found->second, urgency, now);
  }

  /// Removes expired entries.
  void EvictExpired(TimePoint now);

 private:
  struct Refusal {
    RequestUrgency urgency;
    TimePoint expires_at;
  };

  static bool Applies(const Refusal& refusal,
                      const RequestUrgency& urgency,
                      TimePoint now);

  Options m_options;
  std::map<EndpointKey, Refusal, EndpointKeyLess> m_refusals;
};

}  // namespace banyantrail
