#pragma once

#include <algorithm>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>
#include <functional>
#include <iterator>
#include <limits>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "banyantrail/net/io_context.h"
#include "banyantrail/net/tcp_listener.h"
#include "banyantrail/proxy/entry_stage.h"
#include "banyantrail/proxy/owner_stage.h"
#include "net/http_exchange.h"

namespace banyantrail::test {

/// The response as the caller received it.
struct CallerResponse {
  bool complete = false;
  unsigned status = 0;
  std::string body;
  std::string outcome;
  std::string reason;
  std::string retry_after;
};

/// Entry and owner stage on loopback, between a caller and a scripted backend
/// server.
class RequestPath {
 public:
  static constexpr Duration kMaxSendAfterDeparture = milliseconds(50);

  /// Handles one connection to the backend server.
  using BackendHandler =
      std::function<asio::awaitable<void>(beast::tcp_stream&)>;

  /// Callers and the backend server use the header names of `dialect`. With a
  /// bandwidth, the owner node has an address of its own, as on another VM.
  explicit RequestPath(BackendHandler handler,
                       EdgeDialect dialect = {},
                       std::uint64_t link_bytes_per_s = 0)
      : m_handler(std::move(handler)),
        m_dialect(std::move(dialect)),
        m_link_bytes_per_s(link_bytes_per_s),
        m_backend(FreeEndpoint(io)),
        m_mesh(MeshEndpoint()),
        m_caller(FreeEndpoint(io)),
        m_pool(io.get_executor(), {}),
        m_owner(io.get_executor(), m_pool, m_running, OwnerOptions()),
        m_entry(io.get_executor(), m_pool, m_running, EntryOptions()) {
    Listen(m_mesh, [this](beast::tcp_stream stream) {
      return m_owner.Serve(std::move(stream));
    });
    Listen(m_caller, [this](beast::tcp_stream stream) {
      return m_entry.Serve(std::move(stream));
    });
    StartBackend();
    SetState(BackendServerState::kServing);
    SetRule(milliseconds(300), false);
  }

  ~RequestPath() { io.DestroyPending(); }
  RequestPath(const RequestPath&) = delete;
  RequestPath& operator=(const RequestPath&) = delete;

  void SetState(BackendServerState state) {
    m_owner.SetBackendServers({Server(state)});
  }

  /// The backend server has left without having announced a drain.
  void Deregister() { m_owner.SetBackendServers({}); }

  void SetRule(Duration deadline, bool idempotent) {
    CompiledConfig config{.revision = {.number = 1}};
    config.services.push_back({.name = ServiceName("orders")});
    config.selectors.push_back({.name = SelectorName("all")});
    config.ranks.push_back(
        {.name = RankName("urgent"), .priority = 0, .share_percent = 50});
    config.routing_rules.push_back(
        {.name = RuleName("orders"),
         .selector = SelectorName("all"),
         .path_prefix = "/orders",
         .service = ServiceName("orders"),
         .rank = RankName("urgent"),
         .idempotent = idempotent,
         .deadline = std::chrono::duration_cast<milliseconds>(deadline),
         .allow_anonymous = allow_anonymous});
    std::ranges::copy(more_rules, std::back_inserter(config.routing_rules));
    config.teams = teams;
    config.caller_limits = caller_limits;
    m_owner.SetHasTeams(!teams.empty());
    std::vector<MemberRecord> members = {
        {.node = NodeId("n1"),
         .mesh_address = m_mesh,
         .backend_servers = {Server(BackendServerState::kServing)},
         .mesh_version = mesh_version}};
    if (has_second_endpoint) {
      MemberRecord second = members.front();
      second.node = NodeId("n2");
      second.backend_servers.front().id = BackendServerId("s2");
      members.push_back(second);
    }
    m_entry.SetSnapshot(std::make_shared<const RoutingSnapshot>(
        config, ProxyIdentity{}, members));
  }

  void StartDrain(Duration time_left) {
    m_entry.StartDrain(SystemClock().Now() + time_left);
  }

