#include "banyantrail/node/peer_transport.h"

#include <array>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <deque>
#include <utility>

#include "banyantrail/core/errors.h"
#include "banyantrail/node/metrics.h"
#include "banyantrail/wire/frame_codec.h"

namespace banyantrail {
namespace {

constexpr char kConfirmation = '\x06';

}  // namespace

/// The queue of frames for one address and the connection that sends them.
struct PeerTransport::Link {
  explicit Link(asio::io_context& io)
      : stream(std::make_shared<beast::tcp_stream>(io)), wake_up(io) {}

  IpEndpoint address;
  NodeId node;
  /// Replaced with each new connection. Coroutines that use the previous
  /// stream share its ownership.
  std::shared_ptr<beast::tcp_stream> stream;
  asio::steady_timer wake_up;
  /// Frames in the order of sending. The first `sent` of them have been sent
  /// and are not confirmed yet.
  std::deque<std::string> frames;
  std::size_t sent = 0;
  std::size_t queued_bytes = 0;
  bool connected = false;
  bool closed = false;
  /// Connection failures since the last confirmation.
  unsigned failures = 0;
  /// The time since which the oldest unconfirmed frame has been waiting.
  TimePoint unconfirmed_since{};
  /// Changes with each connection, so that coroutines of an old connection
  /// detect that it was replaced.
  std::uint64_t connection = 0;
};

struct PeerTransport::Shared : std::enable_shared_from_this<Shared> {
  Shared(asio::io_context& io_context, Metrics& node_metrics, Options opts)
      : io(io_context), metrics(node_metrics), options(std::move(opts)) {}

  asio::io_context& io;
  Metrics& metrics;
  Options options;
  std::map<NodeId, IpEndpoint> addresses;
  std::map<IpEndpoint, std::shared_ptr<Link>> links;
  bool stopped = false;

