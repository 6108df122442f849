#pragma once

#include <memory>

#include "banyantrail/net/asio.h"
#include "banyantrail/node/node_services.h"
#include "banyantrail/node/settings.h"

namespace banyantrail {

/// One node: the control plane, the request path and the admin listener, on
/// one I/O thread beside the actors' worker.
class Node {
 public:
  /// Binds all listeners. Throws Error{kInvalidSettings} when one cannot be
  /// had.
  explicit Node(const NodeSettings& settings, NodeOptions options = {});
  Node(const Node&) = delete;
  Node& operator=(const Node&) = delete;
  ~Node();

  /// Serves until SIGTERM, SIGINT or a drain by an operator has led through
  /// the planned stop: no new work, everything under way finished, goodbye to
  /// the peers.
  void Run();

 private:
  struct Parts;

  NodeServices Services();

  void StartDrain();
  asio::awaitable<void> WaitForSignal();
  asio::awaitable<void> WaitForReload();
  asio::awaitable<void> FinishAndStop();
  asio::awaitable<void> Pause(Duration duration);

  NodeSettings m_settings;
  /// One thread runs it; others only post to it.
  asio::io_context m_io{1};
  bool m_draining = false;
  std::unique_ptr<Parts> m_parts;
};

}  // namespace banyantrail