  void StartShutdown() {
    StartDrain(seconds(5));
    m_entry.CloseIdle();
  }

  void EndRequests() { m_entry.EndRequests(); }

  void StopBackend() { m_listeners.pop_back(); }

  /// Another program takes the place of the owner node.
  void ReplaceOwner(BackendHandler handler) {
    m_listeners.front()->Stop();
    m_handler = std::move(handler);
    ListenForBackendHandler(m_mesh);
  }

  /// Starts to send one request on a new connection. `response` is complete
  /// once it has been received.
  void StartSend(std::string head, std::string body, CallerResponse& response) {
    asio::co_spawn(io,
                   SendAndReceive(std::move(head), std::move(body), response),
                   asio::detached);
  }

  /// Sends one request on a new connection and reads the response.
  CallerResponse Send(std::string head, std::string body = {}) {
    CallerResponse response;
    bool done = false;
    asio::co_spawn(io,
                   SendAndReceive(std::move(head), std::move(body), response),
                   [&done](std::exception_ptr) { done = true; });
    RunUntil([&done] { return done; });
    return response;
  }

  CallerResponse Post(const std::string& body) {
    return Send("POST /orders HTTP/1.1\r\nHost: mesh\r\nContent-Length: " +
                    std::to_string(body.size()) + "\r\n\r\n",
                body);
  }

  template <typename Condition>
  bool RunUntil(Condition condition, Duration timeout = seconds(10)) {
    const TimePoint deadline = SystemClock().Now() + timeout;
    while (!condition() && SystemClock().Now() < deadline) {
      io.run_for(milliseconds(5));
      io.restart();
    }
    return condition();
  }

  const IpEndpoint& caller_address() const { return m_caller; }
  std::size_t entry_requests() const { return m_entry.requests_in_progress(); }
  std::size_t owner_requests() const { return m_owner.requests_in_progress(); }

  IoContext io;
  std::vector<std::string> refusals;
  int crash_reports = 0;
  /// Mesh version that the owner node announces, from the next SetRule on.
  std::uint32_t mesh_version = kMeshVersion;
  /// Declared from the next SetRule on.
  std::vector<TeamObject> teams;
  bool allow_anonymous = false;
  /// Whether the service has a second backend server at the same owner node,
  /// from the next SetRule on. It is not registered there, so requests to it
  /// are refused.
  bool has_second_endpoint = false;
  /// Number of further checks of the key lease that succeed.
  int key_checks_left = std::numeric_limits<int>::max();
  /// Decision on the requests of teams with a rate limit, their number and the
  /// tokens that were given back.
  std::optional<Duration> quota_refusal;
  int quota_requests = 0;
  int quota_given_back = 0;
  /// Slots of the backend server, from the next SetState or SetRule on.
  std::uint32_t slots = 4;
  /// Declared from the next SetRule on.
  std::vector<CallerLimitsObject> caller_limits;
  /// Declared beside the rule for "/orders" from the next SetRule on.
  std::vector<RoutingRuleObject> more_rules;

 private:
  IpEndpoint MeshEndpoint() {
    IpEndpoint endpoint = FreeEndpoint(io);
    if (m_link_bytes_per_s > 0) {
      endpoint.address = "127.0.0.2";
    }
    return endpoint;
  }

  OwnerStage::Options OwnerOptions() {
    OwnerStage::Options options{
        .hooks = {
            .count_refusal =
                [this](RefusalReason reason) {
                  refusals.emplace_back(ToString(reason));
                },
            .on_unreachable = [](const BackendServerId&) {},
            .on_crash = [this](const ServiceName&, auto) { ++crash_reports; }},
        .dialect = m_dialect,
        .max_send_after_departure = kMaxSendAfterDeparture,
        .link_bytes_per_s = m_link_bytes_per_s};
    // All slots are free from the start, so that responses compete for the
    // link.
    options.admission.limit.adaptive = m_link_bytes_per_s == 0;
    return options;
  }

