#pragma once

#include <functional>
#include <map>
#include <optional>
#include <vector>

#include "banyantrail/core/clock.h"
#include "banyantrail/wire/member_record.h"

namespace banyantrail {

/// The backend servers that announced themselves to this node. Pure: time comes
/// in with each call.
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
  bool Announce(BackendServerRecord record, TimePoint now);

  /// It leaves for good. Returns whether it was known.
  bool Leave(const BackendServerId& id);

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
    TimePoint last_heartbeat;
  };

  Options m_options;
  bool m_draining = false;
  std::map<BackendServerId, Entry> m_entries;
};

}  // namespace banyantrail
