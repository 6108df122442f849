#include "net/test_ports.h"

#include <algorithm>
#include <deque>

#include <CppUTest/TestHarness.h>

#include "net/http_exchange.h"

using banyantrail::test::FreeEndpoint;
using banyantrail::test::TestPorts;

TEST_GROUP(TestPorts){};

// Ports were chosen at random from those that other tests use as well, which
// ended a run with "Address already in use".
TEST(TestPorts, OneTestGetsDifferentPorts) {
  constexpr int kCalls = 1000;
  constexpr std::size_t kPortsOfATest = 50;
  banyantrail::asio::io_context io;
  std::deque<std::uint16_t> recent;
  for (int i = 0; i < kCalls; ++i) {
    const std::uint16_t port = FreeEndpoint(io).port;
    CHECK(std::ranges::find(recent, port) == recent.end());
    recent.push_back(port);
    if (recent.size() > kPortsOfATest) {
      recent.pop_front();
    }
  }
}

TEST(TestPorts, ProcessesShareNoPort) {
  TestPorts one;
  TestPorts other;
  CHECK(one.first() != other.first());
  CHECK(one.Choose() > one.first());
  CHECK(one.Choose() < one.first() + TestPorts::kPortsPerBlock);
}

TEST(TestPorts, APortInUseIsNotChosen) {
  TestPorts ports;
  banyantrail::asio::io_context io;
  banyantrail::asio::ip::tcp::acceptor taken(io);
  taken.open(banyantrail::asio::ip::tcp::v4());
  taken.bind({banyantrail::asio::ip::make_address("127.0.0.1"),
              static_cast<std::uint16_t>(ports.first() + 1)});
  taken.listen();
  LONGS_EQUAL(ports.first() + 2, ports.Choose());
}
