#pragma once

#include <functional>
#include <map>
#include <optional>
#include <vector>

#include "banyantrail/core/clock.h"
#include "banyantrail/wire/departure.h"
#include "banyantrail/wire/member_record.h"

namespace banyantrail {

/// What a backend server says of itself.
struct Announcement {
  BackendServerRecord record;
  /// Orders the boots of backend servers that follow each other under one id or
  /// address: greater for a later start. 0 when it is not told.
  std::uint64_t born = 0;
  /// Counts the announcements of one boot. 0 when it is not told.
  std::uint64_t sequence = 0;
  /// How much longer it is slow after its start.
  Duration warm_up_left{};

  friend bool operator==(const Announcement&, const Announcement&) = default;
};

/// The backend servers that announced themselves to this node. Announcements
/// may come late and crossed: what is older than the last word known of a
/// backend server changes nothing, and one that left stays away until a later
/// boot. Pure: time comes in with each call.
class LocalBackendServers {
 public:
  struct Options {
    /// An announcement lasts this long unless it is repeated.
    Duration heartbeat_timeout = milliseconds(2500);
    std::size_t max_servers = 64;
  };

  explicit LocalBackendServers(Options options) : m_options(options) {}

  /// Takes an announcement or a heartbeat. Returns whether anything but the
  /// time of the heartbeat changed. Throws Error{kInvalidDeclaration} above
  /// the limit.
  bool Announce(Announcement announcement, TimePoint now);

  /// It leaves for good. Returns whether it was known.
  bool Leave(const Departure& departure, TimePoint now);

  /// Boots that have begun to leave, in the order of their ids. Kept for a
  /// while beyond their end, for their late announcements.
  std::vector<Departure> Departures() const;

  /// Boots that an earlier life of this node knew to leave: they get no work,
  /// whatever they announced before that arrives late.
  void Restore(const std::vector<Departure>& departures, TimePoint now);

  /// Marks those as down whose heartbeat stopped, and forgets them after ten
  /// times that time. Returns whether anything changed.
  bool Expire(TimePoint now);

  /// Its connections fail: no work until its next heartbeat. Returns whether
  /// that is news.
  bool MarkDown(const BackendServerId& id);

  /// Marks all as draining, for the planned stop of the node.
  void DrainAll();

  const BackendServerRecord* Find(const BackendServerId& id) const;
  std::vector<BackendServerRecord> Records() const;

 private:
  struct Entry {
    BackendServerRecord record;
    std::uint64_t born = 0;
    std::uint64_t sequence = 0;
    TimePoint last_heartbeat;
    /// It has announced that it drains.
    bool is_leaving = false;
  };

  /// A boot that left.
  struct Departed {
    std::uint64_t born = 0;
    TimePoint since;
  };

  void NoteDeparture(const Departure& departure, TimePoint now);
  bool IsOutdated(const Announcement& announcement) const;
  void ForgetEarlierAt(const Announcement& announcement);

  Options m_options;
  bool m_draining = false;
  std::map<BackendServerId, Entry> m_entries;
  std::map<BackendServerId, Departed> m_departed;
};

}  // namespace banyantrail
