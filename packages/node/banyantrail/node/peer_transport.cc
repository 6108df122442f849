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

constexpr char kConfirmationByte = '\x06';

}  // namespace

/// The queue of frames for one address and the connection that sends them.
struct PeerTransport::Channel {
  explicit Channel(asio::io_context& io)
      : stream(std::make_shared<beast::tcp_stream>(io)), wake_up_timer(io) {}

  IpEndpoint address;
  NodeId node;
  /// Replaced with each new connection. Coroutines that use the previous
  /// stream share its ownership.
  std::shared_ptr<beast::tcp_stream> stream;
  asio::steady_timer wake_up_timer;
  /// Frames in the order of sending. The first `unconfirmed` of them have been
  /// sent and are not confirmed yet.
  std::deque<std::string> frames;
  std::size_t unconfirmed = 0;
  std::size_t queued_bytes = 0;
  bool connected = false;
  bool closed = false;
  /// Connection failures since the last confirmation.
  unsigned failures = 0;
  /// The time since which the oldest unconfirmed frame has been waiting.
  TimePoint unconfirmed_since{};
  /// Changes with each connection, so that coroutines of an old connection
  /// detect that it was replaced.
  std::uint64_t connection_number = 0;
};

struct PeerTransport::State : std::enable_shared_from_this<State> {
  State(asio::io_context& io_context, Metrics& node_metrics, Options opts)
      : io(io_context), metrics(node_metrics), options(std::move(opts)) {}

  asio::io_context& io;
  Metrics& metrics;
  Options options;
  std::map<NodeId, IpEndpoint> addresses;
  std::map<IpEndpoint, std::shared_ptr<Channel>> channels;
  bool stopped = false;

  std::shared_ptr<Channel> GetChannel(const IpEndpoint& address,
                                      const NodeId& node);
  void Disconnect(Channel& channel);
  void DropQueue(Channel& channel, std::string_view reason);
  asio::awaitable<void> RunChannel(std::shared_ptr<Channel> channel);
  asio::awaitable<bool> Connect(std::shared_ptr<Channel> channel);
  asio::awaitable<void> ReadConfirmations(std::shared_ptr<Channel> channel);
  asio::awaitable<bool> WriteNext(Channel& channel);
  asio::awaitable<void> WaitForWork(Channel& channel);
  bool IsConfirmationOverdue(const Channel& channel) const;
  asio::awaitable<void> Receive(beast::tcp_stream stream);
  asio::awaitable<PeerMessage> ReadMessage(beast::tcp_stream& stream);
};

std::shared_ptr<PeerTransport::Channel> PeerTransport::State::GetChannel(
    const IpEndpoint& address,
    const NodeId& node) {
  std::shared_ptr<Channel>& channel = channels[address];
  if (!channel) {
    channel = std::make_shared<Channel>(io);
    channel->address = address;
    asio::co_spawn(
        io,
        [self = shared_from_this(), channel]() {
          return self->RunChannel(channel);
        },
        asio::detached);
  }
  if (!node.empty()) {
    channel->node = node;
  }
  return channel;
}

void PeerTransport::State::Disconnect(Channel& channel) {
  channel.connected = false;
  channel.unconfirmed = 0;
  ++channel.connection_number;
  channel.stream->close();
}

/// Drops all frames queued for an unreachable peer and reports the peer.
void PeerTransport::State::DropQueue(Channel& channel,
                                     std::string_view reason) {
  metrics.CountPeerFault(reason);
  channel.frames.clear();
  channel.unconfirmed = 0;
  channel.queued_bytes = 0;
  channel.failures = 0;
  if (!channel.node.empty() && !stopped) {
    options.on_unreachable(channel.node);
  }
}

