#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "banyantrail/core/backoff.h"
#include "banyantrail/core/boot_clock.h"
#include "banyantrail/distribution/configuration_store.h"
#include "banyantrail/distribution/store_follower.h"

namespace banyantrail {

struct ConfigurationStoreTaskOptions {
  NodeId node;
  /// Whether the store already had a configuration before this node started.
  /// Then the node reads it at once, without the assurance that it is the
  /// newest one, to serve what it can until a watching node confirms that.
  bool reads_at_start = false;
  /// Returns the entry that the store should hold for this node.
  std::function<NodeEntry()> own_entry;
  /// Receives the entry that the node stored before it restarted, if any,
  /// before the first write.
  std::function<void(const NodeEntry&)> on_previous_entry =
      [](const NodeEntry&) {};
  std::uint64_t seed = 0;
  /// Maximum duration of one watch for a configuration. A store that recovers
  /// from an outage may never respond to watches started before it, so this
  /// limits how long a node misses changes after the recovery. Other nodes rely
  /// on a watcher for only slightly longer, see
  /// StoreFollower::Options::max_age.
  milliseconds watch_wait{1000};
  /// How often a node that relies on another node's watch calls store_duty.
  Duration duty_check_interval = milliseconds(100);
  /// How long a node that catches up waits for the store to give the missing
  /// revision to a read that may be stale, before it reads it at full cost.
  Duration catch_up_wait = milliseconds(300);
  /// Changes less than this apart form a burst. A watch would return each of
  /// them as a whole configuration, so during a burst the node reads only the
  /// newest one, every burst_read_interval.
  Duration burst_gap = milliseconds(700);
  Duration burst_read_interval = milliseconds(300);
  /// Delay between two attempts to find the first configuration or peers.
  BackoffOptions search_backoff{.initial = milliseconds(150),
                                .max = seconds(1)};
  /// Delay between two calls to a store that does not respond. The maximum
  /// leaves time to read a change within the propagation time limit once the
  /// store responds again.
  BackoffOptions outage_backoff{.initial = milliseconds(100),
                                .max = milliseconds(700)};
  /// The same while other_node_watches returns true.
  Duration relaxed_outage_delay = seconds(2);
  /// Delay between two searches for peers if the first one found some, which
  /// may all be starting.
  Duration peer_search_interval = seconds(2);
  /// Delay between two attempts to write the own entry.
  BackoffOptions entry_backoff{.initial = milliseconds(150), .max = seconds(2)};
  /// How long AwaitPreviousEntry and AwaitStoredEntry wait for a store that
  /// does not respond. Together below the time in which the sender of an
  /// announcement expects its acknowledgement.
  Duration previous_entry_wait = milliseconds(400);
  Duration stored_entry_wait = milliseconds(500);
  /// How often the own entry is checked once it is written and peers are found.
  Duration entry_check_interval = seconds(60);
  /// After a change of the store's era, the own entry is written again at a
  /// random moment within this time, so that the nodes of a fleet do not all
  /// call the store at once.
  milliseconds entry_check_spread{1500};

  std::function<void(std::shared_ptr<const Release>)> on_release;
  /// The store's newest configuration cannot be read.
  std::function<void(const UnreadableRelease&)> on_release_unreadable =
      [](const UnreadableRelease&) {};
  /// Receives the revision that the store shows as its newest, which may be
  /// older than one before.
  std::function<void(Revision)> on_store_head;
  /// The revision that the node has applied, which peers may have sent.
  std::function<Revision()> applied_revision = [] { return Revision{}; };
  /// Receives the revision that the store has just reported as its newest, and
  /// the size in bytes of the difference from the one before, and the store's
  /// era.
  std::function<void(Revision, std::size_t, std::uint64_t)> on_store_confirmed =
      [](Revision, std::size_t, std::uint64_t) {};
  /// Receives the newest revision in the store, and when the linearizable read
  /// or the watch that returned it was sent: at that moment it was the newest
  /// one, or older than this one. See KeyLease.
  std::function<void(Revision, BootTimePoint)> on_store_read =
      [](Revision, BootTimePoint) {};
  /// A call to read the configuration failed.
  std::function<void()> on_store_failed = [] {};
  /// What this node has to do itself, see StoreFollower.
  std::function<StoreDuty()> store_duty = [] {
    return StoreDuty{.kind = StoreDuty::Kind::kWatch};
  };
  /// Whether another node watches the store for this one, or tries to.
  std::function<bool()> other_node_watches = [] { return false; };
  std::function<void(std::vector<IpEndpoint>)> on_peers;
  /// Whether the node has joined its peers.
  std::function<bool()> has_joined;
  /// Counts an event of the given name in the metrics.
  std::function<void(const std::string&)> count_event = [](const std::string&) {
  };
};

}  // namespace banyantrail
