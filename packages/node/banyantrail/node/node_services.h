#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <vector>

#include "banyantrail/config/release.h"
#include "banyantrail/core/boot_clock.h"
#include "banyantrail/distribution/rollout_store_task.h"
#include "banyantrail/distribution/store_follower.h"
#include "banyantrail/net/asio.h"
#include "banyantrail/node/control_messages.h"
#include "banyantrail/node/local_backend_servers.h"
#include "banyantrail/node/metrics.h"
#include "banyantrail/node/settings.h"
#include "banyantrail/wire/edge_dialect.h"

namespace banyantrail {

/// The interface of a node to the environment that it runs in. All functions
/// must be called on the I/O thread.
struct NodeServices {
  asio::io_context& io;
  const NodeSettings& settings;
  Metrics& metrics;
  /// Processes a heartbeat of a backend server. Throws Error when it is
  /// rejected.
  std::function<void(Announcement)> announce;
  /// Removes a backend server.
  std::function<void(Departure)> deregister;
  /// Backend server processes that are draining or have departed. They are
  /// stored and restored after a restart of the node; see
  /// LocalBackendServers::Departures.
  std::function<std::vector<Departure>()> departures;
  std::function<void(const std::vector<Departure>&)> restore_departures;
  /// Whether the node accepts requests from callers.
  std::function<bool()> is_ready;
  /// A configuration was read from the store.
  std::function<void(std::shared_ptr<const Release>)> on_release;
  /// The store's newest configuration cannot be read; why is one line.
  std::function<void(Revision, std::string)> on_release_unreadable;
  /// The newest revision in the store was read.
  std::function<void(Revision)> on_store_head;
  /// The revision that is applied.
  std::function<Revision()> applied_revision;
  /// The store has confirmed that this is its newest revision. The second
  /// argument is the size in bytes of the change from the preceding one, the
  /// third one the store's era.
  std::function<void(Revision, std::size_t, std::uint64_t)> on_store_confirmed;
  /// The newest revision in the store, and when the read that returned it was
  /// sent. Used with strict revocation only.
  std::function<void(Revision, BootTimePoint)> on_store_read;
  /// The store did not respond to a read of the configuration.
  std::function<void()> on_store_failed;
  /// What this node has to do itself to learn of new configurations.
  std::function<StoreDuty()> store_duty;
  /// Whether another node watches the store for this one, or tries to.
  std::function<bool()> other_node_watches_store;
  /// Sets the addresses of peers used to join the membership.
  std::function<void(std::vector<IpEndpoint>)> set_seeds;
  std::function<std::shared_ptr<const MembershipView>()> membership;
  /// See RolloutStoreTaskOptions. Empty functions if the settings disable
  /// roll-outs.
  std::function<std::uint64_t()> rollout_judge_term;
  std::function<void(const RolloutReadResult&, bool)> on_rollouts_read;
  std::function<std::optional<RolloutWrite>()> next_rollout_write;
  std::function<void(const RolloutWrite&, std::optional<bool>)>
      on_rollout_written;
};

/// The environment of a node. Lives as long as the node.
struct NodeEnvironment {
  /// Stops the tasks of the environment when the node shuts down.
  std::function<void()> stop = [] {};
  /// Called when the settings file may have changed.
  std::function<void()> reload = [] {};
  /// Called when a node that watches the store has named the store's era.
  std::function<void(std::uint64_t)> on_store_era = [](std::uint64_t) {};
  /// Owns the objects that the functions above refer to.
  std::shared_ptr<void> resources;
};

/// Adapts a node to deployments that use other protocols than its native ones.
struct NodeOptions {
  EdgeDialect dialect;
  /// Creates the environment. Empty if the node uses the native store.
  std::function<NodeEnvironment(NodeServices)> make_environment;
};

}  // namespace banyantrail
