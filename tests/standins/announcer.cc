#include "standins/announcer.h"

#include <nlohmann/json.hpp>
#include <utility>

namespace banyantrail::standins {
namespace {

constexpr milliseconds kHeartbeatInterval{1000};
constexpr milliseconds kRequestTimeout{900};

}  // namespace

Announcer::Announcer(asio::io_context& io, Options options)
    : m_options(std::move(options)),
      m_client(io.get_executor(), {.server = m_options.node_admin}) {}

asio::awaitable<void> Announcer::Run() {
  asio::steady_timer timer(co_await asio::this_coro::executor);
  while (!m_withdrawn) {
    co_await Announce();
    timer.expires_after(kHeartbeatInterval);
    co_await timer.async_wait(asio::use_awaitable);
  }
}

asio::awaitable<void> Announcer::AnnounceDraining() {
  m_draining = true;
  co_await Announce();
}

asio::awaitable<void> Announcer::Withdraw() {
  m_withdrawn = true;
  co_await Send(http::verb::delete_, "");
}

asio::awaitable<void> Announcer::Announce() {
  const nlohmann::json body = {{"service", m_options.service},
                               {"labels", m_options.labels},
                               {"address", ToString(m_options.address)},
                               {"slots", m_options.slots},
                               {"state", m_draining ? "draining" : "serving"}};
  co_await Send(http::verb::put, body.dump());
}

asio::awaitable<void> Announcer::Send(http::verb method, std::string body) {
  constexpr unsigned kHttp11 = 11;
  HttpRequest request(method, "/v1/backend-servers/" + m_options.server_id,
                      kHttp11);
  request.body() = std::move(body);
  try {
    co_await m_client.Request(std::move(request), kRequestTimeout);
  } catch (const HttpClientError&) {
    // The node does not answer. The next heartbeat tries again.
  }
}

}  // namespace banyantrail::standins
