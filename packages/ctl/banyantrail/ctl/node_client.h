#pragma once

#include <chrono>
#include <nlohmann/json.hpp>
#include <string>

#include "banyantrail/core/clock.h"
#include "banyantrail/core/ip_endpoint.h"

namespace banyantrail::ctl {

/// A node's response to one request.
struct NodeResponse {
  unsigned http_status = 0;
  /// Null if the body is not JSON.
  nlohmann::json body;
};

/// Blocking HTTP client for the admin listener of one node.
class NodeClient {
 public:
  struct Options {
    IpEndpoint node;
    milliseconds timeout{10'000};
  };

  explicit NodeClient(Options options) : m_options(std::move(options)) {}

  /// Get and Post throw Error{kNetwork} when the request did not reach the
  /// node, and Error{kOutcomeUnknown} when it may have.
  NodeResponse Get(const std::string& target);
  NodeResponse Post(const std::string& target, const std::string& body);

 private:
  Options m_options;
};

}  // namespace banyantrail::ctl