  std::shared_ptr<Link> LinkTo(const IpEndpoint& address, const NodeId& node);
  void Disconnect(Link& link);
  void GiveUp(Link& link, std::string_view reason);
  asio::awaitable<void> RunLink(std::shared_ptr<Link> link);
  asio::awaitable<bool> Connect(std::shared_ptr<Link> link);
  asio::awaitable<void> ReadConfirmations(std::shared_ptr<Link> link);
  asio::awaitable<bool> WriteNext(Link& link);
  asio::awaitable<void> WaitForWork(Link& link);
  bool IsSilent(const Link& link) const;
  asio::awaitable<void> Receive(beast::tcp_stream stream);
  asio::awaitable<PeerMessage> ReadMessage(beast::tcp_stream& stream);
};

std::shared_ptr<PeerTransport::Link> PeerTransport::Shared::LinkTo(
    const IpEndpoint& address,
    const NodeId& node) {
  std::shared_ptr<Link>& link = links[address];
  if (!link) {
    link = std::make_shared<Link>(io);
    link->address = address;
    asio::co_spawn(
        io, [self = shared_from_this(), link]() { return self->RunLink(link); },
        asio::detached);
  }
  if (!node.empty()) {
    link->node = node;
  }
  return link;
}

void PeerTransport::Shared::Disconnect(Link& link) {
  link.connected = false;
  link.sent = 0;
  ++link.connection;
  link.stream->close();
}

/// Drops all frames queued for an unreachable peer and reports the peer.
void PeerTransport::Shared::GiveUp(Link& link, std::string_view reason) {
  metrics.CountPeerFault(reason);
  link.frames.clear();
  link.sent = 0;
  link.queued_bytes = 0;
  link.failures = 0;
  if (!link.node.empty() && !stopped) {
    options.on_unreachable(link.node);
  }
}

asio::awaitable<bool> PeerTransport::Shared::Connect(
    std::shared_ptr<Link> link) {
  link->stream = std::make_shared<beast::tcp_stream>(io);
  link->stream->expires_after(options.connect_timeout);
  const asio::ip::tcp::endpoint endpoint = ToTcpEndpoint(link->address);
  boost::system::error_code error;
  co_await link->stream->async_connect(
      endpoint, asio::redirect_error(asio::use_awaitable, error));
  if (error) {
    co_return false;
  }
  link->stream->socket().set_option(asio::ip::tcp::no_delay(true), error);
  const std::string hello = EncodeFrame(options.hello);
  link->stream->expires_after(options.confirm_timeout);
  co_await asio::async_write(*link->stream, asio::buffer(hello),
                             asio::redirect_error(asio::use_awaitable, error));
  if (error) {
    co_return false;
  }
  metrics.CountPeerBytes("sent", hello.size());
  link->connected = true;
  ++link->connection;
  asio::co_spawn(
      io,
      [self = shared_from_this(), link]() {
        return self->ReadConfirmations(link);
      },
      asio::detached);
  co_return true;
}

/// Reads one confirmation byte for each frame that the peer received. Runs
/// concurrently with the writer until the connection closes.
asio::awaitable<void> PeerTransport::Shared::ReadConfirmations(
    std::shared_ptr<Link> link) {
  const std::uint64_t connection = link->connection;
  const std::shared_ptr<beast::tcp_stream> stream = link->stream;
  std::array<char, 64> bytes{};
  boost::system::error_code error;
  while (!error && link->connection == connection) {
    const std::size_t size = co_await stream->socket().async_read_some(
        asio::buffer(bytes), asio::redirect_error(asio::use_awaitable, error));
    if (link->connection != connection) {
      co_return;
    }
    for (std::size_t i = 0; i < size && link->sent > 0; ++i) {
      link->queued_bytes -= link->frames.front().size();
      link->frames.pop_front();
      --link->sent;
      link->failures = 0;
      link->unconfirmed_since = SystemClock().Now();
    }
    link->wake_up.cancel();
  }
  if (link->connection == connection) {
    if (link->sent > 0) {
      ++link->failures;
    }
    Disconnect(*link);
    link->wake_up.cancel();
  }
}

/// Writes the next unsent frame. Returns false if the connection failed.
asio::awaitable<bool> PeerTransport::Shared::WriteNext(Link& link) {
  const std::string frame = link.frames[link.sent];
  if (link.sent == 0) {
    link.unconfirmed_since = SystemClock().Now();
  }
  ++link.sent;
  const std::uint64_t connection = link.connection;
  const std::shared_ptr<beast::tcp_stream> stream = link.stream;
  stream->expires_after(options.confirm_timeout);
  boost::system::error_code error;
  co_await asio::async_write(*stream, asio::buffer(frame),
                             asio::redirect_error(asio::use_awaitable, error));
  if (link.connection != connection) {
    co_return false;
  }
  metrics.CountPeerBytes("sent", frame.size());
  co_return !error;
}

/// Waits until there is a frame to send, a confirmation is overdue, or the idle
/// timeout has expired.
asio::awaitable<void> PeerTransport::Shared::WaitForWork(Link& link) {
  const TimePoint idle_until = SystemClock().Now() + options.idle_timeout;
  const TimePoint overdue_at = link.unconfirmed_since + options.confirm_timeout;
  link.wake_up.expires_at(link.sent > 0 ? overdue_at : idle_until);
  boost::system::error_code error;
  co_await link.wake_up.async_wait(
      asio::redirect_error(asio::use_awaitable, error));
  if (SystemClock().Now() >= idle_until && link.frames.empty()) {
    Disconnect(link);
    link.closed = true;
  }
}

/// Whether the confirmation of a sent frame is overdue.
bool PeerTransport::Shared::IsSilent(const Link& link) const {
  const Duration waited = SystemClock().Now() - link.unconfirmed_since;
  return link.connected && link.sent > 0 && waited >= options.confirm_timeout;
}

asio::awaitable<void> PeerTransport::Shared::RunLink(
    std::shared_ptr<Link> link) {
  constexpr unsigned kMaxFailures = 2;
  while (!stopped && !link->closed) {
    if (IsSilent(*link)) {
      metrics.CountPeerFault("silent_connection");
      ++link->failures;
      Disconnect(*link);
    }
    if (link->failures >= kMaxFailures) {
      GiveUp(*link, "unreachable");
    }
    if (link->sent == link->frames.size()) {
      co_await WaitForWork(*link);
      continue;
    }
    if (!link->connected) {
      const bool connected = co_await Connect(link);
      if (!connected) {
        link->failures = kMaxFailures;
        continue;
      }
    }
    const bool written = co_await WriteNext(*link);
    if (!written) {
      ++link->failures;
      Disconnect(*link);
    }
  }
  Disconnect(*link);
  const auto found = links.find(link->address);
  if (found != links.end() && found->second == link) {
    links.erase(found);
  }
}

asio::awaitable<PeerMessage> PeerTransport::Shared::ReadMessage(
    beast::tcp_stream& stream) {
  std::string header(kFrameHeaderBytes, '\0');
  co_await asio::async_read(stream, asio::buffer(header), asio::use_awaitable);
  std::string payload(DecodeFrameLength(header), '\0');
  co_await asio::async_read(stream, asio::buffer(payload), asio::use_awaitable);
  metrics.CountPeerBytes("received", header.size() + payload.size());
  co_return DecodePayload(payload);
}

asio::awaitable<void> PeerTransport::Shared::Receive(beast::tcp_stream stream) {
  // Normally the sender closes idle connections. This timeout cleans up
  // connections whose sender is gone.
  const Duration read_timeout = 2 * options.idle_timeout;
  const std::array<char, 1> confirmation = {kConfirmation};
  try {
    stream.expires_after(read_timeout);
    const PeerMessage first = co_await ReadMessage(stream);
    const auto* hello = std::get_if<HelloMessage>(&first);
    if (hello == nullptr) {
      metrics.CountPeerFault("no_hello");
      co_return;
    }
    const NodeId from = hello->node;
    addresses[from] = hello->peer_address;
    while (!stopped) {
      stream.expires_after(read_timeout);
      PeerMessage message = co_await ReadMessage(stream);
      co_await asio::async_write(stream, asio::buffer(confirmation),
                                 asio::use_awaitable);
      options.on_message(from, std::move(message));
    }
  } catch (const Error& error) {
    metrics.CountPeerFault(ToString(error.kind()));
  }
}

PeerTransport::PeerTransport(asio::io_context& io,
                             Metrics& metrics,
                             Options options)
    : m_shared(std::make_shared<Shared>(io, metrics, std::move(options))) {
  TcpListener::Options listener{
      .endpoint = m_shared->options.listen,
      .max_connections = m_shared->options.max_accepted_connections,
      .session =
          [shared = m_shared](beast::tcp_stream stream) {
            return shared->Receive(std::move(stream));
          },
      .on_refused =
          [shared = m_shared] {
            shared->metrics.CountPeerFault("too_many_connections");
          },
  };
  m_listener = std::make_unique<TcpListener>(io, std::move(listener));
}

PeerTransport::~PeerTransport() {
  Stop();
}

void PeerTransport::SetAddress(const NodeId& node, const IpEndpoint& address) {
  m_shared->addresses[node] = address;
}

void PeerTransport::Send(const std::variant<NodeId, IpEndpoint>& to,
                         const PeerMessage& message) {
  if (const auto* address = std::get_if<IpEndpoint>(&to)) {
    SendFrame(*address, NodeId(), EncodeFrame(message));
    return;
  }
  const NodeId& node = std::get<NodeId>(to);
  const auto found = m_shared->addresses.find(node);
  if (found == m_shared->addresses.end()) {
    m_shared->metrics.CountPeerFault("unknown_address");
    return;
  }
  SendFrame(found->second, node, EncodeFrame(message));
}

void PeerTransport::SendFrame(const IpEndpoint& address,
                              const NodeId& node,
                              std::string frame) {
  if (m_shared->stopped) {
    return;
  }
  const std::shared_ptr<Link> link = m_shared->LinkTo(address, node);
  if (link->queued_bytes + frame.size() > m_shared->options.max_queued_bytes) {
    m_shared->GiveUp(*link, "queue_full");
    m_shared->Disconnect(*link);
  }
  link->queued_bytes += frame.size();
  link->frames.push_back(std::move(frame));
  link->wake_up.cancel();
}

bool PeerTransport::is_idle() const {
  for (const auto& [address, link] : m_shared->links) {
    if (!link->frames.empty()) {
      return false;
    }
  }
  return true;
}

void PeerTransport::Stop() {
  if (m_shared->stopped) {
    return;
  }
  m_shared->stopped = true;
  m_listener->Stop();
  for (const auto& [address, link] : m_shared->links) {
    link->wake_up.cancel();
    link->stream->close();
  }
}

}  // namespace banyantrail
