#pragma once

#include <cstdint>
#include <string>

#include "banyantrail/core/ip_endpoint.h"
#include "banyantrail/core/labels.h"
#include "banyantrail/net/asio.h"
#include "banyantrail/net/http_client.h"

namespace banyantrail::standins {

/// Announces a backend server to the node on its VM once a second, also while
/// the node does not answer.
class Announcer {
 public:
  struct Options {
    IpEndpoint node_admin;
    std::string server_id;
    std::string service;
    Labels labels;
    IpEndpoint address;
    std::uint32_t slots = 0;
  };

  Announcer(asio::io_context& io, Options options);

  /// Repeats the announcement until it is withdrawn.
  asio::awaitable<void> Run();

  /// Announces the drain at once and in all later heartbeats.
  asio::awaitable<void> AnnounceDraining();

  /// Withdraws the announcement and ends the heartbeats.
  asio::awaitable<void> Withdraw();

 private:
  asio::awaitable<void> Announce();
  asio::awaitable<void> Send(http::verb method, std::string body);

  Options m_options;
  HttpClient m_client;
  bool m_draining = false;
  bool m_withdrawn = false;
};

}  // namespace banyantrail::standins
