#pragma once

#include <functional>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>

#include "banyantrail/net/asio.h"
#include "banyantrail/net/http_types.h"
#include "banyantrail/node/control_plane.h"
#include "banyantrail/node/data_plane.h"
#include "banyantrail/node/metrics.h"
#include "banyantrail/node/settings.h"
#include "banyantrail/node/team_quota_gate.h"
#include "banyantrail/store/store_client.h"

namespace banyantrail {

/// Handles requests to the admin listener: backend server announcements,
/// operator commands, health checks and metrics. See docs/PROTOCOLS.md.
class AdminApi {
 public:
  struct Options {
    const NodeSettings& settings;
    ControlPlane& control;
    DataPlane& data;
    Metrics& metrics;
    StoreClient& platform;
    const TeamQuotaGate& quotas;
    /// Starts the graceful shutdown of the node.
    std::function<void()> start_drain;
    std::function<bool()> is_draining;
  };

  explicit AdminApi(Options options) : m_options(std::move(options)) {}

  asio::awaitable<HttpResponse> Handle(HttpRequest request);

  /// Whether the node accepts requests from callers.
  bool IsReady() const;

 private:
  /// An HTTP request with its target split into path and query.
  struct ParsedRequest {
    http::verb method = http::verb::get;
    std::string path;
    std::string query;
    std::string body;
  };

  asio::awaitable<HttpResponse> Dispatch(ParsedRequest request);
  HttpResponse DispatchRead(const ParsedRequest& request) const;

  HttpResponse Readiness() const;
  HttpResponse AppliedRelease() const;
  HttpResponse Members() const;
  HttpResponse Explain() const;
  HttpResponse Routes() const;
  HttpResponse AnnounceBackendServer(const ParsedRequest& request);
  HttpResponse DeregisterBackendServer(const ParsedRequest& request);
  HttpResponse StartDrain();
  asio::awaitable<HttpResponse> NewestRelease();
  /// A release with the revision given in the path.
  asio::awaitable<HttpResponse> ReleaseAt(ParsedRequest request);
  asio::awaitable<HttpResponse> History(ParsedRequest request);
  asio::awaitable<HttpResponse> ProposeChange(ParsedRequest request);
  asio::awaitable<HttpResponse> Status();
  nlohmann::json OwnStatus() const;

  Options m_options;
};

}  // namespace banyantrail