asio::awaitable<bool> PeerTransport::State::Connect(
    std::shared_ptr<Channel> channel) {
  channel->stream = std::make_shared<beast::tcp_stream>(io);
  channel->stream->expires_after(options.connect_timeout);
  const asio::ip::tcp::endpoint endpoint = ToTcpEndpoint(channel->address);
  boost::system::error_code error;
  co_await channel->stream->async_connect(
      endpoint, asio::redirect_error(asio::use_awaitable, error));
  if (error) {
    co_return false;
  }
  channel->stream->socket().set_option(asio::ip::tcp::no_delay(true), error);
  const std::string hello = EncodeFrame(options.hello);
  channel->stream->expires_after(options.confirm_timeout);
  co_await asio::async_write(*channel->stream, asio::buffer(hello),
                             asio::redirect_error(asio::use_awaitable, error));
  if (error) {
    co_return false;
  }
  metrics.CountPeerBytes("sent", hello.size());
  channel->connected = true;
  ++channel->connection_number;
  asio::co_spawn(
      io,
      [self = shared_from_this(), channel]() {
        return self->ReadConfirmations(channel);
      },
      asio::detached);
  co_return true;
}

/// Reads one confirmation byte for each frame that the peer received. Runs
/// concurrently with the writer until the connection closes.
asio::awaitable<void> PeerTransport::State::ReadConfirmations(
    std::shared_ptr<Channel> channel) {
  const std::uint64_t connection_number = channel->connection_number;
  const std::shared_ptr<beast::tcp_stream> stream = channel->stream;
  std::array<char, 64> bytes{};
  boost::system::error_code error;
  while (!error && channel->connection_number == connection_number) {
    const std::size_t size = co_await stream->socket().async_read_some(
        asio::buffer(bytes), asio::redirect_error(asio::use_awaitable, error));
    if (channel->connection_number != connection_number) {
      co_return;
    }
    for (std::size_t i = 0; i < size && channel->unconfirmed > 0; ++i) {
      channel->queued_bytes -= channel->frames.front().size();
      channel->frames.pop_front();
      --channel->unconfirmed;
      channel->failures = 0;
      channel->unconfirmed_since = SystemClock().Now();
    }
    channel->wake_up_timer.cancel();
  }
  if (channel->connection_number == connection_number) {
    if (channel->unconfirmed > 0) {
      ++channel->failures;
    }
    Disconnect(*channel);
    channel->wake_up_timer.cancel();
  }
}

/// Writes the next unsent frame. Returns false if the connection failed.
asio::awaitable<bool> PeerTransport::State::WriteNext(Channel& channel) {
  const std::string frame = channel.frames[channel.unconfirmed];
  if (channel.unconfirmed == 0) {
    channel.unconfirmed_since = SystemClock().Now();
  }
  ++channel.unconfirmed;
  const std::uint64_t connection_number = channel.connection_number;
  const std::shared_ptr<beast::tcp_stream> stream = channel.stream;
  stream->expires_after(options.confirm_timeout);
  boost::system::error_code error;
  co_await asio::async_write(*stream, asio::buffer(frame),
                             asio::redirect_error(asio::use_awaitable, error));
  if (channel.connection_number != connection_number) {
    co_return false;
  }
  metrics.CountPeerBytes("sent", frame.size());
  co_return !error;
}

/// Waits until there is a frame to send, a confirmation is overdue, or the idle
/// timeout has expired.
asio::awaitable<void> PeerTransport::State::WaitForWork(Channel& channel) {
  const TimePoint idle_deadline = SystemClock().Now() + options.idle_timeout;
  const TimePoint confirm_deadline =
      channel.unconfirmed_since + options.confirm_timeout;
  channel.wake_up_timer.expires_at(channel.unconfirmed > 0 ? confirm_deadline
                                                           : idle_deadline);
  boost::system::error_code error;
  co_await channel.wake_up_timer.async_wait(
      asio::redirect_error(asio::use_awaitable, error));
  if (SystemClock().Now() >= idle_deadline && channel.frames.empty()) {
    Disconnect(channel);
    channel.closed = true;
  }
}

/// Whether the confirmation of a sent frame is overdue.
bool PeerTransport::State::IsConfirmationOverdue(const Channel& channel) const {
  const Duration waited = SystemClock().Now() - channel.unconfirmed_since;
  return channel.connected && channel.unconfirmed > 0 &&
         waited >= options.confirm_timeout;
}

