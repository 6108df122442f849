#pragma once

#include <functional>
#include <map>
#include <optional>
#include <vector>

#include "banyantrail/core/clock.h"
#include "banyantrail/wire/departure.h"
#include "banyantrail/wire/member_record.h"

namespace banyantrail {

/// A registration or heartbeat message of a backend server.
struct Announcement {
  BackendServerRecord record;
  /// Orders successive processes of backend servers that use the same id or
  /// address: greater for a later start. 0 if unknown.
  std::uint64_t generation = 0;
  /// Number of the announcement, counted from the start of the process. 0 if
  /// unknown.
  std::uint64_t sequence = 0;
  /// Remaining time until the backend server has warmed up after its start.
  Duration warm_up_remaining{};

  friend bool operator==(const Announcement&, const Announcement&) = default;
};

/// Registry of the backend servers that announced themselves to this node.
///
/// Announcements may arrive late and out of order. An announcement that is
/// older than the latest one from the same backend server is ignored, and so
/// is any announcement from a process that has already departed. Does no I/O;
/// the current time is passed to each call.
class LocalBackendServers {
 public:
  struct Options {
    /// A backend server without a heartbeat for longer than this is down.
    Duration heartbeat_timeout = milliseconds(2500);
    std::size_t max_servers = 64;
  };

  explicit LocalBackendServers(Options options) : m_options(options) {}

  /// Registers a backend server or processes its heartbeat. Returns whether
  /// anything except the time of the last heartbeat changed. Throws
  /// Error{kInvalidDeclaration} when Options::max_servers is exceeded, a name
  /// is not one, or a process has changed its service or address, and then
  /// changes nothing.
  bool Announce(Announcement announcement, TimePoint now);

  /// Removes a backend server, unless the departure is that of an earlier
  /// process. Returns whether it was removed.
  ///
  /// A node that has just restarted may be told of a departure, without its
  /// generation, before it knows the backend server. `max_generation` is the
  /// greatest one that the departed process can have.
  bool Deregister(const Departure& departure,
                  TimePoint now,
                  std::uint64_t max_generation = 0);

  /// Backend server processes that have announced a drain or have departed,
  /// ordered by id. Departed ones are kept for some time so that late
  /// announcements from them can be recognized.
  std::vector<Departure> Departures() const;

  /// Restores the departures known before this node restarted, so that late
  /// announcements do not register these backend servers again.
  void RestoreDepartures(const std::vector<Departure>& departures,
                         TimePoint now);

  /// Marks backend servers without a heartbeat within
  /// Options::heartbeat_timeout as down, and removes them after ten times this
  /// timeout. Departures are dropped after the same time. Returns whether any
  /// backend server changed.
  bool Expire(TimePoint now);

  /// Marks a backend server as down until its next heartbeat, for example
  /// because connections to it fail. Returns whether its state changed.
  bool MarkDown(const BackendServerId& id);

  /// Marks all backend servers, also those that register later, as draining.
  /// Used when the node shuts down.
  void DrainAll();

  const BackendServerRecord* Find(const BackendServerId& id) const;
  std::vector<BackendServerRecord> Records() const;

 private:
  struct Entry {
    BackendServerRecord record;
    std::uint64_t generation = 0;
    std::uint64_t sequence = 0;
    TimePoint last_heartbeat;
    /// The backend server itself has announced that it is draining.
    bool drain_announced = false;
  };

  /// The latest departed process of a backend server.
  struct DepartedProcess {
    std::uint64_t generation = 0;
    TimePoint departed_at;
  };

  void RecordDeparture(const Departure& departure, TimePoint now);
  void CheckIsSameProcess(const Announcement& announcement) const;
  bool IsOutdated(const Announcement& announcement) const;
  void RemovePredecessors(const Announcement& announcement);

  Options m_options;
  bool m_draining = false;
  std::map<BackendServerId, Entry> m_entries;
  std::map<BackendServerId, DepartedProcess> m_departed;
};

}  // namespace banyantrail
