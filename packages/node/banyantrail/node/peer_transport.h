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

/// Sends messages to other nodes and receives messages from them.
///
/// A node sends messages only on connections that it opened itself and receives
/// messages only on connections that it accepted. The receiver confirms each
/// frame with one byte. This lets the sender detect connections that drop data
/// without an error: it opens a new connection and resends all unconfirmed
/// frames. If this fails too, it reports the peer as unreachable. Delivery may
/// thus duplicate messages, and message handlers must tolerate this.
class PeerTransport {
 public:
  struct Options {
    IpEndpoint listen;
    HelloMessage hello;
    /// A message arrived.
    std::function<void(const NodeId&, PeerMessage)> on_message;
    /// Messages to a node could not be delivered.
    std::function<void(const NodeId&)> on_unreachable;
    Duration connect_timeout = milliseconds(500);
    /// A connection is closed when a frame is not confirmed within this time.
    Duration confirm_timeout = milliseconds(800);
    /// Connections that are idle for longer are closed.
    Duration idle_timeout = seconds(20);
    std::size_t max_accepted_connections = 4096;
    /// Maximum of queued bytes per peer. A peer whose queue overflows counts as
    /// unreachable.
    std::size_t max_queued_bytes = 32U << 20U;
  };

  PeerTransport(asio::io_context& io, Metrics& metrics, Options options);
  PeerTransport(const PeerTransport&) = delete;
  PeerTransport& operator=(const PeerTransport&) = delete;
  ~PeerTransport();

  /// Sets the address at which a node accepts connections.
  void SetAddress(const NodeId& node, const IpEndpoint& address);

  /// Queues a message for a node, or for an address whose node is not known
  /// yet. Never blocks. Failures are reported through Options::on_unreachable.
  void Send(const std::variant<NodeId, IpEndpoint>& to,
            const PeerMessage& message);

  /// Whether all queued frames have been sent and confirmed.
  bool is_idle() const;

  void Stop();

 private:
  struct Channel;
  struct State;

  void SendFrame(const IpEndpoint& address,
                 const NodeId& node,
                 std::string frame);

  std::shared_ptr<State> m_state;
  std::unique_ptr<TcpListener> m_listener;
};

}  // namespace banyantrail
