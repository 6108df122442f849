#include "banyantrail/node/peer_transport.h"

#include <CppUTest/TestHarness.h>

#include <optional>
#include <vector>

#include "banyantrail/node/metrics.h"
#include "net/http_exchange.h"

namespace asio = boost::asio;
using banyantrail::IpEndpoint;
using banyantrail::Metrics;
using banyantrail::milliseconds;
using banyantrail::NodeId;
using banyantrail::PeerMessage;
using banyantrail::PeerTransport;
using banyantrail::ProbeMessage;
using banyantrail::TcpListener;
using banyantrail::test::FreeEndpoint;

namespace {

constexpr milliseconds kConfirmTimeout{100};
/// Upper bound for detecting and replacing an unresponsive connection.
constexpr milliseconds kDetectionBound{3000};

/// The transport of a node, with recorded callbacks.
struct Peer {
  Peer(asio::io_context& io, const char* name, IpEndpoint listen)
      : address(listen),
        transport(
            io,
            metrics,
            {.listen = listen,
             .hello = {.node = NodeId(name), .peer_address = listen},
             .on_message =
                 [this](const NodeId& from, PeerMessage message) {
                   senders.push_back(from);
                   received.push_back(std::move(message));
                 },
             .on_unreachable =
                 [this](const NodeId& node) { unreachable.push_back(node); },
             .confirm_timeout = kConfirmTimeout}) {}

  IpEndpoint address;
  Metrics metrics;
  std::vector<NodeId> senders;
  std::vector<PeerMessage> received;
  std::vector<NodeId> unreachable;
  PeerTransport transport;
};

PeerMessage Probe(std::uint64_t id) {
  return ProbeMessage{.probe_id = id};
}

}  // namespace

TEST_GROUP(PeerTransport) {
  asio::io_context io;
  Peer a{io, "a", FreeEndpoint(io)};

  template <typename Condition>
  bool RunUntil(Condition condition) {
    const auto deadline = std::chrono::steady_clock::now() + kDetectionBound;
    while (!condition() && std::chrono::steady_clock::now() < deadline) {
      io.run_for(milliseconds(10));
      io.restart();
    }
    return condition();
  }
};

TEST(PeerTransport, DeliversInOrderWithTheSender) {
  Peer b{io, "b", FreeEndpoint(io)};
  a.transport.SetAddress(NodeId("b"), b.address);
  a.transport.Send(NodeId("b"), Probe(1));
  a.transport.Send(NodeId("b"), Probe(2));
  CHECK(RunUntil([&] { return b.received.size() == 2; }));
  CHECK(b.received[0] == Probe(1));
  CHECK(b.received[1] == Probe(2));
  CHECK(b.senders[0] == NodeId("a"));
}

TEST(PeerTransport, ReceiverLearnsTheAddressOfTheSender) {
  Peer b{io, "b", FreeEndpoint(io)};
  a.transport.Send(b.address, Probe(1));
  CHECK(RunUntil([&] { return !b.received.empty(); }));
  b.transport.Send(NodeId("a"), Probe(2));
  CHECK(RunUntil([&] { return !a.received.empty(); }));
}

TEST(PeerTransport, ReportsNodeWithoutListenerAsUnreachable) {
  a.transport.SetAddress(NodeId("gone"), FreeEndpoint(io));
  a.transport.Send(NodeId("gone"), Probe(1));
  CHECK(RunUntil([&] { return !a.unreachable.empty(); }));
}

TEST(PeerTransport, ReplacesUnresponsiveConnection) {
  const IpEndpoint address = FreeEndpoint(io);
  // The first connection stays open but never confirms a frame.
  std::vector<std::shared_ptr<banyantrail::beast::tcp_stream>> open_connections;
  {
    std::optional<TcpListener> unresponsive;
    TcpListener::Options options{
        .endpoint = address,
        .session = [&open_connections](banyantrail::beast::tcp_stream stream)
            -> asio::awaitable<void> {
          open_connections.push_back(
              std::make_shared<banyantrail::beast::tcp_stream>(
                  std::move(stream)));
          co_return;
        }};
    unresponsive.emplace(io, std::move(options));
    a.transport.SetAddress(NodeId("b"), address);
    a.transport.Send(NodeId("b"), Probe(1));
    CHECK(RunUntil([&] { return !open_connections.empty(); }));
  }
  io.run_for(milliseconds(10));
  io.restart();
  Peer b{io, "b", address};
  CHECK(RunUntil([&] { return !b.received.empty(); }));
  CHECK(a.unreachable.empty());
}

TEST(PeerTransport, ReportsUnresponsivePeerAsUnreachable) {
  const IpEndpoint address = FreeEndpoint(io);
  std::vector<std::shared_ptr<banyantrail::beast::tcp_stream>> open_connections;
  TcpListener unresponsive(
      io, {.endpoint = address,
           .session = [&open_connections](banyantrail::beast::tcp_stream stream)
               -> asio::awaitable<void> {
             open_connections.push_back(
                 std::make_shared<banyantrail::beast::tcp_stream>(
                     std::move(stream)));
             co_return;
           }});
  a.transport.SetAddress(NodeId("b"), address);
  a.transport.Send(NodeId("b"), Probe(1));
  CHECK(RunUntil([&] { return !a.unreachable.empty(); }));
  CHECK(open_connections.size() >= 2);
}
