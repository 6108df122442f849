#include "banyantrail/proxy/upstream_pool.h"

#include <algorithm>
#include <utility>

namespace banyantrail {
namespace {

/// Whether an idle connection is open and has no unexpected data. It becomes
/// readable if the server closes it or sends data without a request.
bool IsOpenWithoutData(Upstream& upstream) {
  return PeekNonBlocking(upstream.stream.socket()) == asio::error::would_block;
}

}  // namespace

UpstreamPool::UpstreamPool(asio::any_io_executor executor, Options options)
    : m_executor(std::move(executor)), m_options(options) {}

UpstreamPtr UpstreamPool::AcquireIdle(const IpEndpoint& server) {
  const auto found = m_idle.find(server);
  if (found == m_idle.end()) {
    return nullptr;
  }
  std::deque<UpstreamPtr>& idle = found->second;
  const TimePoint cutoff = SystemClock().Now() - m_options.max_idle_time;
  // The most recently used connection is at the back, and least likely to be
  // broken.
  while (!idle.empty()) {
    UpstreamPtr upstream = std::move(idle.back());
    idle.pop_back();
    const bool is_fresh = upstream->idle_since >= cutoff &&
                          upstream->usable_until > SystemClock().Now();
    if (is_fresh && IsOpenWithoutData(*upstream)) {
      upstream->reused = true;
      return upstream;
    }
  }
  return nullptr;
}

asio::awaitable<UpstreamPtr> UpstreamPool::Acquire(IpEndpoint server,
                                                   TimePoint deadline) {
  UpstreamPtr idle = AcquireIdle(server);
  if (idle) {
    co_return idle;
  }
  UpstreamPtr connected = co_await Connect(std::move(server), deadline);
  co_return connected;
}

asio::awaitable<UpstreamPtr> UpstreamPool::Connect(IpEndpoint server,
                                                   TimePoint deadline) {
  auto upstream = std::make_unique<Upstream>(m_executor);
  const TimePoint connect_deadline =
      std::min(deadline, SystemClock().Now() + m_options.connect_timeout);
  upstream->stream.expires_at(connect_deadline);
  const asio::ip::tcp::endpoint endpoint = ToTcpEndpoint(server);
  boost::system::error_code error;
  co_await upstream->stream.async_connect(
      endpoint, asio::redirect_error(asio::use_awaitable, error));
  if (error) {
    co_return nullptr;
  }
  upstream->stream.socket().set_option(asio::ip::tcp::no_delay(true), error);
  EnableDeadPeerDetection(upstream->stream.socket(),
                          m_options.unacknowledged_timeout);
  upstream->stream.expires_never();
  upstream->server = std::move(server);
  co_return upstream;
}

void UpstreamPool::Release(UpstreamPtr upstream,
                           std::optional<Duration> keep_alive_timeout) {
  // Leaves time for a request to arrive before the server closes the
  // connection.
  constexpr Duration kKeepAliveMargin = milliseconds(500);
  upstream->request_in_flight = false;
  std::deque<UpstreamPtr>& idle = m_idle[upstream->server];
  const bool has_unread_data = upstream->buffer.size() > 0;
  if (idle.size() >= m_options.max_idle_per_server || has_unread_data) {
    return;
  }
  upstream->usable_until =
      keep_alive_timeout
          ? SystemClock().Now() + *keep_alive_timeout - kKeepAliveMargin
          : TimePoint::max();
  upstream->stream.expires_never();
  upstream->idle_since = SystemClock().Now();
  idle.push_back(std::move(upstream));
}

void UpstreamPool::DropIdle(const IpEndpoint& server) {
  m_idle.erase(server);
}

void UpstreamPool::CloseExpired() {
  const TimePoint cutoff = SystemClock().Now() - m_options.max_idle_time;
  for (auto& [server, idle] : m_idle) {
    std::erase_if(idle, [cutoff](const UpstreamPtr& upstream) {
      return upstream->idle_since < cutoff;
    });
  }
  std::erase_if(m_idle, [](const auto& entry) { return entry.second.empty(); });
}

std::size_t UpstreamPool::idle_count() const {
  std::size_t count = 0;
  for (const auto& [server, idle] : m_idle) {
    count += idle.size();
  }
  return count;
}

}  // namespace banyantrail
