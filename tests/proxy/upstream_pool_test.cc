#include "banyantrail/proxy/upstream_pool.h"

#include <CppUTest/TestHarness.h>

#include <memory>
#include <optional>

#include "banyantrail/net/tcp_listener.h"
#include "net/http_exchange.h"

namespace asio = boost::asio;
using banyantrail::IpEndpoint;
using banyantrail::milliseconds;
using banyantrail::seconds;
using banyantrail::SystemClock;
using banyantrail::TcpListener;
using banyantrail::UpstreamPool;
using banyantrail::UpstreamPtr;
using banyantrail::beast::tcp_stream;

TEST_GROUP(UpstreamPool) {
  asio::io_context io;
  IpEndpoint server = banyantrail::test::FreeEndpoint(io);
  std::vector<std::shared_ptr<tcp_stream>> accepted;
  TcpListener listener{
      io,
      {.endpoint = server,
       .session = [this](tcp_stream stream) -> asio::awaitable<void> {
         accepted.push_back(std::make_shared<tcp_stream>(std::move(stream)));
         co_return;
       }}};
  UpstreamPool pool{io.get_executor(), {.max_idle_time = milliseconds(100)}};

  UpstreamPtr Acquire() {
    UpstreamPtr acquired;
    asio::co_spawn(
        io,
        [&]() -> asio::awaitable<void> {
          acquired =
              co_await pool.Acquire(server, SystemClock().Now() + seconds(1));
        },
        asio::detached);
    io.run_for(milliseconds(20));
    io.restart();
    return acquired;
  }
};

TEST(UpstreamPool, ReusesReleasedConnection) {
  pool.Release(Acquire());
  CHECK(Acquire()->reused);
}

TEST(UpstreamPool, DoesNotReuseConnectionThatIdledTooLong) {
  pool.Release(Acquire());
  io.run_for(milliseconds(150));
  io.restart();
  CHECK_FALSE(Acquire()->reused);
}

TEST(UpstreamPool, DoesNotReuseConnectionThatTheServerClosed) {
  pool.Release(Acquire());
  accepted.front()->close();
  CHECK_FALSE(Acquire()->reused);
}

TEST(UpstreamPool, DropIdleClosesIdleConnections) {
  pool.Release(Acquire());
  pool.DropIdle(server);
  CHECK_FALSE(Acquire()->reused);
}

TEST(UpstreamPool, ReturnsNullIfNobodyListens) {
  listener.Stop();
  CHECK(Acquire() == nullptr);
}