  EntryStage::Options EntryOptions() {
    return {
        .limits = {.max_header_bytes = 4096, .head_timeout = milliseconds(200)},
        .hooks = {.count_refusal = [](std::string_view) {},
                  .count_retry = [](std::string_view) {},
                  .on_response = [](unsigned, unsigned, Duration) {},
                  .may_accept_keys =
                      [this](Revision) { return key_checks_left-- > 0; }},
        .quota = {.acquire = [this](TeamName, TimePoint)
                      -> asio::awaitable<std::optional<Duration>> {
                    ++quota_requests;
                    co_return quota_refusal;
                  },
                  .give_back = [this](const TeamName&) { ++quota_given_back; }},
        .dialect = m_dialect,
        .local_service = ServiceName("checkout")};
  }

  BackendServerRecord Server(BackendServerState state) const {
    return {.id = BackendServerId("s1"),
            .service = ServiceName("orders"),
            .address = m_backend,
            .slots = slots,
            .state = state};
  }

  void Listen(const IpEndpoint& endpoint,
              std::function<asio::awaitable<void>(beast::tcp_stream)> session) {
    TcpListener::Options options{.endpoint = endpoint,
                                 .session = std::move(session)};
    m_listeners.push_back(
        std::make_unique<TcpListener>(io, std::move(options)));
  }

  void StartBackend() { ListenForBackendHandler(m_backend); }

  void ListenForBackendHandler(const IpEndpoint& endpoint) {
    Listen(endpoint, [this](beast::tcp_stream stream) -> asio::awaitable<void> {
      const auto connection =
          std::make_shared<beast::tcp_stream>(std::move(stream));
      co_await m_handler(*connection);
      // Keeps the connection open unless the handler closes it.
      m_backend_connections.push_back(connection);
    });
  }

  asio::awaitable<void> SendAndReceive(std::string head,
                                       std::string body,
                                       CallerResponse& response) {
    beast::tcp_stream stream(io);
    stream.expires_after(seconds(5));
    const auto endpoint = ToTcpEndpoint(m_caller);
    co_await stream.async_connect(endpoint, asio::use_awaitable);
    const std::string request = head + body;
    boost::system::error_code error;
    co_await asio::async_write(
        stream, asio::buffer(request),
        asio::redirect_error(asio::use_awaitable, error));
    beast::flat_buffer buffer;
    http::response_parser<http::string_body> parser;
    parser.body_limit(kNoBodyLimit);
    co_await http::async_read(stream, buffer, parser,
                              asio::redirect_error(asio::use_awaitable, error));
    response.complete = !error;
    if (parser.is_header_done()) {
      const auto& message = parser.get();
      response.status = message.result_int();
      response.body = message.body();
      response.outcome = FieldValue(message, "x-banyantrail-outcome");
      response.reason = FieldValue(message, "x-banyantrail-reason");
      response.retry_after = FieldValue(message, "retry-after");
    }
  }

  BackendHandler m_handler;
  EdgeDialect m_dialect;
  std::uint64_t m_link_bytes_per_s;
  IpEndpoint m_backend;
  IpEndpoint m_mesh;
  IpEndpoint m_caller;
  UpstreamPool m_pool;
  RunningRequests m_running;
  OwnerStage m_owner;
  EntryStage m_entry;
  std::vector<std::unique_ptr<TcpListener>> m_listeners;
  std::vector<std::shared_ptr<beast::tcp_stream>> m_backend_connections;
};

/// Reads one complete request from a connection to the backend server.
inline asio::awaitable<http::request<http::string_body>> ReadBackendRequest(
    beast::tcp_stream& stream) {
  beast::flat_buffer buffer;
  http::request_parser<http::string_body> parser;
  parser.body_limit(kNoBodyLimit);
  co_await http::async_read(stream, buffer, parser, asio::use_awaitable);
  co_return parser.release();
}

inline asio::awaitable<void> WriteText(beast::tcp_stream& stream,
                                       std::string text) {
  co_await asio::async_write(stream, asio::buffer(text), asio::use_awaitable);
}

}  // namespace banyantrail::test