asio::awaitable<void> PeerTransport::State::RunChannel(
    std::shared_ptr<Channel> channel) {
  constexpr unsigned kMaxFailures = 2;
  while (!stopped && !channel->closed) {
    if (IsConfirmationOverdue(*channel)) {
      metrics.CountPeerFault("silent_connection");
      ++channel->failures;
      Disconnect(*channel);
    }
    if (channel->failures >= kMaxFailures) {
      DropQueue(*channel, "unreachable");
    }
    if (channel->unconfirmed == channel->frames.size()) {
      co_await WaitForWork(*channel);
      continue;
    }
    if (!channel->connected) {
      const bool connected = co_await Connect(channel);
      if (!connected) {
        channel->failures = kMaxFailures;
        continue;
      }
    }
    const bool written = co_await WriteNext(*channel);
    if (!written) {
      ++channel->failures;
      Disconnect(*channel);
    }
  }
  Disconnect(*channel);
  const auto found = channels.find(channel->address);
  if (found != channels.end() && found->second == channel) {
    channels.erase(found);
  }
}

asio::awaitable<PeerMessage> PeerTransport::State::ReadMessage(
    beast::tcp_stream& stream) {
  std::string header(kFrameHeaderBytes, '\0');
  co_await asio::async_read(stream, asio::buffer(header), asio::use_awaitable);
  std::string payload(DecodePayloadLength(header), '\0');
  co_await asio::async_read(stream, asio::buffer(payload), asio::use_awaitable);
  metrics.CountPeerBytes("received", header.size() + payload.size());
  co_return DecodePayload(payload);
}

asio::awaitable<void> PeerTransport::State::Receive(beast::tcp_stream stream) {
  // Normally the sender closes idle connections. This timeout cleans up
  // connections whose sender has failed.
  const Duration read_timeout = 2 * options.idle_timeout;
  const std::array<char, 1> confirmation = {kConfirmationByte};
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
    : m_state(std::make_shared<State>(io, metrics, std::move(options))) {
  TcpListener::Options listener{
      .endpoint = m_state->options.listen,
      .max_connections = m_state->options.max_accepted_connections,
      .session =
          [state = m_state](beast::tcp_stream stream) {
            return state->Receive(std::move(stream));
          },
      .on_refused =
          [state = m_state] {
            state->metrics.CountPeerFault("too_many_connections");
          },
  };
  m_listener = std::make_unique<TcpListener>(io, std::move(listener));
}

PeerTransport::~PeerTransport() {
  Stop();
}

void PeerTransport::SetAddress(const NodeId& node, const IpEndpoint& address) {
  m_state->addresses[node] = address;
}

void PeerTransport::Send(const std::variant<NodeId, IpEndpoint>& to,
                         const PeerMessage& message) {
  if (const auto* address = std::get_if<IpEndpoint>(&to)) {
    SendFrame(*address, NodeId(), EncodeFrame(message));
    return;
  }
  const NodeId& node = std::get<NodeId>(to);
  const auto found = m_state->addresses.find(node);
  if (found == m_state->addresses.end()) {
    m_state->metrics.CountPeerFault("unknown_address");
    return;
  }
  SendFrame(found->second, node, EncodeFrame(message));
}

void PeerTransport::SendFrame(const IpEndpoint& address,
                              const NodeId& node,
                              std::string frame) {
  if (m_state->stopped) {
    return;
  }
  const std::shared_ptr<Channel> channel = m_state->GetChannel(address, node);
  if (channel->queued_bytes + frame.size() >
      m_state->options.max_queued_bytes) {
    m_state->DropQueue(*channel, "queue_full");
    m_state->Disconnect(*channel);
  }
  channel->queued_bytes += frame.size();
  channel->frames.push_back(std::move(frame));
  channel->wake_up_timer.cancel();
}

bool PeerTransport::is_idle() const {
  for (const auto& [address, channel] : m_state->channels) {
    if (!channel->frames.empty()) {
      return false;
    }
  }
  return true;
}

void PeerTransport::Stop() {
  if (m_state->stopped) {
    return;
  }
  m_state->stopped = true;
  m_listener->Stop();
  for (const auto& [address, channel] : m_state->channels) {
    channel->wake_up_timer.cancel();
    channel->stream->close();
  }
}

}  // namespace banyantrail
