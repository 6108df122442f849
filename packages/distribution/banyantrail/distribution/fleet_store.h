#pragma once

#include <concepts>
#include <optional>
#include <vector>

#include "banyantrail/config/release.h"
#include "banyantrail/core/clock.h"
#include "banyantrail/core/ip_endpoint.h"
#include "banyantrail/net/asio.h"
#include "banyantrail/wire/departure.h"

namespace banyantrail {

/// What a node keeps of itself in the store: how its peers reach it, and what
/// its next life has to know.
struct NodeEntry {
  NodeId node;
  DomainId domain;
  IpEndpoint peer_address;
  /// Boots of backend servers beside it that have lately begun to leave.
  std::vector<Departure> departures;

  friend bool operator==(const NodeEntry&, const NodeEntry&) = default;
};

/// What became of waiting for a configuration.
struct ReleaseWatch {
  /// The newest configuration among the changes; empty when none came.
  std::optional<Release> release;
  /// Where to go on waiting from.
  Revision read_up_to = 0;
  /// The store no longer knows the changes since the given revision: read the
  /// configuration whole.
  bool history_gone = false;
};

/// A store that holds configurations written whole by operators, and the
/// entries by which nodes find each other. Errors are those of StoreTransport;
/// kMalformedMessage says that what is stored cannot be read.
template <typename T>
concept FleetStore =
    requires(T& store, Revision after, milliseconds wait, NodeEntry entry) {
  {
    store.ReadRelease()
    } -> std::same_as<asio::awaitable<std::optional<Release>>>;
  {
    store.AwaitRelease(after, wait)
    } -> std::same_as<asio::awaitable<ReleaseWatch>>;
  {
    store.ListNodes()
    } -> std::same_as<asio::awaitable<std::vector<NodeEntry>>>;
  {
    store.ReadNode(entry.node)
    } -> std::same_as<asio::awaitable<std::optional<NodeEntry>>>;
  { store.WriteNode(entry) } -> std::same_as<asio::awaitable<void>>;
  { store.HasNode(entry.node) } -> std::same_as<asio::awaitable<bool>>;
  { store.DeleteNode(entry.node) } -> std::same_as<asio::awaitable<void>>;
  { store.reachable() } -> std::convertible_to<bool>;
};

}  // namespace banyantrail
