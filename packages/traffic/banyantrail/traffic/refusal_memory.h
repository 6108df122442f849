#pragma once

#include <map>

#include "banyantrail/core/clock.h"
#include "banyantrail/traffic/load_table.h"

namespace banyantrail {

/// What an entry node asked an owner node for.
struct RoomRequest {
  std::uint8_t priority = 0;
  /// What was left until the caller's deadline.
  Duration slack{};

  friend bool operator==(const RoomRequest&, const RoomRequest&) = default;
};

/// Remembers for a moment which owner nodes had no room in time, so that a
/// flood of requests that cannot be served is refused at the entry node, at
/// once, instead of being carried to one owner node after the other. A refusal
/// speaks only for requests that are no more urgent and have no more time than
/// the refused one.
class RefusalMemory {
 public:
  struct Options {
    /// How long a refusal counts. About the time in which a few slots of a
    /// backend server come free.
    Duration hold = milliseconds(30);
  };

  explicit RefusalMemory(Options options) : m_options(options) {}

  /// The owner node refused the request for lack of room or time.
  void OnRefused(const EndpointKey& endpoint,
                 const RoomRequest& request,
                 TimePoint now);

  /// The owner node took a request, so it has room again.
  void OnTaken(const EndpointKey& endpoint);

  /// Whether the request would be refused there.
  bool WouldRefuse(const EndpointKey& endpoint,
                   const RoomRequest& request,
                   TimePoint now) const;

  /// Forgets refusals that no longer count.
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
