#pragma once

#include <array>
#include <cstdint>
#include <stdexcept>

#include <unistd.h>

#include "banyantrail/net/asio.h"

namespace banyantrail::test {

/// A block of ports that belongs to this process alone, so that no test that
/// runs at the same time listens on one between its choice and its use.
///
/// The blocks lie above those of the process tests (tests/process/harness.py)
/// and below the ephemeral ports, which the system gives to outgoing
/// connections. The first port of a block is bound as a lock.
class TestPorts {
 public:
  static constexpr std::uint16_t kFirstPort = 29'200;
  static constexpr std::uint16_t kPortsPerBlock = 100;
  static constexpr std::uint16_t kBlocks = 35;

  TestPorts() {
    const auto start = static_cast<std::uint16_t>(::getpid() % kBlocks);
    for (std::uint16_t i = 0; i < kBlocks; ++i) {
      const auto block = static_cast<std::uint16_t>((start + i) % kBlocks);
      m_first = kFirstPort + block * kPortsPerBlock;
      if (TryListen(m_lock, m_first)) {
        return;
      }
    }
    throw std::runtime_error("no free block of ports; end other test runs");
  }

  /// A port on which nobody listens. The same one comes again when all others
  /// of the block were chosen.
  std::uint16_t Choose() {
    for (std::uint16_t i = 1; i < kPortsPerBlock; ++i) {
      m_last = m_last % (kPortsPerBlock - 1) + 1;
      const auto port = static_cast<std::uint16_t>(m_first + m_last);
      asio::ip::tcp::acceptor probe(m_io);
      if (TryListen(probe, port)) {
        return port;
      }
    }
    throw std::runtime_error("all ports of this process are in use");
  }

  std::uint16_t first() const { return m_first; }

 private:
  static bool TryListen(asio::ip::tcp::acceptor& acceptor, std::uint16_t port) {
    boost::system::error_code error;
    acceptor.close(error);
    acceptor.open(asio::ip::tcp::v4());
    // As the listeners do: a port of closed connections may be used again.
    acceptor.set_option(asio::socket_base::reuse_address(true));
    acceptor.bind({asio::ip::make_address("127.0.0.1"), port}, error);
    if (!error) {
      acceptor.listen(1, error);
    }
    return !error;
  }

  asio::io_context m_io;
  asio::ip::tcp::acceptor m_lock{m_io};
  std::uint16_t m_first = 0;
  std::uint16_t m_last = 0;
};

}  // namespace banyantrail::test
