#pragma once

#include <functional>
#include <memory>
#include <vector>

#include "banyantrail/config/release.h"
#include "banyantrail/net/asio.h"
#include "banyantrail/node/control_messages.h"
#include "banyantrail/node/local_backend_servers.h"
#include "banyantrail/node/metrics.h"
#include "banyantrail/node/settings.h"
#include "banyantrail/wire/edge_dialect.h"

namespace banyantrail {

/// What a node offers to the environment that it runs in. All functions are
/// called on the I/O thread.
struct NodeServices {
  asio::io_context& io;
  const NodeSettings& settings;
  Metrics& metrics;
  /// A heartbeat of the backend server beside the node. Throws Error when it
  /// cannot be taken.
  std::function<void(Announcement)> announce;
  /// The backend server leaves.
  std::function<void(Departure)> leave;
  /// Boots of backend servers that have begun to leave, for the next life of
  /// the node; and those that an earlier life left behind.
  std::function<std::vector<Departure>()> departures;
  std::function<void(const std::vector<Departure>&)> restore_departures;
  /// Whether the node takes requests of callers.
  std::function<bool()> is_ready;
  /// A configuration was read from the store.
  std::function<void(std::shared_ptr<const Release>)> on_release;
  /// The newest revision in the store.
  std::function<void(Revision)> on_store_head;
  /// The store has just said that this is its newest revision, and by how many
  /// bytes it differs from the one before.
  std::function<void(Revision, std::size_t)> on_store_confirmed;
  /// Whether no other node watches the store for this one.
  std::function<bool()> must_watch_store;
  /// Addresses of peers for first contact.
  std::function<void(std::vector<IpEndpoint>)> set_seeds;
  std::function<std::shared_ptr<const MembershipView>()> members;
};

/// The surroundings of a node, which live as long as it does.
struct NodeEnvironment {
  /// Ends what runs for the node, for its planned stop.
  std::function<void()> stop = [] {};
  /// The settings may have changed.
  std::function<void()> reload = [] {};
  /// Keeps the parts of the environment alive.
  std::shared_ptr<void> parts;
};

/// How a node meets deployments that do not speak the project's own protocols.
struct NodeOptions {
  EdgeDialect dialect;
  /// Makes the environment; empty when the node uses the project's own store.
  std::function<NodeEnvironment(NodeServices)> make_environment;
};

}  // namespace banyantrail
