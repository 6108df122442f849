#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <variant>

#include "banyantrail/core/clock.h"
#include "banyantrail/core/ids.h"
#include "banyantrail/net/asio.h"
#include "banyantrail/net/tcp_listener.h"
#include "banyantrail/wire/peer_messages.h"

namespace banyantrail {

class Metrics;

/// Sends messages to other nodes and receives theirs.
///
/// A node sends on connections that it opened itself and only reads from those
/// it accepted. The receiver answers each frame with one byte, so the sender
/// notices a connection that swallows bytes: it opens a new one, sends what is
/// unconfirmed again, and only if that fails too reports the peer as
/// unreachable. Messages may therefore arrive twice; their handlers expect it.
class PeerTransport {
 public:
  struct Options {
    IpEndpoint listen;
    HelloMessage hello;
    /// A message arrived.
    std::function<void(const NodeId&, PeerMessage)> on_message;
    /// Messages to the node could not be delivered.
    std::function<void(const NodeId&)> on_unreachable;
    Duration connect_timeout = milliseconds(500);
    /// A frame without confirmation for this long condemns its connection.
    Duration confirm_timeout = milliseconds(800);
    /// Connections idle for longer are closed.
    Duration idle_timeout = seconds(20);
    std::size_t max_accepted_connections = 4096;
    /// Bytes that wait for one peer at most; a peer that is slower than that
    /// counts as unreachable.
    std::size_t max_queued_bytes = 32U << 20U;
  };

  PeerTransport(asio::io_context& io, Metrics& metrics, Options options);
  PeerTransport(const PeerTransport&) = delete;
  PeerTransport& operator=(const PeerTransport&) = delete;
  ~PeerTransport();

  /// Where a node accepts connections; kept until it is replaced.
  void SetAddress(const NodeId& node, const IpEndpoint& address);

  /// Sends to a node, or to an address whose node is not known yet. Never
  /// waits; failures come through on_unreachable.
  void Send(const std::variant<NodeId, IpEndpoint>& to,
            const PeerMessage& message);

  /// Whether every frame has been confirmed.
  bool is_idle() const;

  void Stop();

 private:
  struct Link;
  struct Shared;

  void SendFrame(const IpEndpoint& address,
                 const NodeId& node,
                 std::string frame);

  std::shared_ptr<Shared> m_shared;
  std::unique_ptr<TcpListener> m_listener;
};

}  // namespace banyantrail
