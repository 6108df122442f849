#pragma once

#include <memory>

#include "banyantrail/net/asio.h"
#include "banyantrail/net/io_context.h"
#include "banyantrail/node/node_services.h"
#include "banyantrail/node/settings.h"

namespace banyantrail {

/// One node: the control plane, the data plane and the admin listener. All of
/// them run on one I/O thread; actors have a worker thread of their own.
class Node {
 public:
  /// Binds all listeners. Throws Error{kInvalidSettings} if this fails.
  explicit Node(const NodeSettings& settings, NodeOptions options = {});
  Node(const Node&) = delete;
  Node& operator=(const Node&) = delete;
  ~Node();

  /// Serves requests until SIGTERM, SIGINT or an operator's drain command, then
  /// shuts down gracefully: stops accepting requests, finishes those in
  /// progress and announces its departure to its peers.
  void Run();

 private:
  struct Components;

  NodeServices MakeServices();

  void StartDrain();
  asio::awaitable<void> WaitForSignal();
  asio::awaitable<void> WaitForReload();
  asio::awaitable<void> DrainAndStop(TimePoint end);
  asio::awaitable<void> AwaitRequests(TimePoint end);
  asio::awaitable<void> Sleep(Duration duration);

  NodeSettings m_settings;
  /// Run by one thread. Other threads only post to it.
  IoContext m_io{1};
  bool m_draining = false;
  std::unique_ptr<Components> m_components;
};

}  // namespace banyantrail
